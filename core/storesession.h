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

/// A write that a controller has requested; `syncStore` groups, sends and resolves it.
struct PendingWrite
{
    StoreWrite write;
    std::string purpose; ///< Name of the requesting controller, for counters and logs.

    friend bool operator==(const PendingWrite &, const PendingWrite &) = default;
};

/// How a requested write ended.
enum class WriteOutcome
{
    Applied,
    Conflict,
};

/// Result of a requested write, kept on the board for the rest of the step in which it becomes known.
struct WriteResult
{
    StoreKey key;
    WriteOutcome outcome = WriteOutcome::Applied;
    Revision revision = 0;             ///< Revision of the key after the write.
    std::optional<StoreEntry> present; ///< Present entry of the key after a conflict.

    friend bool operator==(const WriteResult &, const WriteResult &) = default;
};

/// Writes that apply all or not at all; used for the configuration and the ledger.
struct PendingTransaction
{
    std::vector<StoreWrite> writes;
    std::string purpose;

    friend bool operator==(const PendingTransaction &, const PendingTransaction &) = default;
};

/// Result of a transaction, which is identified by its first key.
struct TransactionResult
{
    StoreKey firstKey;
    WriteOutcome outcome = WriteOutcome::Applied;
    Revision revision = 0;
    std::vector<StoreEntry> present;

    friend bool operator==(const TransactionResult &, const TransactionResult &) = default;
};

/// A group of writes, or one transaction, whose outcome is not known yet.
struct StoreBatch
{
    std::vector<PendingWrite> writes;
    std::optional<PendingTransaction> transaction;

    friend bool operator==(const StoreBatch &, const StoreBatch &) = default;
};

/// Progress of a full read, which reads one range per prefix.
struct StoreLoad
{
    CallId call;
    TimePoint sentAt;
    std::size_t stage = 0;
    Revision watchFrom = 0;     ///< Store revision of the first range; the watch starts after it.
    Revision itemsRevision = 0; ///< Store revision at which the configuration items were read.
    std::vector<StoreEntry> entries;

    friend bool operator==(const StoreLoad &, const StoreLoad &) = default;
};

/// A call that this host relays for a peer that does not reach the store.
struct RelayedCall
{
    HostId from;
    CallId relay;
    CallId call;
    TimePoint expiresAt;

    friend bool operator==(const RelayedCall &, const RelayedCall &) = default;
};

/// Store events that `syncStore` adds to the inbox of the next round.
struct DeferredStoreEvents
{
    std::optional<StoreReply> fullRead;
    std::optional<StoreWatchEvent> ownConfigurationChange; ///< This host's own configuration change, before the watch reports it.
    Revision ownRevision = 0;                              ///< Revision of `ownConfigurationChange`; set only in the round whose inbox contains that change.

    friend bool operator==(const DeferredStoreEvents &, const DeferredStoreEvents &) = default;
};

/// State of this host's access to the platform's store. While `isWatching` is true, the front end keeps a watch open; it starts after
/// the revision that `watchRevision` held when `isWatching` became true.
struct StoreSession
{
    std::deque<PendingWrite> writes; ///< Queued writes, the oldest first. A newer write to the same key replaces the queued one.
    std::deque<PendingTransaction> transactions;
    std::optional<TimePoint> batchSince; ///< Time at which a write that can be sent was first seen in the queue after the last group was taken.
    std::optional<StoreBatch> batch;     ///< Batch that was sent and is not resolved yet.
    std::optional<StoreCall> inFlight;   ///< The call that carries out or reads back `batch`.
    std::optional<TimePoint> inFlightSince;
    bool isReadingBack = false; ///< The reply to `batch` was lost, so its keys are read to learn the outcome.
    std::vector<WriteResult> results;
    std::vector<TransactionResult> transactionResults;
    std::optional<TimePoint> lastReadSent;        ///< Send time of the last successful direct read of `config/version`.
    std::optional<TimePoint> lastAppliedReadSent; ///< Send time of the last successful direct read whose version this host had applied.
    long long storedVersion = 0;                  ///< Latest known configuration version in the store.
    Revision storedVersionRevision = 0;
    TimePoint storedVersionSeenAt;
    std::map<CallId, TimePoint> versionReads; ///< Unanswered reads of `config/version` and their send times.
    std::optional<StoreLoad> load;
    std::optional<TimePoint> loadRetryAt;
    std::optional<CallId> fullRead; ///< Id of the reply in the inbox that holds a complete full read.
    DeferredStoreEvents deferredEvents;
    bool isLoaded = false; ///< A full read has succeeded since this process started.
    bool isWatching = false;
    Revision watchRevision = 0;
    Revision watchExpectedRevision = 0; ///< Revision that the watch has yet to report; zero if none.
    TimePoint watchExpectedRevisionSince;
    std::optional<TimePoint> versionLagSince; ///< Time since which the stored configuration version has been higher than the applied one.
    long long lease = 0;
    std::optional<CallId> leaseCall;
    std::optional<TimePoint> leaseCallSince;
    std::optional<TimePoint> leaseRenewedAt; ///< Send time of the last successful grant or keep-alive.
    long long hostRecordLease = 0;           ///< Lease that holds this host's record in the store.
    std::map<CallId, RelayedCall> relayed;
    int failuresInARow = 0;
    int retryBudget = 100; ///< Number of retries left, in tenths of a retry; each success adds one tenth.
    std::optional<TimePoint> retryAt;

    friend bool operator==(const StoreSession &, const StoreSession &) = default;
};

/// Queues a write. A newer write to the same key that is not yet in flight replaces the queued one.
void requestWrite(StoreSession &session, StoreWrite write, const std::string &purpose);

/// Queues writes that apply all or not at all.
void requestTransaction(StoreSession &session, std::vector<StoreWrite> writes, const std::string &purpose);

/// Removes a queued transaction that cannot have had an effect. Returns false if it is not queued or may already have been sent.
bool withdrawTransaction(StoreSession &session, const StoreKey &firstKey);

}
