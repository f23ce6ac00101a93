#pragma once

#include "identifier.h"
#include "storerecord.h"
#include "time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace sequoiastand
{

/// A write that a controller wants; `syncStore` groups, sends and resolves it.
struct PendingWrite
{
    StoreWrite write;
    std::string purpose; ///< Controller that asked, for counters and logs.

    friend bool operator==(const PendingWrite &, const PendingWrite &) = default;
};

/// How a requested write ended.
enum class WriteOutcome
{
    Applied,
    Conflict,
};

/// Result of a requested write, on the board for the rest of the step in which it became known.
struct WriteResult
{
    StoreKey key;
    WriteOutcome outcome = WriteOutcome::Applied;
    Revision revision = 0;             ///< Of the key after the write.
    std::optional<StoreEntry> present; ///< The conflicting entry.

    friend bool operator==(const WriteResult &, const WriteResult &) = default;
};

/// Writes of which all apply or none; used for configuration and the ledger.
struct PendingTransaction
{
    std::vector<StoreWrite> writes;
    std::string purpose;

    friend bool operator==(const PendingTransaction &, const PendingTransaction &) = default;
};

/// Result of a transaction, named by its first key.
struct TransactionResult
{
    StoreKey firstKey;
    WriteOutcome outcome = WriteOutcome::Applied;
    Revision revision = 0;
    std::vector<StoreEntry> present;

    friend bool operator==(const TransactionResult &, const TransactionResult &) = default;
};

/// This host's connection to the platform's store.
struct StoreSession
{
    std::deque<PendingWrite> writes; ///< Oldest first; one per key, the newest wins.
    std::deque<PendingTransaction> transactions;
    std::optional<StoreCall> inFlight; ///< The transaction under way.
    std::optional<TimePoint> inFlightSince;
    bool isReadingBack = false; ///< The answer to `inFlight` was lost.
    std::vector<WriteResult> results;
    std::vector<TransactionResult> transactionResults;
    std::optional<TimePoint> lastReadSent; ///< When the last successful read was sent.
    std::optional<TimePoint> probeSent;
    std::optional<CallId> probe; ///< Read of `config/version` under way.
    std::optional<CallId> fullRead;
    bool isLoaded = false; ///< A full read has succeeded since the start.
    bool isWatching = false;
    Revision watchRevision = 0;
    long long lease = 0;
    std::optional<CallId> leaseCall;
    int failuresInARow = 0;
    std::optional<TimePoint> retryAt;

    friend bool operator==(const StoreSession &, const StoreSession &) = default;
};

/// Queues a write. A newer write to the same key that is not yet in flight replaces the queued one.
void requestWrite(StoreSession &session, StoreWrite write, const std::string &purpose);

/// Queues writes of which all apply or none.
void requestTransaction(StoreSession &session, std::vector<StoreWrite> writes, const std::string &purpose);

}
