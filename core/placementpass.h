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

/// Places reserved for a large waiting job, and the expected wait until all of them are free.
struct Reservation
{
    JobId job;
    std::vector<AcceleratorMask> accelerators; ///< One mask for each target.
    Duration wait{0};

    friend bool operator==(const Reservation &, const Reservation &) = default;
};

/// Key of a request for room within one pass. Requests with equal keys have equal results, so a request that failed once is not tried again.
using RoomRequest = std::tuple<OrganisationId, bool, bool, Priority, int, int, Adjacency, int, int, unsigned>;

/// State of one placement pass; exists only during planPlacements().
struct PlacementPass
{
    const ClusterView &view;
    CapacityMap map;
    CellMap cells;
    RunTimeModel model;
    std::vector<AcceleratorMask> bound;          ///< Per target: accelerators in cells of any organisation.
    std::vector<Room> free;                      ///< Per target: capacity that is free and not claimed in this pass.
    std::vector<AcceleratorMask> claimed;        ///< Per target: accelerators given to jobs in this pass, including those that preempted work still holds.
    std::vector<int> fixedMilliCpu;              ///< Per target: processors used by work that cannot be preempted and runs outside its organisation's cells.
    std::vector<int> fixedMemoryMb;              ///< Per target: memory used by work that cannot be preempted and runs outside its organisation's cells.
    std::vector<bool> isStopping;                ///< Per entry of map.work: true if the work is stopping already or is stopped by this pass.
    std::vector<int> stopping;                   ///< Indexes of stopping work in map.work.
    std::optional<std::vector<int>> victimOrder; ///< Work that can be preempted, cheapest first; computed on first use.
    std::vector<int> victimRank;                 ///< Per entry of map.work: its position in victimOrder, or -1.
    std::vector<Reservation> reservations;
    std::map<OrganisationId, OrganisationCells> organisations;
    std::map<TeamId, int> teamHeld;
    std::set<RoomRequest> failedRequests;
    std::map<RoomRequest, bool> emptyZoneFits;    ///< True for requests that fit the zone without other work.
    std::map<RoomRequest, std::string> waitTexts; ///< Explanations of requests that neither preemption nor a move could serve.
    int freeAccelerators = 0;
    int usableAccelerators = 0;
    int startBudget = 0; ///< Accelerators on which jobs may still start in this pass.
    bool hasStartedNow = false;
    Plan plan;
};

PlacementPass makePass(const ClusterView &view);

/// Own and foreign cells of the organisation; cached for the rest of the pass.
const OrganisationCells &cellsOf(PlacementPass &pass, const OrganisationId &organisation);

RoomRequest requestOf(const PlacementPass &pass, const QueuedJob &queued);

/// Bit mask of the reservations whose places the job must not use, because it would end after the reserved start.
unsigned excludedReservations(const PlacementPass &pass, const QueuedJob &queued);

/// True if every place lies in the organisation's own cells.
bool areInOwnCells(const OrganisationCells &cells, const ChosenPlaces &places);

/// Subtracts the places from the free capacity of the pass and marks their accelerators as claimed.
void claim(PlacementPass &pass, const ChosenPlaces &places, const JobSpecification &specification);

std::vector<PlannedMember> plannedMembers(const CapacityMap &map, const ChosenPlaces &places);

}
