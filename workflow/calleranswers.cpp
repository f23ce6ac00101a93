#include "calleranswers.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>
#include <variant>

namespace sequoiastand
{

namespace
{

// Time that a caller without a deadline is assumed to wait.
constexpr Duration defaultAnswerTimeout{3'000};

// Time for the answer to reach the caller before the caller's deadline, at most a quarter of the time for which the caller waits.
constexpr Duration answerMargin{150};
constexpr int timeoutsPerMargin = 4;

// A call is tried for at least this part of the caller's timeout, also by a host whose lag exceeds it.
constexpr int timeoutsPerLeastPeriod = 4;

/// The owner that this host knows, and since when.
std::string ownerText(const Ownership &ownership, TimePoint now)
{
    if (!ownership.holder) {
        return ", no owner known";
    }
    const auto since = ownership.knownSince ? " for " + std::to_string((now - *ownership.knownSince).count()) + " ms" : "";
    return ", owner " + ownership.holder->host.value + since;
}

}

std::string_view name(CallerStep step)
{
    static constexpr std::array<std::string_view, 6> names{"proving", "awaitingRead", "reading", "writing", "writingTombstone", "refusing"};
    return names.at(static_cast<std::size_t>(step));
}

std::optional<TimePoint> configurationProvenAt(const ConfigurationView &view)
{
    return std::max(view.provenAt, view.currentAt);
}

bool isConfigurationFresh(const WorkflowBoard &board)
{
    const auto provenAt = configurationProvenAt(board.view);
    return board.view.isLoaded && provenAt && board.now - *provenAt <= board.self.limits.maxProofAge;
}

TimePoint latestAnswer(const WorkflowBoard &board, const OpenCallerCall &call)
{
    const auto timeout = call.request.answerTimeout > Duration{0} ? call.request.answerTimeout : defaultAnswerTimeout;
    const auto margin = std::min(answerMargin, timeout / timeoutsPerMargin);
    // The caller has waited for one lag before its request is read, and the timer that ends the call may fire as late as any timer recently.
    const auto lag = std::chrono::duration_cast<Duration>(board.lag.mean + board.lag.peak);
    const auto period = std::max(timeout - margin - lag, timeout / timeoutsPerLeastPeriod);
    return std::min(call.answerBy, call.receivedAt + period);
}

void putCall(WorkflowBoard &board, OpenCallerCall call)
{
    const CallId id = call.request.id;
    board.calls.put(id, std::move(call));
}

void answer(WorkflowBoard &board, const OpenCallerCall &call, CallerAnswer result, const std::string &detail)
{
    result.id = call.request.id;
    const std::string outcome = result.refusal ? std::string(name(result.refusal->reason)) : result.state ? std::string(name(*result.state)) : "done";
    count(board.counters, result.refusal ? "callsRefused" : "callsAnswered", outcome);
    const auto timeout = call.request.answerTimeout;
    const auto took = board.now - call.receivedAt;
    addSample(board.counters, "answerMs", static_cast<double>(took.count()));
    if (timeout > Duration{0} && took >= timeout) {
        count(board.counters, "answersAfterDeadline", outcome);
    }
    const auto provenAt = configurationProvenAt(board.view);
    const auto age = provenAt ? std::to_string((board.now - *provenAt).count()) : "unknown";
    logDecision(board,
                "answerCall",
                call.request.host,
                call.request.path,
                std::string(name(call.request.action)) + ": " + outcome + " after " + std::to_string(took.count()) + " ms"
                    + (timeout > Duration{0} ? " of " + std::to_string(timeout.count()) : "") + ", configuration "
                    + std::to_string(board.view.configuration.version) + " proven " + age + " ms ago"
                    + (call.request.action == CallerAction::Query ? ownerText(board.ownership, board.now) : "") + detail
                    + (result.refusal ? ": " + result.refusal->message : ""));
    board.outbox.emplace_back(std::move(result));
    board.calls.erase(call.request.id);
}

std::string storedState(const WorkflowProgress &progress)
{
    if (hasEnded(progress.state)) {
        return {};
    }
    int tasks = 0;
    int finished = 0;
    std::string firstPlace;
    int recorded = 0;
    int newestRun = 0;
    for (const auto &task :
         progress.occurrences | std::views::values | std::views::transform(&OccurrenceProgress::steps) | std::views::join | std::views::join) {
        ++tasks;
        finished += task.isFinished ? 1 : 0;
        newestRun = std::max(newestRun, task.lastRun);
        if (!task.isFinished && task.place) {
            ++recorded;
            firstPlace = firstPlace.empty() ? task.place->target.value : firstPlace;
        }
    }
    if (newestRun == 0) {
        return ", stored: no run recorded";
    }
    return ", stored: " + std::to_string(finished) + " of " + std::to_string(tasks) + " tasks finished, "
           + (recorded == 0 ? "no run recorded now" : std::to_string(recorded) + " runs recorded, the first on " + firstPlace) + ", newest run "
           + std::to_string(newestRun);
}

void refuseUnavailable(WorkflowBoard &board, OpenCallerCall call, Refusal refusal)
{
    call.refusedStep = call.step;
    call.refusal = std::move(refusal);
    // All readiness checks have ended by then, even if this host reads the answers too late to use them.
    const auto answerBy = std::min(latestAnswer(board, call), board.now + readinessTimeout(board));
    askOtherHosts(board);
    if (areReadinessAnswersFresh(board) || board.now >= answerBy) {
        answerRefusal(board, call);
        return;
    }
    call.step = CallerStep::Refusing;
    call.call.reset();
    call.answerBy = answerBy;
    putCall(board, std::move(call));
}

void answerRefusal(WorkflowBoard &board, const OpenCallerCall &call)
{
    Refusal refusal = *call.refusal;
    refusal.retryAfter = isAnotherHostReady(board) ? retryAtOnce : board.self.limits.retryAfter;
    const std::string step(name(call.refusedStep));
    count(board.counters, "callsUnavailable", std::string(name(call.request.action)) + " " + step);
    answer(board, call, {{}, std::move(refusal), {}, {}}, ", " + step);
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

std::optional<RoutedCall> route(WorkflowBoard &board, const OpenCallerCall &call)
{
    auto routing = routeCall(board.view.configuration, call.request);
    if (const auto *refusal = std::get_if<Refusal>(&routing)) {
        refuse(board, call, refusal->reason, refusal->message);
        return std::nullopt;
    }
    return std::get<RoutedCall>(std::move(routing));
}
}
