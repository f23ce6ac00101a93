#pragma once

#include "event.h"
#include "identifier.h"
#include "storerecord.h"
#include "time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

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

/// Writes or one transaction whose outcome is not settled yet.
struct StoreBatch
{
    std::vector<PendingWrite> writes;
    std::optional<PendingTransaction> transaction;

    friend bool operator==(const StoreBatch &, const StoreBatch &) = default;
};

/// A full read under way: one range per prefix.
struct StoreLoad
{
    CallId call;
    TimePoint sentAt;
    std::size_t stage = 0;
    Revision watchFrom = 0;     ///< Store revision of the first range; the watch resumes there.
    Revision itemsRevision = 0; ///< Store revision at which the configuration items were read.
    std::vector<StoreEntry> entries;

    friend bool operator==(const StoreLoad &, const StoreLoad &) = default;
};

/// A call that this host carries out for a peer that does not reach the store.
struct RelayedCall
{
    HostId from;
    CallId relay;
    CallId call;
    TimePoint expiresAt;

    friend bool operator==(const RelayedCall &, const RelayedCall &) = default;
};

/// Changes that `syncStore` makes known in the next round, as if they had arrived in the inbox.
struct DeferredStoreEvents
{
    std::optional<StoreReply> fullRead;
    std::optional<StoreWatchEvent> ownConfigurationChange; ///< This host's configuration change, ahead of the watch.
    Revision ownRevision = 0;                              ///< Stays set for the round in which the change is in the inbox.

    friend bool operator==(const DeferredStoreEvents &, const DeferredStoreEvents &) = default;
};

/// This host's connection to the platform's store. The front end keeps one watch open while `isWatching`, started after `watchRevision` as it was when `isWatching` became true.
struct StoreSession
{
    std::deque<PendingWrite> writes; ///< Oldest first; one per key, the newest wins.
    std::deque<PendingTransaction> transactions;
    std::optional<TimePoint> batchSince; ///< When the oldest queued write was noticed.
    std::optional<StoreBatch> batch;     ///< Sent, or to be read back.
    std::optional<StoreCall> inFlight;   ///< The call that carries out or reads back `batch`.
    std::optional<TimePoint> inFlightSince;
    bool isReadingBack = false; ///< The answer to `batch` was lost.
    std::vector<WriteResult> results;
    std::vector<TransactionResult> transactionResults;
    std::optional<TimePoint> lastReadSent;        ///< When the last successful direct read of `config/version` was sent.
    std::optional<TimePoint> lastAppliedReadSent; ///< The same, of the last read whose version this host has applied.
    long long storedVersion = 0;                  ///< Configuration version as last seen in the store.
    Revision storedVersionRevision = 0;
    TimePoint storedVersionSeenAt;
    std::map<CallId, TimePoint> versionReads; ///< Reads of `config/version` under way, by the time they were sent.
    std::optional<StoreLoad> load;
    std::optional<TimePoint> loadRetryAt;
    std::optional<CallId> fullRead; ///< Set while the complete full read is in the inbox as one reply with this id.
    DeferredStoreEvents deferredEvents;
    bool isLoaded = false; ///< A full read has succeeded since the start.
    bool isWatching = false;
    Revision watchRevision = 0;
    Revision watchExpectedRevision = 0; ///< A revision under the prefix that the watch has yet to report; zero if none.
    TimePoint watchExpectedRevisionSince;
    std::optional<TimePoint> versionLagSince; ///< Since when the store has shown a version that this host has not applied.
    long long lease = 0;
    std::optional<CallId> leaseCall;
    std::optional<TimePoint> leaseCallSince;
    std::optional<TimePoint> leaseRenewedAt; ///< When the last successful grant or keep-alive was sent.
    long long hostRecordLease = 0;           ///< Lease that holds this host's record in the store.
    std::map<CallId, RelayedCall> relayed;
    int failuresInARow = 0;
    int retryBudget = 100; ///< In tenths of a retry; a success adds one tenth.
    std::optional<TimePoint> retryAt;

    friend bool operator==(const StoreSession &, const StoreSession &) = default;
};

/// Queues a write. A newer write to the same key that is not yet in flight replaces the queued one.
void requestWrite(StoreSession &session, StoreWrite write, const std::string &purpose);

/// Queues writes of which all apply or none.
void requestTransaction(StoreSession &session, std::vector<StoreWrite> writes, const std::string &purpose);

/// Removes a queued transaction that has certainly had no effect. False if it is not queued or its outcome is open.
bool withdrawTransaction(StoreSession &session, const StoreKey &firstKey);

}
