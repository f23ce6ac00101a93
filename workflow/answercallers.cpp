#include "calleranswers.h"
#include "callerreads.h"
#include "callerwrites.h"
#include "controllers.h"
#include "core/requestid.h"
#include "tombstones.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Delay before the state of a workflow that has not ended is read a second time. The end of a task is stored about 10 ms after it happens. Callers that learn
// of the end elsewhere query at once, and would query again only much later.
constexpr Duration rereadDelay{25};

// Time between two reads of the summary for the shapes of targets, which change only when machines of another kind join.
constexpr Duration summaryRefresh{30'000};

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

/// Handles a call once there is a fresh proof of the configuration. The owner and the evacuations do not matter to callers.
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
        if (!isRead) {
            refuse(board, call, RefusalReason::StoreUnavailable, "the store does not answer");
        } else if (copy.summary) {
            handle(board, call);
        } else {
            // No owner has stored a summary yet.
            call.retryAt = board.now + board.self.limits.storeRetry;
            putCall(board, std::move(call));
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
    if (progress == nullptr && (!reply.entries.empty() || !reply.error.empty())) {
        refuse(board, call, RefusalReason::StoreUnavailable, "the stored state of the workflow cannot be decoded: " + reply.error);
        return;
    }
    if (progress == nullptr && call.request.action == CallerAction::Cancel) {
        excludeSubmission(board, call, *routed);
        return;
    }
    if (progress == nullptr || !mayAccess(board.view.configuration, *routed, {progress->organisation, progress->queue})) {
        refuse(board, call, RefusalReason::NotFound, "no workflow has this id");
        return;
    }
    // While other calls wait, the second read would take the place of one of theirs.
    const bool mayReread = board.now + rereadDelay < latestAnswer(board, call) && waitingCallerReads(board) == 0;
    if (call.request.action == CallerAction::Query && !hasEnded(progress->state) && !call.hasRereadState && mayReread) {
        OpenCallerCall again = call;
        again.hasRereadState = true;
        again.step = CallerStep::AwaitingRead;
        again.call.reset();
        again.retryAt = board.now + rereadDelay;
        putCall(board, std::move(again));
        return;
    }
    if (call.request.action == CallerAction::Query || hasEnded(progress->state)) {
        answer(board, call, {{}, {}, progress->state, {}}, call.request.action == CallerAction::Query ? storedState(*progress) : "");
        return;
    }
    cancel(board, call, *routed);
}

void resend(WorkflowBoard &board, const OpenCallerCall &call)
{
    if (call.step == CallerStep::Reading) {
        handle(board, call);
        return;
    }
    const auto routed = route(board, call);
    if (!routed) {
        return;
    }
    if (call.step == CallerStep::WritingTombstone) {
        writeTombstone(board, call, *routed);
    } else if (call.request.action == CallerAction::Submit) {
        submit(board, call, *routed);
    } else {
        cancel(board, call, *routed);
    }
}

/// Checks again whether the call may be served. The proof may become too old while many reads are waiting.
void continueWaiting(WorkflowBoard &board, OpenCallerCall call)
{
    if (!board.view.isStoreReachable) {
        refuse(board, call, RefusalReason::StoreUnavailable, "the store does not answer");
    } else if (!isConfigurationFresh(board)) {
        call.step = CallerStep::Proving;
        call.provingSince = board.now;
        putCall(board, std::move(call));
    }
}

std::string lateAnswerText(const OpenCallerCall &call)
{
    if (call.step == CallerStep::Proving) {
        return "the configuration has not been proven in time";
    }
    return call.step == CallerStep::AwaitingRead ? "the state could not be read in time" : "the store has not answered in time";
}

/// From this time on the call's proof counts as late. Every proof can be late for a moment, so the call waits for the time in which the store answers a host
/// that is well, however long this host has to wait for the store.
TimePoint proofLateAt(const WorkflowBoard &board, const OpenCallerCall &call)
{
    return call.provingSince + timeoutWithLag(board, board.self.limits.storeTimeout);
}

void continueCall(WorkflowBoard &board, const OpenCallerCall &call)
{
    if (call.step == CallerStep::Refusing) {
        if (areReadinessAnswersFresh(board) || board.now >= latestAnswer(board, call)) {
            answerRefusal(board, call);
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
    if (board.now >= latestAnswer(board, call)) {
        const bool isWriteUnderWay = isWriting(call) && call.call;
        refuse(board, call, isWriteUnderWay ? RefusalReason::Timeout : RefusalReason::StoreUnavailable, lateAnswerText(call));
    } else if (call.step == CallerStep::AwaitingRead) {
        continueWaiting(board, call);
    } else if (call.step == CallerStep::Proving && !board.view.isStoreReachable) {
        // The call is refused even if the proof is still fresh: a request sent now would most likely be lost, and the caller could not tell whether it was
        // accepted.
        refuse(board, call, RefusalReason::StoreUnavailable, board.view.isLoaded ? "the store does not answer" : "the host has no configuration yet");
    } else if (call.step == CallerStep::Proving && board.view.isUnreadable) {
        refuse(board, call, RefusalReason::StoreUnavailable, "the newest configuration cannot be decoded");
    } else if (call.step == CallerStep::Proving && isConfigurationFresh(board) && !awaitsProof(board, call)) {
        handle(board, call);
    } else if (call.step == CallerStep::Proving && !isConfigurationFresh(board) && board.now >= proofLateAt(board, call) && areMostOtherHostsReady(board)) {
        refuse(board, call, RefusalReason::StoreUnavailable, "the proof of the configuration is late, and other hosts are ready");
    } else if (call.step == CallerStep::WritingTombstone && !call.call && !hasTombstoneLease(board)) {
        if (!board.tombstones.grant) {
            refuse(board, call, RefusalReason::StoreUnavailable, "the store has granted no lease");
        }
    } else if (call.step != CallerStep::Proving && !call.call && board.now >= call.retryAt) {
        resend(board, call);
    }
}

/// When other hosts are asked whether they could serve the caller: so early that their answers are known when the call has to be answered, and once its proof
/// is late.
TimePoint askOthersAt(const WorkflowBoard &board, const OpenCallerCall &call)
{
    const auto last = latestAnswer(board, call) - readinessTimeout(board);
    return call.step == CallerStep::Proving && !isConfigurationFresh(board) ? std::min(last, proofLateAt(board, call)) : last;
}

/// When the call has to be considered again, even if nothing happens before.
TimePoint nextTime(const WorkflowBoard &board, const OpenCallerCall &call)
{
    auto next = latestAnswer(board, call);
    if (call.step == CallerStep::Refusing) {
        return next;
    }
    const auto askAt = askOthersAt(board, call);
    next = std::min(next, board.now < askAt ? askAt : nextReadinessRound(board));
    if (call.step == CallerStep::AwaitingRead) {
        // A call whose read is due waits for the end of another read.
        return call.retryAt > board.now ? std::min(next, call.retryAt) : next;
    }
    const bool waitsForRetry =
        !call.call
        && (call.step == CallerStep::Reading || call.step == CallerStep::Writing || (call.step == CallerStep::WritingTombstone && hasTombstoneLease(board)));
    return waitsForRetry ? std::min(next, call.retryAt) : next;
}

void openCalls(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        if (const auto *request = std::get_if<CallerRequest>(&event)) {
            OpenCallerCall call;
            call.request = *request;
            call.receivedAt = board.now;
            call.provingSince = board.now;
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
    followCallerReads(board);
    followTombstoneLease(board);
    refreshSummary(board);
    handleSummaryReply(board);
    std::vector<OpenCallerCall> open;
    std::ranges::transform(board.calls.rows(), std::back_inserter(open), [](const auto &row) { return row.second; });
    for (const auto &call : open) {
        if (!board.calls.contains(call.request.id)) {
            continue;
        }
        if (call.step != CallerStep::Refusing && board.now >= askOthersAt(board, call)) {
            askOtherHosts(board);
        }
        if (!isSummaryRead(board, call) || board.now >= latestAnswer(board, call)) {
            continueCall(board, call);
        }
    }
    sendCallerReads(board);
    std::ranges::for_each(board.calls.rows(), [&](const auto &row) { subscribeNoLaterThan(board.timers, "calls", nextTime(board, row.second)); });
}

}
