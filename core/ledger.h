#pragma once

#include "identifier.h"
#include "job.h"
#include "storerecord.h"
#include "time.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// A ledger transaction that the store has not answered yet.
struct LedgerWrite
{
    StoreKey key;
    WallTime day;
    int number = 0;
    std::vector<JobId> jobs;

    friend bool operator==(const LedgerWrite &, const LedgerWrite &) = default;
};

/// What updateLedger remembers between steps.
struct LedgerProgress
{
    std::set<std::pair<WallTime, JobId>> ended; ///< Stored terminal records of this host's zone by their end, the oldest first.
    std::map<JobId, WallTime> endTimes;         ///< The same by job.
    std::optional<LedgerWrite> inFlight;
    WallTime day;       ///< Day of the batch written last.
    int nextNumber = 1; ///< Number to try next on that day.
    int stride = 1;     ///< Doubles with every number that is taken already.

    friend bool operator==(const LedgerProgress &, const LedgerProgress &) = default;
};

/// The record as the ledger keeps it: without payload and result.
Job ledgerRow(Job job);

/// Upper bound of the row's size as JSON.
std::size_t estimatedRowBytes(const Job &job);

}
