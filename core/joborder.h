#pragma once

#include "cells.h"
#include "runtimes.h"

#include <map>
#include <vector>

namespace sequoiastand
{

enum class Priority
{
    Urgent,
    Guaranteed, ///< Fits into what is left of its organisation's guarantee.
    Aged,       ///< Waited for the ageing bound.
    Ordinary,
    Patient,
};

/// A waiting job in the order in which the pass serves it.
struct QueuedJob
{
    const Job *job = nullptr;
    Priority priority = Priority::Ordinary;
    bool isWithinGuarantee = false;
    Duration expected{0};

    friend bool operator==(const QueuedJob &, const QueuedJob &) = default;
};

/// No ordinary or patient job is overtaken by later ones of those classes for longer than this.
constexpr Duration ageingBound = std::chrono::hours{4};

/// Accelerators of its guarantees that each organisation does not use yet.
std::map<OrganisationId, int> unusedGuarantees(const CapacityMap &map, const CellMap &cells);

/// Urgent, then guaranteed, aged (oldest first), ordinary, patient; within a class the least expected accelerator time first.
std::vector<QueuedJob> orderedJobs(const ClusterView &view, const CapacityMap &map, const CellMap &cells, const RunTimeModel &model);

}
