#include "storebatch.h"

#include "storeload.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Revision that no key ever has. A transaction with this condition changes nothing and returns the present entries, so it serves as a read.
constexpr Revision impossibleRevision = -1;

const StoreEntry *entryOf(const StoreReply &reply, const StoreKey &key)
{
    const auto found = std::ranges::find(reply.entries, key, &StoreEntry::key);
    return found == reply.entries.end() ? nullptr : &*found;
}

/// True if the key has the content that the write requested.
bool isWritten(const StoreWrite &write, const StoreReply &reply)
{
    const auto *present = entryOf(reply, write.key);
    if (present == nullptr || !write.record) {
        return present == nullptr && !write.record;
    }
    return isSameRecord(present->record, *write.record);
}

bool isConditionMet(const StoreWrite &write, const StoreReply &reply)
{
    const auto *present = entryOf(reply, write.key);
    return !write.expected || *write.expected == (present == nullptr ? 0 : present->revision);
}

/// True if the reply holds the record of a write with a condition, such as the version with its command id. This proves that the transaction was applied,
/// because no other transaction can have written that record.
bool wasTransactionApplied(const std::vector<StoreWrite> &writes, const StoreReply &reply)
{
    return std::ranges::any_of(writes, [&reply](const StoreWrite &write) { return write.expected && write.record && isWritten(write, reply); });
}

void clearBatch(StoreSession &session)
{
    session.batch.reset();
    session.isReadingBack = false;
    session.retryAt.reset();
}

/// Puts writes back at the front of the queue, except writes for whose key the queue already holds a newer write.
void requeue(Blackboard &board, const std::vector<PendingWrite> &writes)
{
    auto &queue = board.store.writes;
    for (const auto &pending : writes | std::views::reverse) {
        if (std::ranges::none_of(queue, [&pending](const PendingWrite &queued) { return queued.write.key == pending.write.key; })) {
            queue.push_front(pending);
        }
    }
}

/// Updates queued writes to the same key that expect the same revision as the applied write did. They now expect the revision after that write, so that
/// they do not conflict with it.
void rebaseQueued(StoreSession &session, const StoreWrite &applied, Revision revision)
{
    for (auto &queued : session.writes) {
        if (queued.write.key == applied.key && queued.write.expected && queued.write.expected == applied.expected) {
            queued.write.expected = applied.record ? revision : 0;
        }
    }
}

void reportWrite(Blackboard &board, const StoreWrite &write, WriteOutcome outcome, const StoreEntry *present, Revision revision)
{
    WriteResult result{write.key, outcome, revision, std::nullopt};
    if (outcome == WriteOutcome::Applied) {
        rebaseQueued(board.store, write, revision);
    } else if (present != nullptr) {
        result.present = *present;
    }
    board.store.results.push_back(std::move(result));
    count(board.counters, "storeWrites", outcome == WriteOutcome::Applied ? "applied" : "conflict");
}

/// Queues this host's own configuration change as an event for the next round, so that the host never acts on an older version than it has written.
void deferOwnChange(Blackboard &board, const std::vector<StoreWrite> &writes, Revision revision)
{
    if (std::ranges::find(writes, configurationVersionKey(), &StoreWrite::key) == writes.end()) {
        return;
    }
    StoreWatchEvent change;
    change.revision = revision;
    for (const auto &write : writes) {
        if (write.record) {
            change.put.push_back({write.key, *write.record, revision});
            recordStoredVersion(board, change.put.back());
        } else {
            change.deleted.push_back(write.key);
        }
    }
    board.store.deferredEvents.ownConfigurationChange = std::move(change);
}

void reportTransaction(Blackboard &board, const PendingTransaction &transaction, WriteOutcome outcome, const StoreReply &reply, Revision revision)
{
    if (outcome == WriteOutcome::Applied) {
        deferOwnChange(board, transaction.writes, revision);
        expectWatchRevision(board, revision);
    }
    board.store.transactionResults.push_back({transaction.writes.front().key, outcome, revision, reply.entries});
    count(board.counters, "storeTransactions", outcome == WriteOutcome::Applied ? "applied" : "conflict");
}

void reportApplied(Blackboard &board, const StoreBatch &batch, const StoreReply &reply)
{
    if (batch.transaction) {
        reportTransaction(board, *batch.transaction, WriteOutcome::Applied, reply, reply.revision);
        return;
    }
    for (const auto &pending : batch.writes) {
        reportWrite(board, pending.write, WriteOutcome::Applied, nullptr, reply.revision);
    }
    expectWatchRevision(board, reply.revision);
}

/// Decides from the returned entries whether the transaction was applied, after a conflict or after its reply was lost.
void resolveTransaction(Blackboard &board, const PendingTransaction &transaction, const StoreReply &reply, bool isReadBack)
{
    const bool isConflict = !std::ranges::all_of(transaction.writes, [&reply](const StoreWrite &write) { return isConditionMet(write, reply); });
    if (wasTransactionApplied(transaction.writes, reply)) {
        const auto proof =
            std::ranges::find_if(transaction.writes, [&reply](const StoreWrite &write) { return write.expected && write.record && isWritten(write, reply); });
        reportTransaction(board, transaction, WriteOutcome::Applied, reply, entryOf(reply, proof->key)->revision);
    } else if (isConflict || !isReadBack) {
        reportTransaction(board, transaction, WriteOutcome::Conflict, reply, 0);
    } else {
        board.store.transactions.push_front(transaction);
    }
}

void resolveWrites(Blackboard &board, const std::vector<PendingWrite> &writes, const StoreReply &reply)
{
    std::vector<PendingWrite> unresolved;
    for (const auto &pending : writes) {
        const auto *present = entryOf(reply, pending.write.key);
        const Revision revision = present == nullptr ? 0 : present->revision;
        if (isWritten(pending.write, reply)) {
            reportWrite(board, pending.write, WriteOutcome::Applied, present, revision);
        } else if (!isConditionMet(pending.write, reply)) {
            reportWrite(board, pending.write, WriteOutcome::Conflict, present, revision);
        } else {
            unresolved.push_back(pending);
        }
    }
    requeue(board, unresolved);
}

std::vector<StoreWrite> writesOf(const StoreBatch &batch)
{
    if (batch.transaction) {
        return batch.transaction->writes;
    }
    std::vector<StoreWrite> writes;
    std::ranges::transform(batch.writes, std::back_inserter(writes), &PendingWrite::write);
    return writes;
}

std::vector<StoreWrite> readBackWrites(const StoreBatch &batch)
{
    auto writes = writesOf(batch);
    for (auto &write : writes) {
        write.expected = impossibleRevision;
        write.isBoundToLease = false;
    }
    return writes;
}

bool isSendable(const StoreSession &session, const StoreWrite &write)
{
    return !write.isBoundToLease || session.lease != 0;
}

/// Takes the oldest writes from the queue. Writes bound to the host's store lease wait until there is a lease.
std::vector<PendingWrite> takeGroup(Blackboard &board)
{
    auto &session = board.store;
    std::vector<PendingWrite> group;
    std::deque<PendingWrite> rest;
    const auto limit = static_cast<std::size_t>(board.self.limits.storeBatchOperations);
    for (auto &pending : session.writes) {
        if (group.size() < limit && isSendable(session, pending.write)) {
            group.push_back(std::move(pending));
        } else {
            rest.push_back(std::move(pending));
        }
    }
    session.writes = std::move(rest);
    return group;
}

bool isGroupDue(Blackboard &board)
{
    auto &session = board.store;
    const auto sendable = std::ranges::count_if(session.writes, [&session](const PendingWrite &pending) { return isSendable(session, pending.write); });
    if (sendable == 0) {
        session.batchSince.reset();
        return false;
    }
    if (!session.batchSince) {
        session.batchSince = board.now;
        subscribeNoLaterThan(board.timers, "storeBatch", board.now + board.self.limits.storeBatchDelay);
    }
    return sendable >= board.self.limits.storeBatchOperations || board.now >= *session.batchSince + board.self.limits.storeBatchDelay;
}

std::optional<StoreBatch> takeBatch(Blackboard &board)
{
    auto &session = board.store;
    const auto canSend = [&session](const StoreWrite &write) { return isSendable(session, write); };
    if (!session.transactions.empty() && std::ranges::all_of(session.transactions.front().writes, canSend)) {
        StoreBatch batch;
        batch.transaction = std::move(session.transactions.front());
        session.transactions.pop_front();
        return batch;
    }
    if (!isGroupDue(board)) {
        return std::nullopt;
    }
    StoreBatch batch;
    batch.writes = takeGroup(board);
    session.batchSince.reset();
    return batch;
}

}

void sendBatch(Blackboard &board)
{
    auto &session = board.store;
    if (session.inFlight || (session.retryAt && board.now < *session.retryAt)) {
        return;
    }
    if (!session.batch) {
        session.batch = takeBatch(board);
    }
    if (!session.batch) {
        return;
    }
    session.retryAt.reset();
    const auto writes = session.isReadingBack ? readBackWrites(*session.batch) : writesOf(*session.batch);
    session.inFlight = sendStoreCall(board, StoreTransaction{writes});
    session.inFlightSince = board.now;
}

void resolveBatch(Blackboard &board, const StoreAnswer &answer)
{
    auto &session = board.store;
    if (!session.inFlight || session.inFlight->id != answer.reply.id) {
        return;
    }
    session.inFlight.reset();
    addSample(board.counters, "storeTransactionMs", static_cast<double>((board.now - *session.inFlightSince).count()));
    const StoreBatch batch = *session.batch;
    const auto &reply = answer.reply;
    if (isAnswered(reply)) {
        const bool isReadBack = session.isReadingBack;
        clearBatch(session);
        if (reply.outcome == StoreOutcome::Applied) {
            reportApplied(board, batch, reply);
        } else if (batch.transaction) {
            resolveTransaction(board, *batch.transaction, reply, isReadBack);
        } else {
            resolveWrites(board, batch.writes, reply);
        }
        return;
    }
    if (!session.isReadingBack && reply.outcome == StoreOutcome::NotSent) {
        clearBatch(session);
        if (batch.transaction) {
            session.transactions.push_front(*batch.transaction);
        }
        requeue(board, batch.writes);
    } else if (!session.isReadingBack) {
        session.isReadingBack = true;
        count(board.counters, "storeAnswersLost", batch.transaction ? batch.transaction->purpose : batch.writes.front().purpose);
    }
    scheduleBatchRetry(board);
}

}
