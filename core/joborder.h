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
    Guaranteed, ///< The job fits into the unused part of its organisation's guarantee.
    Aged,       ///< The job has waited for at least `ageingBound`.
    Ordinary,
    Patient,
};

/// A waiting job in the queue of a placement pass.
struct QueuedJob
{
    const Job *job = nullptr;
    Priority priority = Priority::Ordinary;
    bool isWithinGuarantee = false;
    Duration expected{0};

    friend bool operator==(const QueuedJob &, const QueuedJob &) = default;
};

/// Longest time for which later ordinary or patient jobs may overtake a job of these classes.
constexpr Duration ageingBound = std::chrono::hours{4};

/// For each organisation, the number of accelerators in its cells that it does not use.
std::map<OrganisationId, int> unusedGuarantees(const CapacityMap &map, const CellMap &cells);

/// The waiting jobs by priority. Urgent and aged jobs are in order of arrival, others in ascending order of expected accelerator time.
std::vector<QueuedJob> orderedJobs(const ClusterView &view, const CapacityMap &map, const CellMap &cells, const RunTimeModel &model);

}
