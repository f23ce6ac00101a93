#include "controllers.h"
#include "eligibility.h"
#include "progresschange.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Time after which an unchanged summary is compared again, because a comparison counts all open workflows.
constexpr Duration summaryCheckPause{100};

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

std::optional<CommitBatch> makeBatch(WorkflowBoard &board)
{
    auto &chain = board.chain;
    const int room = board.self.limits.maxRecordsPerBatch;
    CommitBatch batch;
    std::vector<RequestId> written;
    for (const auto &id : chain.dirty) {
        if (static_cast<int>(batch.transaction.writes.size()) >= room) {
            break;
        }
        written.push_back(id);
        if (const auto *entry = board.workflows.find(id)) {
            batch.transaction.writes.push_back({workflowProgressKey(id), entry->progress, std::nullopt, false});
            batch.versions.emplace(id, entry->version);
        }
    }
    std::ranges::for_each(written, [&](const RequestId &id) { chain.dirty.erase(id); });
    addRemovals(batch, chain, room);
    if (board.load.hasTargets && board.now >= chain.nextSummaryAt && static_cast<int>(batch.transaction.writes.size()) < room) {
        auto summary = summaryOf(board);
        if (summary != chain.storedSummary) {
            batch.transaction.writes.push_back({domainSummaryKey(), summary, std::nullopt, false});
            batch.isSummary = true;
            chain.storedSummary = std::move(summary);
        } else {
            chain.nextSummaryAt = board.now + summaryCheckPause;
        }
    }
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
