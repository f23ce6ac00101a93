#include "callerwrites.h"

#include "calleranswers.h"
#include "configurationcopies.h"
#include "tombstones.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Number of unanswered sendings of a write after which this host is probably cut off from the store. The caller is then better served by another host, which
// can find out whether the write took effect.
constexpr int maxUnansweredWrites = 2;

std::vector<StoreCondition> configurationCondition(const WorkflowBoard &board)
{
    return {{queueConfigurationKey(), board.view.revision}};
}

void write(WorkflowBoard &board, OpenCallerCall call, StoreTransaction transaction)
{
    call.step = CallerStep::Writing;
    call.call = sendToStore(board, std::move(transaction));
    putCall(board, std::move(call));
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
    transaction.conditions = configurationCondition(board);
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
    transaction.conditions = configurationCondition(board);
    transaction.writes.push_back({workflowCancellationKey({routed.rest}), WorkflowCancellation{board.wallNow}, 0, false});
    write(board, call, std::move(transaction));
}

void writeTombstone(WorkflowBoard &board, OpenCallerCall call, const RoutedCall &routed)
{
    call.step = CallerStep::WritingTombstone;
    call.call.reset();
    if (hasTombstoneLease(board)) {
        call.call = sendToStore(board, tombstoneTransaction(board, routed), board.tombstones.lease);
    }
    putCall(board, std::move(call));
}

void excludeSubmission(WorkflowBoard &board, const OpenCallerCall &call, const RoutedCall &routed)
{
    if (const auto wait = takeTombstone(board); wait > Duration{0}) {
        const auto retryAfter = wait + takeJitter(board, board.self.limits.retryAfter);
        answer(board, call, {{}, Refusal{RefusalReason::QuotaExceeded, RequestEffect::NotRun, retryAfter, "too many unknown workflows are cancelled"}, {}, {}});
        return;
    }
    requestTombstoneLease(board);
    writeTombstone(board, call, routed);
}

void readProgress(WorkflowBoard &board, OpenCallerCall call, const RoutedCall &routed)
{
    call.step = CallerStep::Reading;
    call.call = sendToStore(board, StoreRange{workflowProgressKey({routed.rest}), false});
    putCall(board, std::move(call));
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

/// Proves the configuration again before the call is handled again, because a condition failed that nothing else explains.
void proveAgain(WorkflowBoard &board, OpenCallerCall call)
{
    // Nothing was written, and no earlier copy can take effect any more, because it had the same conditions.
    call.mayBeStored = false;
    call.step = CallerStep::Proving;
    call.call.reset();
    board.view.nextProofAt = board.now;
    board.view.invalidatedAt = board.now;
    subscribeNoLaterThan(board.timers, "proof", board.now);
    putCall(board, std::move(call));
}

/// Answers a submission whose id belongs to a stored workflow. Only the same submission is accepted; any other one would be told of success and never run.
void handleStoredWorkflow(WorkflowBoard &board, OpenCallerCall call, const Workflow &stored)
{
    const auto routed = route(board, call);
    if (!routed) {
        return;
    }
    const bool isAccessible = mayAccess(board.view.configuration, *routed, {stored.organisation, stored.queue.id});
    if (isAccessible && stored.specification == *call.request.specification) {
        answer(board, call, {});
        return;
    }
    call.mayBeStored = false; // An earlier copy of this write would have failed with the same conflict.
    refuse(board,
           call,
           RefusalReason::RequestIdReused,
           isAccessible ? "the id belongs to a workflow with another specification" : "the id belongs to a workflow of another organisation or queue");
}

/// A condition failed: the workflow, its cancellation or its tombstone exists already, or the configuration has changed.
void handleConflict(WorkflowBoard &board, OpenCallerCall call, const StoreReply &reply)
{
    countConfigurations(board, reply.entries, "write");
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
    proveAgain(board, std::move(call));
}

/// A condition of the tombstone failed: the workflow has been stored meanwhile, or the configuration has changed.
void handleTombstoneConflict(WorkflowBoard &board, OpenCallerCall call, const StoreReply &reply)
{
    const bool exists = std::ranges::any_of(reply.entries, [](const StoreEntry &entry) {
        return std::holds_alternative<Workflow>(entry.record) || std::holds_alternative<WorkflowProgress>(entry.record);
    });
    if (!exists) {
        proveAgain(board, std::move(call));
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
        call.retryAt = board.now;
        if (++call.unansweredWrites >= maxUnansweredWrites) {
            refuse(board, call, RefusalReason::Timeout, "the store has not answered twice");
            return;
        }
        break;
    }
    // Sending the write again with the same conditions shows whether an earlier copy took effect.
    call.call.reset();
    putCall(board, std::move(call));
}

}
