#pragma once

#include "capacity.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// Capacity of one target that a job may use. Vectors of rooms are parallel to CapacityMap::targets.
struct Room
{
    int rack = 0;
    AcceleratorMask free = 0;
    int milliCpu = 0;
    int memoryMb = 0;

    friend bool operator==(const Room &, const Room &) = default;
};

/// Chosen place of one task; `target` is an index into CapacityMap::targets.
struct ChosenPlace
{
    int target = 0;
    AcceleratorMask accelerators = 0;

    friend bool operator==(const ChosenPlace &, const ChosenPlace &) = default;
};

using ChosenPlaces = std::vector<ChosenPlace>;

/// `count` adjacent free accelerators, taken from the shortest run that is long enough; zero if there is no such run.
AcceleratorMask adjacentAccelerators(AcceleratorMask free, int count);

/// Number of the job's tasks that fit into the room, at most `limit`.
int taskCapacity(const Room &room, const JobSpecification &specification, int limit);

/// Places for the whole gang, or nothing if it does not fit. Tries the best-fitting worker, then the best-fitting rack, then the fewest racks, but only
/// those that the job's adjacency allows. The places are in order of target.
std::optional<ChosenPlaces> packGang(const std::vector<Room> &rooms, int rackCount, const JobSpecification &specification);

/// Subtracts the places from the rooms.
void subtractPlaces(std::vector<Room> &rooms, const ChosenPlaces &places, const JobSpecification &specification);

}
