#pragma once

#include "capacity.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// What one job may take from one target, parallel to CapacityMap::targets.
struct Room
{
    int rack = 0;
    AcceleratorMask free = 0;
    int milliCpu = 0;
    int memoryMb = 0;

    friend bool operator==(const Room &, const Room &) = default;
};

/// One chosen place; the index refers to CapacityMap::targets.
struct ChosenPlace
{
    int target = 0;
    AcceleratorMask accelerators = 0;

    friend bool operator==(const ChosenPlace &, const ChosenPlace &) = default;
};

using ChosenPlaces = std::vector<ChosenPlace>;

/// `count` neighbouring accelerators out of the free ones, from the shortest run that is long enough; zero if there is none.
AcceleratorMask adjacentAccelerators(AcceleratorMask free, int count);

/// How many tasks of the job the room holds, counted no further than `limit`.
int taskCapacity(const Room &room, const JobSpecification &specification, int limit);

/// Places the whole gang or nothing: on the best-fitting worker, else in the best-fitting rack, else over the fewest racks, as far as the adjacency allows. Places are in order of target.
std::optional<ChosenPlaces> packGang(const std::vector<Room> &rooms, int rackCount, const JobSpecification &specification);

/// Takes the places out of the rooms.
void subtractPlaces(std::vector<Room> &rooms, const ChosenPlaces &places, const JobSpecification &specification);

}
