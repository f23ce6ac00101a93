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

/// A ledger transaction whose result is not known yet.
struct LedgerWrite
{
    StoreKey key;
    WallTime day;
    int number = 0;
    std::vector<JobId> jobs;

    friend bool operator==(const LedgerWrite &, const LedgerWrite &) = default;
};

/// State that updateLedger keeps between steps.
struct LedgerProgress
{
    std::set<std::pair<WallTime, JobId>> ended; ///< Ended jobs of this host's zone with a stored record, by their end time.
    std::map<JobId, WallTime> endTimes;         ///< End times of the jobs in `ended`.
    std::optional<LedgerWrite> inFlight;
    WallTime day;       ///< Day of the latest written batch.
    int nextNumber = 1; ///< Number of the next batch of that day.
    int stride = 1;     ///< Step to the next number; doubles with every number that is already taken.

    friend bool operator==(const LedgerProgress &, const LedgerProgress &) = default;
};

/// The job record as stored in the ledger: without payload and result.
Job ledgerRow(Job job);

/// Upper bound of the size of the record as JSON.
std::size_t estimatedRowBytes(const Job &job);

}
