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

/// Mask of `count` adjacent free accelerators, taken from the shortest sequence of free accelerators that is long enough; zero if no sequence is.
AcceleratorMask adjacentAccelerators(AcceleratorMask free, int count);

/// Number of the job's tasks that fit into the room, at most `limit`.
int taskCapacity(const Room &room, const JobSpecification &specification, int limit);

/// Returns places for the whole gang in order of target, or nothing if the gang does not fit. Prefers the best-fitting worker, then the best-fitting rack,
/// then the fewest racks, as far as the job's adjacency allows them.
std::optional<ChosenPlaces> packGang(const std::vector<Room> &rooms, int rackCount, const JobSpecification &specification);

/// Subtracts the places from the rooms.
void subtractPlaces(std::vector<Room> &rooms, const ChosenPlaces &places, const JobSpecification &specification);

}
