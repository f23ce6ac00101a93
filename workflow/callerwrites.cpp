#include "callerwrites.h"

#include "accessfence.h"
#include "calleranswers.h"
#include "callerreads.h"
#include "tombstones.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

/// True if the answer to the call's write may only be waiting behind copies of the configuration.
bool mayWaitBehindCopies(const WorkflowBoard &board, const OpenCallerCall &call)
{
    return board.view.isCatchingUp || board.view.adoptedAt >= std::optional(call.receivedAt);
}

// Number of unanswered sendings of a write after which this host is probably cut off from the store, unless it has received a configuration meanwhile. The
// caller is then better served by another host, which can find out whether the write took effect.
constexpr int maxUnansweredWrites = 2;

/// True if the known configuration was in force after the call was received, so that it may decide the call.
bool isDecidable(const WorkflowBoard &board, const OpenCallerCall &call)
{
    return board.view.currentAt >= std::optional(call.receivedAt);
}

/// Sends the write. If the known configuration may have been replaced before the call was received, the write is conditional on its revision. Otherwise it is
/// conditional on the access fence, so that a copy that is executed late has no effect once keys have been withdrawn.
void sendWrite(WorkflowBoard &board, OpenCallerCall call, StoreTransaction transaction, long long lease)
{
    const auto fence = isDecidable(board, call) ? accessFenceCondition(board) : std::nullopt;
    const auto condition = fence.value_or(StoreCondition{queueConfigurationKey(), board.view.revision});
    call.isFenced = fence.has_value();
    call.requiredRevision = condition.revision;
    transaction.conditions.push_back(condition);
    call.sentAt = board.now;
    call.call = sendToStore(board, std::move(transaction), lease);
    putCall(board, std::move(call));
}

void write(WorkflowBoard &board, OpenCallerCall call, StoreTransaction transaction)
{
    call.step = CallerStep::Writing;
    sendWrite(board, std::move(call), std::move(transaction), 0);
}

}

void submit(WorkflowBoard &board, const OpenCallerCall &call, const RoutedCall &routed)
{
    Workflow workflow;
    workflow.id = {routed.rest};
    workflow.queue = *routed.queue;
    workflow.organisation = routed.organisation;
    workflow.acceptedAt = board.wallNow;
    workflow.specification = *call.request.specification;
    StoreTransaction transaction;
    transaction.conditions.push_back({tombstoneKey(routed), 0});
    transaction.writes.push_back({workflowKey(workflow.id), workflow, 0, false});
    WorkflowProgress progress;
    progress.organisation = routed.organisation;
    progress.queue = routed.queue->id;
    transaction.writes.push_back({workflowProgressKey(workflow.id), std::move(progress), 0, false});
    write(board, call, std::move(transaction));
}

void cancel(WorkflowBoard &board, const OpenCallerCall &call, const RoutedCall &routed)
{
    StoreTransaction transaction;
    transaction.writes.push_back({workflowCancellationKey({routed.rest}), WorkflowCancellation{board.wallNow}, 0, false});
    write(board, call, std::move(transaction));
}

void writeTombstone(WorkflowBoard &board, OpenCallerCall call, const RoutedCall &routed)
{
    call.step = CallerStep::WritingTombstone;
    call.call.reset();
    if (hasTombstoneLease(board)) {
        sendWrite(board, std::move(call), tombstoneTransaction(board, routed), board.tombstones.lease);
        return;
    }
    putCall(board, std::move(call));
}

void excludeSubmission(WorkflowBoard &board, const OpenCallerCall &call, const RoutedCall &routed)
{
    if (const auto wait = takeTombstone(board); wait > Duration{0}) {
        const auto retryAfter = wait + takeJitter(board, board.self.limits.retryAfter);
        const auto effect = call.mayBeStored ? RequestEffect::Unknown : RequestEffect::NotRun;
        answer(board, call, {{}, Refusal{RefusalReason::QuotaExceeded, effect, retryAfter, "too many unknown workflows are cancelled"}, {}, {}});
        return;
    }
    requestTombstoneLease(board);
    writeTombstone(board, call, routed);
}

bool awaitsProof(const WorkflowBoard &board, const OpenCallerCall &call)
{
    const bool isWrite = call.request.action != CallerAction::Query;
    return board.view.provenAt < call.provenAfter || (isWrite && (isFencedOut(board) || (board.view.isCatchingUp && !isDecidable(board, call))));
}

bool isWriting(const OpenCallerCall &call)
{
    return call.step == CallerStep::Writing || call.step == CallerStep::WritingTombstone;
}

namespace
{

bool containsTombstone(const StoreReply &reply)
{
    return std::ranges::any_of(reply.entries, [](const StoreEntry &entry) { return std::holds_alternative<WorkflowTombstone>(entry.record); });
}

/// Handles the call again, because a condition failed that neither a workflow nor a tombstone explains.
void handleAgain(WorkflowBoard &board, OpenCallerCall call, const StoreReply &reply)
{
    const auto required = std::ranges::find(reply.entries, call.isFenced ? accessFenceKey() : queueConfigurationKey(), &StoreEntry::key);
    if (required != reply.entries.end() && required->revision > call.requiredRevision) {
        // Nothing was written, and earlier copies with a condition on the same key required this revision of it or an older one.
        (call.isFenced ? call.hasFencedCopy : call.hasUnfencedCopy) = false;
        call.mayBeStored = call.mayBeStored && (call.hasFencedCopy || call.hasUnfencedCopy);
    } else {
        call.provenAfter = board.now;
        board.view.nextProofAt = board.now;
    }
    call.step = CallerStep::Proving;
    call.provingSince = board.now;
    call.call.reset();
    subscribeNoLaterThan(board.timers, "proof", board.now);
    putCall(board, std::move(call));
}

/// Answers a submission whose id belongs to a stored workflow. Only the same submission is accepted; any other one would be told of success and never run.
void handleStoredWorkflow(WorkflowBoard &board, OpenCallerCall call, const Workflow &stored)
{
    const bool hasUnansweredCopy = call.mayBeStored;
    // The workflow may be the caller's own, sent once more. If a newer configuration refuses the caller, the answer must not say that it will not run.
    call.mayBeStored = true;
    const auto routed = route(board, call);
    if (!routed) {
        return;
    }
    const bool isAccessible = mayAccess(board.view.configuration, *routed, {stored.organisation, stored.queue.id});
    if (isAccessible && stored.specification == *call.request.specification) {
        answer(board, call, {});
        return;
    }
    // A workflow with the same specification may be an earlier copy of this write, if the key or the prefix now belongs to another organisation or queue.
    call.mayBeStored = hasUnansweredCopy && stored.specification == *call.request.specification;
    refuse(board,
           call,
           RefusalReason::RequestIdReused,
           isAccessible ? "the id belongs to a workflow with another specification" : "the id belongs to a workflow of another organisation or queue");
}

/// A condition failed: the workflow, its cancellation or its tombstone exists already, or the configuration has changed.
void handleConflict(WorkflowBoard &board, OpenCallerCall call, const StoreReply &reply)
{
    for (const auto &entry : reply.entries) {
        if (const auto *workflow = std::get_if<Workflow>(&entry.record)) {
            handleStoredWorkflow(board, std::move(call), *workflow);
            return;
        }
        if (std::holds_alternative<WorkflowCancellation>(entry.record)) {
            answer(board, call, {});
            return;
        }
    }
    if (containsTombstone(reply)) {
        call.mayBeStored = false; // No copy of the submission takes effect while the tombstone exists.
        refuse(board, call, RefusalReason::Cancelled, "the workflow was cancelled");
        return;
    }
    if (!reply.error.empty()) {
        refuse(board, call, RefusalReason::Timeout, "an entry that the write depends on cannot be decoded: " + reply.error);
        return;
    }
    handleAgain(board, std::move(call), reply);
}

/// A condition of the tombstone failed: the workflow has been stored meanwhile, or the configuration has changed.
void handleTombstoneConflict(WorkflowBoard &board, OpenCallerCall call, const StoreReply &reply)
{
    const bool exists = std::ranges::any_of(reply.entries, [](const StoreEntry &entry) {
        return std::holds_alternative<Workflow>(entry.record) || std::holds_alternative<WorkflowProgress>(entry.record);
    });
    if (!exists) {
        handleAgain(board, std::move(call), reply);
        return;
    }
    call.mayBeStored = false;
    if (const auto routed = route(board, call)) {
        readProgress(board, std::move(call), *routed);
    }
}

}

void handleWriteReply(WorkflowBoard &board, OpenCallerCall call, const StoreReply &reply)
{
    const bool isTombstone = call.step == CallerStep::WritingTombstone;
    switch (reply.outcome) {
    case StoreOutcome::Applied:
        call.mayBeStored = false;
        if (isTombstone) {
            refuse(board, call, RefusalReason::NotFound, "no workflow has this id");
        } else {
            answer(board, call, {});
        }
        return;
    case StoreOutcome::Conflict:
        if (isTombstone) {
            handleTombstoneConflict(board, std::move(call), reply);
        } else {
            handleConflict(board, std::move(call), reply);
        }
        return;
    case StoreOutcome::NotSent:
        if (isTombstone) {
            dropTombstoneLease(board); // The store refuses the write if the lease has ended.
        }
        if (!call.mayBeStored) {
            refuse(board, call, RefusalReason::StoreUnavailable, "the store did not receive the request");
            return;
        }
        call.retryAt = board.now + board.self.limits.storeRetry;
        break;
    case StoreOutcome::Unknown:
        call.mayBeStored = true;
        (call.isFenced ? call.hasFencedCopy : call.hasUnfencedCopy) = true;
        call.retryAt = board.now;
        if (++call.unansweredWrites >= maxUnansweredWrites && !mayWaitBehindCopies(board, call)) {
            refuse(board, call, RefusalReason::Timeout, "the store has not answered twice");
            return;
        }
        break;
    }
    // Sending the write again shows whether an earlier copy took effect, because it requires that the workflow does not exist.
    call.call.reset();
    if (awaitsProof(board, call)) {
        call.step = CallerStep::Proving;
        call.provingSince = board.now;
    }
    putCall(board, std::move(call));
}

}
