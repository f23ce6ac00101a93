#include "controllers.h"
#include "eligibility.h"
#include "progresschange.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Time after which an unchanged summary is compared again, because a comparison counts all open workflows.
constexpr Duration summaryCheckPause{100};

// Longest time that the begin of workflows waits for a batch that is written for another reason. Written at once, it would be one more write for each
// workflow.
constexpr Duration maxBegunDelay{50};

DomainSummary summaryOf(const WorkflowBoard &board)
{
    DomainSummary summary;
    for (const auto &id : board.workflows.open()) {
        const auto &entry = *board.workflows.find(id);
        if (entry.progress.state == WorkflowState::Queued && !entry.isCancelRequested) {
            ++summary.waiting[entry.workflow->queue.id];
        }
    }
    summary.shapes = board.shapes;
    return summary;
}

void markStored(WorkflowBoard &board, const CommitBatch &batch)
{
    for (const auto &[id, version] : batch.versions) {
        board.workflows.update(id, [&](WorkflowEntry &entry) { entry.storedVersion = std::max(entry.storedVersion, version); });
    }
    for (const auto &id : batch.forgotten) {
        board.workflows.erase(id);
        board.chain.forgotten.erase(id);
    }
}

void finishBatch(WorkflowBoard &board, Revision revision)
{
    auto &chain = board.chain;
    const CommitBatch batch = *std::exchange(chain.batch, std::nullopt);
    chain.isOutcomeUnknown = false;
    chain.error.clear();
    chain.commitMarkRevision = revision;
    markStored(board, batch);
    if (batch.isSummary) {
        chain.nextSummaryAt = board.now + board.self.limits.summaryPeriod;
    }
    addSample(board.counters, "commitMs", static_cast<double>((board.now - batch.sentAt).count()));
}

/// Handles a failed condition: either an earlier sending of this batch took effect, or another host owns the domain.
void resolveConflict(WorkflowBoard &board, const StoreReply &reply)
{
    const auto &batch = *board.chain.batch;
    const auto mark = std::ranges::find(reply.entries, commitMarkKey(), &StoreEntry::key);
    const auto *stored = mark == reply.entries.end() ? nullptr : std::get_if<CommitMark>(&mark->record);
    if (stored != nullptr && *stored == CommitMark{board.ownership.token, board.chain.batches}) {
        finishBatch(board, mark->revision);
        return;
    }
    logDecision(board,
                "commitProgress",
                "",
                "",
                "batch " + std::to_string(board.chain.batches) + " of " + std::to_string(batch.versions.size())
                    + " records refused: the domain has another owner",
                true);
    count(board.counters, "commitsRefused", "");
    board.ownership.authorityUntil = board.now;
    board.ownership.releaseReason = "the store has refused a batch";
    subscribeNoLaterThan(board.timers, "authority", board.now);
}

void handleBatchReply(WorkflowBoard &board)
{
    auto &chain = board.chain;
    const auto *reply = chain.batch ? findReply(board, chain.batch->call) : nullptr;
    if (reply == nullptr) {
        return;
    }
    switch (reply->outcome) {
    case StoreOutcome::Applied:
        finishBatch(board, reply->revision);
        return;
    case StoreOutcome::Conflict:
        resolveConflict(board, *reply);
        return;
    case StoreOutcome::NotSent:
    case StoreOutcome::Unknown:
        count(board.counters, "commitsUnanswered", reply->outcome == StoreOutcome::Unknown ? "unknown" : "notSent");
        chain.isOutcomeUnknown = true;
        chain.error = reply->error;
        chain.retryAt = board.now + (reply->outcome == StoreOutcome::Unknown ? Duration{0} : board.self.limits.storeRetry);
        return;
    }
}

void addRemovals(CommitBatch &batch, const CommitChain &chain, int room)
{
    constexpr int keysPerWorkflow = 3;
    for (const auto &id : chain.forgotten) {
        if (static_cast<int>(batch.transaction.writes.size()) + keysPerWorkflow > room) {
            break;
        }
        for (const auto &key : {workflowKey(id), workflowProgressKey(id), workflowCancellationKey(id)}) {
            batch.transaction.writes.push_back({key, std::nullopt, std::nullopt, false});
        }
        batch.forgotten.insert(id);
    }
}

/// Adds the progress of the first workflows, as far as the batch has room, and removes them from the queue.
void addProgress(CommitBatch &batch, const WorkflowBoard &board, CommitQueue &queue, int room)
{
    const auto count = static_cast<std::size_t>(std::max<int>(0, room - static_cast<int>(batch.transaction.writes.size())));
    for (const auto &id : takeFirst(queue, count)) {
        if (const auto *entry = board.workflows.find(id)) {
            batch.transaction.writes.push_back({workflowProgressKey(id), entry->progress, std::nullopt, false});
            batch.versions.emplace(id, entry->version);
        }
    }
}

/// Moves the workflows that have only begun to the others, in the order of their begins, once they have waited long enough.
void queueOverdueBegins(WorkflowBoard &board)
{
    auto &chain = board.chain;
    while (waitingSince(chain.begun) && board.now >= *waitingSince(chain.begun) + maxBegunDelay) {
        enqueue(chain.dirty, takeFirst(chain.begun, 1).front(), board.now);
    }
}

/// Adds the workflows that have only begun if the batch is written anyway.
void addBegun(CommitBatch &batch, WorkflowBoard &board, int room)
{
    auto &chain = board.chain;
    std::ranges::for_each(batch.versions, [&](const auto &row) { dequeue(chain.begun, row.first); });
    if (!batch.transaction.writes.empty()) {
        addProgress(batch, board, chain.begun, room);
    } else if (const auto since = waitingSince(chain.begun)) {
        subscribeNoLaterThan(board.timers, "commit", *since + maxBegunDelay);
    }
}

std::optional<CommitBatch> makeBatch(WorkflowBoard &board)
{
    auto &chain = board.chain;
    const int room = board.self.limits.maxRecordsPerBatch;
    CommitBatch batch;
    // The summary comes first, because progress may fill every batch for a long time.
    if (board.load.hasTargets && board.now >= chain.nextSummaryAt) {
        auto summary = summaryOf(board);
        if (summary != chain.storedSummary) {
            batch.transaction.writes.push_back({domainSummaryKey(), summary, std::nullopt, false});
            batch.isSummary = true;
            chain.storedSummary = std::move(summary);
        } else {
            chain.nextSummaryAt = board.now + summaryCheckPause;
        }
    }
    queueOverdueBegins(board);
    addProgress(batch, board, chain.dirty, room);
    addRemovals(batch, chain, room);
    addBegun(batch, board, room);
    if (batch.transaction.writes.empty()) {
        return std::nullopt;
    }
    ++chain.batches;
    batch.transaction.writes.push_back({commitMarkKey(), CommitMark{board.ownership.token, chain.batches}, chain.commitMarkRevision, false});
    batch.transaction.conditions.push_back({domainOwnerKey(), board.ownership.token});
    return batch;
}

}

void commitProgress(WorkflowBoard &board)
{
    if (board.ownership.step != OwnershipStep::Owner || !board.load.hasCommitMark || !board.load.hasIntake) {
        return;
    }
    handleBatchReply(board);
    if (!hasAuthority(board)) {
        return;
    }
    auto &chain = board.chain;
    if (chain.batch && chain.isOutcomeUnknown) {
        if (board.now < chain.retryAt) {
            subscribeNoLaterThan(board.timers, "commit", chain.retryAt);
            return;
        }
        chain.isOutcomeUnknown = false;
        chain.batch->call = sendToStore(board, chain.batch->transaction);
        return;
    }
    if (chain.batch) {
        return;
    }
    if (auto batch = makeBatch(board)) {
        batch->call = sendToStore(board, batch->transaction);
        batch->sentAt = board.now;
        chain.batch = std::move(batch);
        return;
    }
    subscribeNoLaterThan(board.timers, "summary", std::max(chain.nextSummaryAt, board.now + board.self.limits.summaryPeriod));
}

}
