#include "controllers.h"

#include "jobrecord.h"
#include "storeaccess.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Time after which an open submission is refused. It takes effect only if updateJobs has not resolved the submission before.
constexpr Duration submitLimit{10'000};
constexpr Duration cancelLimit{5'000};
constexpr Duration maxStatusWait{600'000};
constexpr Duration retryAfter{1'000};

JobId jobOf(const OpenCall &call)
{
    return std::visit(
        [](const auto &request) {
            if constexpr (std::is_same_v<std::decay_t<decltype(request)>, SubmitRequest>) {
                return request.specification.id;
            } else {
                return request.job;
            }
        },
        call.request);
}

void open(Blackboard &board, OpenCall call)
{
    board.callIndex.byJob.emplace(jobOf(call), call.id);
    board.callIndex.byDeadline.emplace(call.answerBy, call.id);
    const CallId id = call.id;
    board.calls.put(id, std::move(call));
}

void closeCall(Blackboard &board, const CallId &id)
{
    const OpenCall *call = board.calls.find(id);
    if (call == nullptr) {
        return;
    }
    board.callIndex.byJob.erase({jobOf(*call), id});
    board.callIndex.byDeadline.erase({call->answerBy, id});
    board.calls.erase(id);
}

void answer(Blackboard &board, const CallId &id, const Job &job)
{
    board.outbox.emplace_back(CallerReply{.id = id, .job = job});
    count(board.counters, "answers", "job");
    closeCall(board, id);
}

void refuse(Blackboard &board, const CallId &id, Refusal refusal)
{
    count(board.counters, "answers", std::string(name(refusal.reason)));
    board.outbox.emplace_back(CallerReply{.id = id, .refusal = std::move(refusal)});
    closeCall(board, id);
}

/// Refusal for a job that is not on the board. The watch may not have delivered a job that another host has just accepted, so the refusal does not claim
/// that the job was not run.
Refusal unknownJobRefusal(const Blackboard &board)
{
    if (board.store.isLoaded && board.store.isWatching && canReachStore(board)) {
        return {RefusalReason::NotFound, RequestEffect::Unknown, retryAfter, "this host has no job with this request id"};
    }
    return {RefusalReason::StoreUnavailable, RequestEffect::Unknown, retryAfter, "this host cannot read the store, so it may not have every job"};
}

void answerSubmitIfPossible(Blackboard &board, const CallId &id, const SubmitRequest &request)
{
    const Job *job = board.jobs.find(request.specification.id);
    if (job == nullptr) {
        return;
    }
    if (job->specification != request.specification) {
        refuse(board, id, {RefusalReason::RequestIdReused, RequestEffect::NotRun, Duration{0}, "the request id was used before with different content"});
    } else if (!board.jobUpdateState.submissions.contains(request.specification.id)) {
        answer(board, id, *job);
    }
}

void answerStatusIfPossible(Blackboard &board, const CallId &id, const StatusRequest &request)
{
    const Job *job = board.jobs.find(request.job);
    const bool isPending = board.jobUpdateState.submissions.contains(request.job);
    if (job == nullptr && !isPending) {
        refuse(board, id, unknownJobRefusal(board));
    } else if (job != nullptr && !isPending && (isTerminal(job->state) || request.wait <= Duration{0})) {
        answer(board, id, *job);
    }
}

/// Answers a cancellation once it cannot be lost any more: the request is stored, or the job has ended.
void answerCancelIfPossible(Blackboard &board, const CallId &id, const CancelRequest &request)
{
    const Job *job = board.jobs.find(request.job);
    if (job == nullptr && !board.jobUpdateState.submissions.contains(request.job)) {
        refuse(board, id, unknownJobRefusal(board));
    } else if (job != nullptr
               && (isTerminal(job->state) || (job->isCancelRequested && job->revision > 0 && !board.jobUpdateState.unsaved.contains(request.job)))) {
        answer(board, id, *job);
    }
}

/// Answers the call if the present state of its job permits an answer.
void answerIfPossible(Blackboard &board, const CallId &id)
{
    const OpenCall *open = board.calls.find(id);
    if (open == nullptr) {
        return;
    }
    const OpenCall call = *open;
    if (const auto *submit = std::get_if<SubmitRequest>(&call.request)) {
        answerSubmitIfPossible(board, id, *submit);
    } else if (const auto *status = std::get_if<StatusRequest>(&call.request)) {
        answerStatusIfPossible(board, id, *status);
    } else if (const auto *cancel = std::get_if<CancelRequest>(&call.request)) {
        answerCancelIfPossible(board, id, *cancel);
    }
}

std::vector<CallId> callsOf(const Blackboard &board, const JobId &job)
{
    std::vector<CallId> ids;
    for (auto entry = board.callIndex.byJob.lower_bound({job, CallId{0}}); entry != board.callIndex.byJob.end() && entry->first == job; ++entry) {
        ids.push_back(entry->second);
    }
    return ids;
}

TimePoint answerByWhenStopping(const Blackboard &board)
{
    return board.callIndex.stoppingSince.value_or(board.now) + board.self.limits.stopLimit;
}

void openCalls(Blackboard &board, std::vector<CallId> &affected)
{
    for (const Event &event : board.inbox) {
        if (const auto *submit = std::get_if<SubmitRequest>(&event)) {
            open(board, {submit->id, *submit, board.now + submitLimit});
            affected.push_back(submit->id);
        } else if (const auto *status = std::get_if<StatusRequest>(&event)) {
            const TimePoint answerBy = board.now + std::clamp(status->wait, Duration{0}, maxStatusWait);
            open(board, {status->id, *status, board.isStopping ? std::min(answerBy, answerByWhenStopping(board)) : answerBy});
            affected.push_back(status->id);
        } else if (const auto *cancel = std::get_if<CancelRequest>(&event)) {
            open(board, {cancel->id, *cancel, board.now + cancelLimit});
            affected.push_back(cancel->id);
        } else if (const auto *abandoned = std::get_if<CallAbandoned>(&event)) {
            closeCall(board, abandoned->id);
        }
    }
}

void refuseSubmissions(Blackboard &board)
{
    for (const RefusedSubmission &refused : board.jobUpdateState.refusals) {
        const std::vector<CallId> ids = refused.call ? std::vector<CallId>{*refused.call} : callsOf(board, refused.job);
        for (const CallId &id : ids) {
            const OpenCall *call = board.calls.find(id);
            if (call != nullptr && std::holds_alternative<SubmitRequest>(call->request)) {
                refuse(board, id, refused.refusal);
            }
        }
    }
}

Refusal overdueRefusal(const Blackboard &board, const OpenCall &call)
{
    if (board.isStopping) {
        return {RefusalReason::ShuttingDown, RequestEffect::Unknown, Duration{0}, "this host is stopping; send the same request id to another host"};
    }
    if (std::holds_alternative<CancelRequest>(call.request)) {
        return {RefusalReason::StoreUnavailable, RequestEffect::Unknown, retryAfter, "the cancellation is queued but not stored yet"};
    }
    return {RefusalReason::Timeout, RequestEffect::Unknown, retryAfter, "no answer in time; send the same request id again to learn the job's state"};
}

/// Answers calls past their deadline: a status request with the present state of the job, any other call with a refusal.
void answerOverdueCalls(Blackboard &board)
{
    while (!board.callIndex.byDeadline.empty() && board.callIndex.byDeadline.begin()->first <= board.now) {
        const CallId id = board.callIndex.byDeadline.begin()->second;
        const OpenCall call = *board.calls.find(id);
        const Job *job = board.jobs.find(jobOf(call));
        const bool isStopDeadlineReached = board.isStopping && board.now >= answerByWhenStopping(board);
        if (std::holds_alternative<StatusRequest>(call.request) && job != nullptr && !isStopDeadlineReached) {
            answer(board, id, *job);
        } else {
            refuse(board, id, overdueRefusal(board, call));
        }
    }
}

/// When this host begins to stop, limits the deadlines of open calls to the deadline of the stop.
void limitDeadlinesToStop(Blackboard &board)
{
    if (!board.isStopping || board.callIndex.stoppingSince) {
        return;
    }
    board.callIndex.stoppingSince = board.now;
    const TimePoint limit = answerByWhenStopping(board);
    std::vector<OpenCall> lateCalls;
    for (const auto &[id, call] : board.calls.rows()) {
        if (call.answerBy > limit) {
            lateCalls.push_back(call);
        }
    }
    for (OpenCall &call : lateCalls) {
        closeCall(board, call.id);
        call.answerBy = limit;
        open(board, std::move(call));
    }
}

}

void answerCallers(Blackboard &board)
{
    std::vector<CallId> affected;
    limitDeadlinesToStop(board);
    openCalls(board, affected);
    refuseSubmissions(board);
    for (const JobId &job : board.jobs.changes()) {
        const std::vector<CallId> ids = callsOf(board, job);
        affected.insert(affected.end(), ids.begin(), ids.end());
    }
    for (const CallId &id : affected) {
        answerIfPossible(board, id);
    }
    answerOverdueCalls(board);
    if (board.callIndex.byDeadline.empty()) {
        unsubscribe(board.timers, "answers");
    } else {
        subscribe(board.timers, "answers", board.callIndex.byDeadline.begin()->first);
    }
}

}
