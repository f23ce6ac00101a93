#include "callerchecks.h"
#include "controllers.h"
#include "tombstones.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Time that a caller without a deadline is assumed to wait.
constexpr Duration defaultAnswerTimeout{3'000};

// Time for the answer to reach the caller before the caller's deadline.
constexpr Duration answerMargin{150};

// Delay before the state of a workflow that has not ended is read a second time. The end of a task is stored about 10 ms after it happens. Callers that learn
// of the end elsewhere query at once, and would query again only much later.
constexpr Duration rereadDelay{25};

// Number of unanswered sendings of a write after which this host is probably cut off from the store. The caller is then better served by another host, which
// can find out whether the write took effect.
constexpr int maxUnansweredWrites = 2;

// Time between two reads of the summary for the shapes of targets, which change only when machines of another kind join.
constexpr Duration summaryRefresh{30'000};

// Retry delay for callers that another host can serve. Zero is reserved for refusals where a retry cannot succeed.
constexpr Duration retryAtOnce{1};

void putCall(WorkflowBoard &board, OpenCallerCall call)
{
    const CallId id = call.request.id;
    board.calls.put(id, std::move(call));
}

void answer(WorkflowBoard &board, const OpenCallerCall &call, CallerAnswer result)
{
    result.id = call.request.id;
    const std::string outcome = result.refusal ? std::string(name(result.refusal->reason)) : result.state ? std::string(name(*result.state)) : "done";
    count(board.counters, result.refusal ? "callsRefused" : "callsAnswered", outcome);
    addSample(board.counters, "answerMs", static_cast<double>((board.now - call.receivedAt).count()));
    const auto age = board.view.provenAt ? std::to_string((board.now - *board.view.provenAt).count()) : "unknown";
    logDecision(board,
                "answerCall",
                call.request.host,
                call.request.path,
                std::string(name(call.request.action)) + ": " + outcome + " after " + std::to_string((board.now - call.receivedAt).count())
                    + " ms, configuration " + std::to_string(board.view.configuration.version) + " proven " + age + " ms ago"
                    + (result.refusal ? ": " + result.refusal->message : ""));
    board.outbox.emplace_back(std::move(result));
    board.calls.erase(call.request.id);
}

/// Refuses a call that this host cannot serve now. If another host is ready, the caller is told to retry at once, otherwise after a delay. If it is not known
/// whether another host is ready, the other hosts are asked first.
void refuseUnavailable(WorkflowBoard &board, OpenCallerCall call, Refusal refusal)
{
    askOtherHosts(board);
    if (!areReadinessAnswersFresh(board)) {
        call.refusal = std::move(refusal);
        call.step = CallerStep::Refusing;
        call.call.reset();
        putCall(board, std::move(call));
        return;
    }
    refusal.retryAfter = isAnotherHostReady(board) ? retryAtOnce : board.self.limits.retryAfter;
    answer(board, call, {{}, std::move(refusal), {}, {}});
}

void refuse(WorkflowBoard &board, const OpenCallerCall &call, RefusalReason reason, const std::string &message)
{
    // After a write with an unknown outcome the answer must not claim that the workflow will not run.
    if (call.mayBeStored || reason == RefusalReason::Timeout) {
        refuseUnavailable(board, call, {RefusalReason::Timeout, RequestEffect::Unknown, Duration{0}, "the store may have accepted the request: " + message});
    } else if (reason == RefusalReason::StoreUnavailable) {
        refuseUnavailable(board, call, {reason, RequestEffect::NotRun, Duration{0}, message});
    } else {
        answer(board, call, {{}, Refusal{reason, RequestEffect::NotRun, Duration{0}, message}, {}, {}});
    }
}

/// The call's queue and organisation; refuses the call if the configuration does not allow it.
std::optional<RoutedCall> route(WorkflowBoard &board, const OpenCallerCall &call)
{
    auto routing = routeCall(board.view.configuration, call.request);
    if (const auto *refusal = std::get_if<Refusal>(&routing)) {
        refuse(board, call, refusal->reason, refusal->message);
        return std::nullopt;
    }
    return std::get<RoutedCall>(std::move(routing));
}

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
    transaction.conditions.push_back({workflowTombstoneKey(workflow.id), call.tombstone});
    transaction.writes.push_back({workflowKey(workflow.id), workflow, 0, false});
    WorkflowProgress progress;
    progress.organisation = routed.organisation;
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
        call.call = sendToStore(board, tombstoneTransaction(board, {routed.rest}), board.tombstones.lease);
    }
    putCall(board, std::move(call));
}

/// Handles the cancelling of a workflow that does not exist. A submission of it may still be on its way to the store, so the caller is answered once a tombstone
/// keeps that submission from taking effect.
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

void answerWaiting(WorkflowBoard &board, OpenCallerCall call, const RoutedCall &routed)
{
    auto &copy = board.summary;
    if (copy.summary && copy.readAt && board.now - *copy.readAt <= board.self.limits.summaryAge) {
        const int waiting = copy.summary && copy.summary->waiting.contains(routed.queue->id) ? copy.summary->waiting.at(routed.queue->id) : 0;
        answer(board, call, {{}, {}, {}, waiting});
        return;
    }
    if (!copy.read) {
        copy.read = sendToStore(board, StoreRange{domainSummaryKey(), false});
    }
    call.step = CallerStep::Reading;
    call.call = copy.read;
    putCall(board, std::move(call));
}

void handleSubmission(WorkflowBoard &board, const OpenCallerCall &call, const RoutedCall &routed)
{
    if (const auto refusal = checkSubmission(board, call.request, routed)) {
        refuse(board, call, refusal->reason, refusal->message);
        return;
    }
    submit(board, call, routed);
}

/// Handles a call once there is a fresh proof of the configuration.
void handle(WorkflowBoard &board, const OpenCallerCall &call)
{
    const auto routed = route(board, call);
    if (!routed) {
        return;
    }
    if (call.request.action == CallerAction::Submit) {
        handleSubmission(board, call, *routed);
    } else if (routed->rest.empty() && call.request.action == CallerAction::Query) {
        answerWaiting(board, call, *routed);
    } else if (!isRequestId(routed->rest)) {
        refuse(board, call, RefusalReason::NotFound, "no workflow has this id");
    } else {
        readProgress(board, call, *routed);
    }
}

bool isSummaryRead(const WorkflowBoard &board, const OpenCallerCall &call)
{
    return call.call && call.call == board.summary.read;
}

/// Reads the summary regularly, even if no caller asks for a count, because its shapes show which tasks can never fit.
void refreshSummary(WorkflowBoard &board)
{
    auto &copy = board.summary;
    if (copy.read || !board.view.isStoreReachable || board.isStopping) {
        return;
    }
    if (board.now >= copy.refreshAt) {
        const bool isKnown = copy.summary && !copy.summary->shapes.empty();
        copy.refreshAt = board.now + (isKnown ? summaryRefresh : board.self.limits.summaryAge);
        copy.read = sendToStore(board, StoreRange{domainSummaryKey(), false});
    }
    subscribeNoLaterThan(board.timers, "summaryCopy", copy.refreshAt);
}

void handleSummaryReply(WorkflowBoard &board)
{
    auto &copy = board.summary;
    const auto *reply = findReply(board, copy.read);
    if (reply == nullptr) {
        return;
    }
    if (reply->outcome == StoreOutcome::Applied) {
        copy.readAt = board.now;
        for (const auto &entry : reply->entries) {
            if (const auto *summary = std::get_if<DomainSummary>(&entry.record)) {
                copy.summary = *summary;
            }
        }
    }
    std::vector<OpenCallerCall> waiting;
    for (const auto &[id, call] : board.calls.rows()) {
        if (isSummaryRead(board, call)) {
            waiting.push_back(call);
        }
    }
    copy.read.reset();
    const bool isRead = reply->outcome == StoreOutcome::Applied;
    for (auto &call : waiting) {
        call.call.reset();
        if (isRead) {
            handle(board, call);
        } else {
            refuse(board, call, RefusalReason::StoreUnavailable, "the store does not answer");
        }
    }
}

void handleReadReply(WorkflowBoard &board, const OpenCallerCall &call, const StoreReply &reply)
{
    if (reply.outcome != StoreOutcome::Applied) {
        refuse(board, call, RefusalReason::StoreUnavailable, "the store does not answer");
        return;
    }
    const auto routed = route(board, call);
    if (!routed) {
        return;
    }
    const auto *progress = reply.entries.empty() ? nullptr : std::get_if<WorkflowProgress>(&reply.entries.front().record);
    if (progress == nullptr && call.request.action == CallerAction::Cancel) {
        excludeSubmission(board, call, *routed);
        return;
    }
    if (progress == nullptr || !mayAccess(*routed, progress->organisation)) {
        refuse(board, call, RefusalReason::NotFound, "no workflow has this id");
        return;
    }
    if (call.request.action == CallerAction::Query && !hasEnded(progress->state) && !call.hasRereadState) {
        OpenCallerCall again = call;
        again.hasRereadState = true;
        again.call.reset();
        again.retryAt = board.now + rereadDelay;
        putCall(board, std::move(again));
        return;
    }
    if (call.request.action == CallerAction::Query || hasEnded(progress->state)) {
        answer(board, call, {{}, {}, progress->state, {}});
        return;
    }
    cancel(board, call, *routed);
}

/// Decides what becomes of a submission whose workflow has another tombstone than it expected. No copy of the submission that was sent before can take effect any
/// more. A caller may submit a workflow that it has cancelled before, but a submission that has been under way for a while may itself be what was cancelled.
void handleTombstone(WorkflowBoard &board, OpenCallerCall call, Revision tombstone)
{
    const bool mayHaveBeenCancelled = call.mayBeStored || board.now - call.receivedAt > board.self.limits.storeTimeout;
    call.mayBeStored = false;
    if (mayHaveBeenCancelled) {
        answer(board, call, {{}, Refusal{RefusalReason::Cancelled, RequestEffect::NotRun, retryAtOnce, "the workflow was cancelled"}, {}, {}});
        return;
    }
    call.tombstone = tombstone;
    if (const auto routed = route(board, call)) {
        submit(board, call, *routed);
    }
}

/// The revision of the tombstone among the entries of the store's answer; zero if there is none.
Revision tombstoneRevision(const StoreReply &reply)
{
    const auto found = std::ranges::find_if(reply.entries, [](const StoreEntry &entry) { return std::holds_alternative<WorkflowTombstone>(entry.record); });
    return found == reply.entries.end() ? 0 : found->revision;
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

/// A condition failed: the workflow or cancellation exists already, its tombstone is not the expected one, or the configuration has changed.
void handleConflict(WorkflowBoard &board, OpenCallerCall call, const StoreReply &reply)
{
    for (const auto &entry : reply.entries) {
        const auto *workflow = std::get_if<Workflow>(&entry.record);
        const auto routed = workflow == nullptr ? std::nullopt : route(board, call);
        if (workflow != nullptr && !routed) {
            return;
        }
        if (routed && !mayAccess(*routed, workflow->organisation)) {
            call.mayBeStored = false; // An earlier copy of this write would have failed with the same conflict.
            refuse(board, call, RefusalReason::RequestIdReused, "another organisation has used this id");
            return;
        }
        if (workflow != nullptr || std::holds_alternative<WorkflowCancellation>(entry.record)) {
            answer(board, call, {});
            return;
        }
    }
    if (const auto tombstone = tombstoneRevision(reply); call.request.action == CallerAction::Submit && tombstone != call.tombstone) {
        handleTombstone(board, std::move(call), tombstone);
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

void resend(WorkflowBoard &board, const OpenCallerCall &call)
{
    const auto routed = route(board, call);
    if (!routed) {
        return;
    }
    if (call.step == CallerStep::Reading) {
        readProgress(board, call, *routed);
    } else if (call.step == CallerStep::WritingTombstone) {
        writeTombstone(board, call, *routed);
    } else if (call.request.action == CallerAction::Submit) {
        submit(board, call, *routed);
    } else {
        cancel(board, call, *routed);
    }
}

bool isWriting(const OpenCallerCall &call)
{
    return call.step == CallerStep::Writing || call.step == CallerStep::WritingTombstone;
}

void continueCall(WorkflowBoard &board, const OpenCallerCall &call)
{
    if (call.step == CallerStep::Refusing) {
        if (areReadinessAnswersFresh(board)) {
            refuseUnavailable(board, call, *call.refusal);
        }
        return;
    }
    if (const auto *reply = findReply(board, call.call)) {
        if (call.step == CallerStep::Reading) {
            handleReadReply(board, call, *reply);
        } else if (isWriting(call)) {
            handleWriteReply(board, call, *reply);
        }
        return;
    }
    if (board.now >= call.answerBy) {
        const bool isWriteUnderWay = isWriting(call) && call.call;
        refuse(board, call, isWriteUnderWay ? RefusalReason::Timeout : RefusalReason::StoreUnavailable, "the store has not answered in time");
    } else if (call.step == CallerStep::Proving && !board.view.isStoreReachable) {
        // The call is refused even if the proof is still fresh: a request sent now would most likely be lost, and the caller could not tell whether it was
        // accepted.
        refuse(board, call, RefusalReason::StoreUnavailable, board.view.isLoaded ? "the store does not answer" : "the host has no configuration yet");
    } else if (call.step == CallerStep::Proving && isProofFresh(board)) {
        handle(board, call);
    } else if (call.step == CallerStep::WritingTombstone && !call.call && !hasTombstoneLease(board)) {
        if (!board.tombstones.grant) {
            refuse(board, call, RefusalReason::StoreUnavailable, "the store has granted no lease");
        }
    } else if (call.step != CallerStep::Proving && !call.call && board.now >= call.retryAt) {
        resend(board, call);
    }
}

void openCalls(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        if (const auto *request = std::get_if<CallerRequest>(&event)) {
            OpenCallerCall call;
            call.request = *request;
            call.receivedAt = board.now;
            const auto timeout = request->answerTimeout > Duration{0} ? request->answerTimeout : defaultAnswerTimeout;
            call.answerBy = board.now + std::max(timeout - answerMargin, timeout / 2);
            putCall(board, std::move(call));
        } else if (const auto *abandoned = std::get_if<CallAbandoned>(&event)) {
            board.calls.erase(abandoned->id);
        }
    }
}

}

void answerCallers(WorkflowBoard &board)
{
    openCalls(board);
    followTombstoneLease(board);
    refreshSummary(board);
    handleSummaryReply(board);
    std::vector<OpenCallerCall> open;
    std::ranges::transform(board.calls.rows(), std::back_inserter(open), [](const auto &row) { return row.second; });
    for (const auto &call : open) {
        if (!isSummaryRead(board, call) && board.calls.contains(call.request.id)) {
            continueCall(board, call);
        }
    }
    for (const auto &[id, call] : board.calls.rows()) {
        const bool waitsForRetry = !call.call
                                   && (call.step == CallerStep::Reading || call.step == CallerStep::Writing
                                       || (call.step == CallerStep::WritingTombstone && hasTombstoneLease(board)));
        subscribeNoLaterThan(board.timers, "calls", waitsForRetry ? std::min(call.retryAt, call.answerBy) : call.answerBy);
    }
}

}
