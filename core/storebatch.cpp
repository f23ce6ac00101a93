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

/// No key ever has this revision, so a transaction with it applies nothing and answers with the present rows.
constexpr Revision impossibleRevision = -1;

const StoreEntry *presentRow(const StoreReply &reply, const StoreKey &key)
{
    const auto found = std::ranges::find(reply.entries, key, &StoreEntry::key);
    return found == reply.entries.end() ? nullptr : &*found;
}

/// True if the key is as the write wanted to leave it.
bool isDone(const StoreWrite &write, const StoreReply &reply)
{
    const auto *present = presentRow(reply, write.key);
    if (present == nullptr || !write.record) {
        return present == nullptr && !write.record;
    }
    return isSameRecord(present->record, *write.record);
}

bool isConditionMet(const StoreWrite &write, const StoreReply &reply)
{
    const auto *present = presentRow(reply, write.key);
    return !write.expected || *write.expected == (present == nullptr ? 0 : present->revision);
}

/// Records that only this transaction writes prove it: those under a condition, such as the version with its command id.
bool wasTransactionApplied(const std::vector<StoreWrite> &writes, const StoreReply &reply)
{
    return std::ranges::any_of(writes, [&reply](const StoreWrite &write) { return write.expected && write.record && isDone(write, reply); });
}

void clearBatch(StoreSession &session)
{
    session.batch.reset();
    session.isReadingBack = false;
    session.retryAt.reset();
}

/// Puts writes back at the front of the queue; a newer write to the same key replaces the older one.
void requeue(Blackboard &board, const std::vector<PendingWrite> &writes)
{
    auto &queue = board.store.writes;
    for (const auto &pending : writes | std::views::reverse) {
        if (std::ranges::none_of(queue, [&pending](const PendingWrite &queued) { return queued.write.key == pending.write.key; })) {
            queue.push_front(pending);
        }
    }
}

/// A queued write that was made from the same revision as the applied one follows it.
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

/// A change of the configuration is made known at once, so that this host never denies a version that it has written.
void announceChange(Blackboard &board, const std::vector<StoreWrite> &writes, Revision revision)
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
        announceChange(board, transaction.writes, revision);
        expectWatchRevision(board, revision);
    }
    board.store.transactionResults.push_back({transaction.writes.front().key, outcome, revision, reply.entries});
    count(board.counters, "storeTransactions", outcome == WriteOutcome::Applied ? "applied" : "conflict");
}

void settleApplied(Blackboard &board, const StoreBatch &batch, const StoreReply &reply)
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

/// The rows answered tell what applied: after a conflict, or after the answer to the batch was lost.
void settleTransaction(Blackboard &board, const PendingTransaction &transaction, const StoreReply &reply, bool isReadBack)
{
    const bool isConflict = !std::ranges::all_of(transaction.writes, [&reply](const StoreWrite &write) { return isConditionMet(write, reply); });
    if (wasTransactionApplied(transaction.writes, reply)) {
        const auto proof =
            std::ranges::find_if(transaction.writes, [&reply](const StoreWrite &write) { return write.expected && write.record && isDone(write, reply); });
        reportTransaction(board, transaction, WriteOutcome::Applied, reply, presentRow(reply, proof->key)->revision);
    } else if (isConflict || !isReadBack) {
        reportTransaction(board, transaction, WriteOutcome::Conflict, reply, 0);
    } else {
        board.store.transactions.push_front(transaction);
    }
}

void settleWrites(Blackboard &board, const std::vector<PendingWrite> &writes, const StoreReply &reply)
{
    std::vector<PendingWrite> again;
    for (const auto &pending : writes) {
        const auto *present = presentRow(reply, pending.write.key);
        const Revision revision = present == nullptr ? 0 : present->revision;
        if (isDone(pending.write, reply)) {
            reportWrite(board, pending.write, WriteOutcome::Applied, present, revision);
        } else if (!isConditionMet(pending.write, reply)) {
            reportWrite(board, pending.write, WriteOutcome::Conflict, present, revision);
        } else {
            again.push_back(pending);
        }
    }
    requeue(board, again);
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

/// Takes the oldest writes; those bound to the host's lease wait until there is one.
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
            settleApplied(board, batch, reply);
        } else if (batch.transaction) {
            settleTransaction(board, *batch.transaction, reply, isReadBack);
        } else {
            settleWrites(board, batch.writes, reply);
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
