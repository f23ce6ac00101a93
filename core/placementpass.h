#pragma once

#include "cells.h"
#include "joborder.h"
#include "packing.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace sequoiastand
{

/// Places kept for a large waiting job and the time at which the last of them is expected to be free.
struct Reservation
{
    JobId job;
    std::vector<AcceleratorMask> accelerators; ///< One mask for each target.
    Duration wait{0};

    friend bool operator==(const Reservation &, const Reservation &) = default;
};

/// What distinguishes two requests for room within one pass; a request that failed once fails again.
using RoomRequest = std::tuple<OrganisationId, bool, bool, Priority, int, int, Adjacency, int, int, unsigned>;

/// Working state of one placement pass; lives only during planPlacements.
struct PlacementPass
{
    const ClusterView &view;
    CapacityMap map;
    CellMap cells;
    RunTimeModel model;
    std::vector<AcceleratorMask> bound;   ///< Per target: accelerators in any organisation's cells.
    std::vector<Room> free;               ///< Free and not given away in this pass.
    std::vector<AcceleratorMask> claimed; ///< Given away in this pass, including what preempted work still holds.
    std::vector<int> fixedMilliCpu;       ///< Per target: taken by work that cannot be preempted and stands outside its own cells.
    std::vector<int> fixedMemoryMb;
    std::vector<bool> isStopping;                ///< Per work: stops already or is stopped by this pass.
    std::vector<int> stopping;                   ///< The indexes of that work.
    std::optional<std::vector<int>> victimOrder; ///< Work that can be preempted, cheapest first; made when first needed.
    std::vector<int> victimRank;                 ///< Position of each work in that order, or -1.
    std::vector<Reservation> reservations;
    std::map<OrganisationId, OrganisationCells> organisations;
    std::map<TeamId, int> teamHeld;
    std::set<RoomRequest> failedRequests;
    std::map<RoomRequest, bool> emptyZoneFits;    ///< Whether requests fit the zone without other work.
    std::map<RoomRequest, std::string> waitTexts; ///< Explanations of requests that neither preemption nor a move could serve.
    int freeAccelerators = 0;
    int usableAccelerators = 0;
    int startBudget = 0; ///< Accelerators that may still start now.
    bool hasStartedNow = false;
    Plan plan;
};

PlacementPass makePass(const ClusterView &view);

/// Own and foreign cells of the organisation; kept for the rest of the pass.
const OrganisationCells &cellsOf(PlacementPass &pass, const OrganisationId &organisation);

RoomRequest requestOf(const PlacementPass &pass, const QueuedJob &queued);

/// One bit for each reservation that the job must leave alone because it would end after the reserved start.
unsigned excludedReservations(const PlacementPass &pass, const QueuedJob &queued);

/// True if every place lies in the organisation's own cells.
bool areInOwnCells(const OrganisationCells &cells, const ChosenPlaces &places);

/// Takes the places out of the free capacity of the pass.
void claim(PlacementPass &pass, const ChosenPlaces &places, const JobSpecification &specification);

std::vector<PlannedMember> plannedMembers(const CapacityMap &map, const ChosenPlaces &places);

}
