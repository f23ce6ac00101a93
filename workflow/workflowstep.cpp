#include "workflowstep.h"

#include "controllers.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

// Time over which the timer lag is averaged.
constexpr std::chrono::duration<double> lagWindow{1.0};

// Time over which the largest lag fades. Lags of a host with little processor time come with bursts of work, such as new configurations.
constexpr std::chrono::duration<double> peakWindow{5.0};

// The lag of one step is limited to twice the mean (or the peak) plus this time, which is one period of the processor quota. The single very large lag of a host that was
// suspended then raises the mean only a little, whereas the repeated lags of a host without processor time raise it fully.
constexpr Duration lagRise{100};

void applyProcessEvents(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        if (std::holds_alternative<StopRequested>(event)) {
            board.isStopping = true;
        } else if (const auto *changed = std::get_if<SettingsChanged>(&event)) {
            board.self.limits = changed->settings.limits;
            board.self.availabilityZones = changed->settings.availabilityZones;
            board.self.processorShare = changed->settings.processorShare;
        }
    }
}

/// Adds the lag of the current step to the mean, before the step's timers fire. If a timer was already due when the previous step subscribed it, its lag counts
/// from that step.
LoopLag measured(LoopLag lag, const TimerTable &timers, TimePoint previousStep, TimePoint now)
{
    const auto due = nextDue(timers);
    if (!due || *due > now) {
        return lag;
    }
    const auto elapsed = std::chrono::duration<double>(now - lag.measuredAt);
    const double weight = std::min(1.0, elapsed / lagWindow);
    const std::chrono::microseconds whole = now - std::max(*due, previousStep);
    const auto late = std::min<std::chrono::microseconds>(whole, 2 * lag.mean + lagRise);
    const auto faded = std::chrono::duration_cast<std::chrono::microseconds>(lag.peak * std::max(0.0, 1.0 - elapsed / peakWindow));
    lag.peak = std::max(faded, std::min<std::chrono::microseconds>(whole, 2 * lag.peak + lagRise));
    lag.mean += std::chrono::duration_cast<std::chrono::microseconds>((late - lag.mean) * weight);
    lag.measuredAt = now;
    return lag;
}

void readTimeOfDay(WorkflowBoard &board, WallTime systemTime)
{
    const auto former = board.civilClock;
    board.civilClock = withReading(former, board.now, systemTime);
    board.wallNow = timeOfDay(board.civilClock, board.now);
    if (board.civilClock.jumpedAt != former.jumpedAt) {
        const auto jump = board.civilClock.latestOffset - former.latestOffset;
        const bool isBack = board.civilClock.latestOffset == board.civilClock.offset;
        const std::string effect = isBack ? "back to the time in use" : "ignored unless it lasts";
        logDecision(board, "readClock", "", "", "the system's time of day has jumped by " + std::to_string(jump.count()) + " ms, " + effect, !isBack);
    } else if (std::chrono::abs(board.civilClock.offset - former.offset) > std::chrono::abs(board.civilClock.latestOffset - former.latestOffset)) {
        const auto change = board.civilClock.offset - former.offset;
        logDecision(board, "readClock", "", "", "adopted a jump of the time of day by " + std::to_string(change.count()) + " ms");
    }
}

}

WorkflowBoard makeWorkflowBoard(const DomainSettings &settings, TimePoint now, WallTime wallNow)
{
    WorkflowBoard board;
    board.self = settings;
    board.now = now;
    board.civilClock = makeCivilClock(now, wallNow);
    board.wallNow = wallNow;
    board.randomState = settings.randomSeed;
    board.lag.measuredAt = now;
    subscribe(board.timers, "start", now);
    return board;
}

void step(WorkflowBoard &board, std::vector<WorkflowEvent> events, TimePoint now, WallTime wallNow)
{
    board.lag = measured(board.lag, board.timers, board.now, now);
    board.now = now;
    readTimeOfDay(board, wallNow);
    board.inbox = std::move(events);
    fireTimers(board.timers, now);
    applyProcessEvents(board);
    measureStoreAnswers(board);
    followStore(board);
    proveConfiguration(board);
    pauseConfigurationWatch(board);
    claimDomain(board);
    followHosts(board);
    checkDuties(board);
    handOver(board);
    followAccessFence(board);
    loadDomain(board);
    followTargets(board);
    followRuns(board);
    stopLateStarts(board);
    advanceWorkflows(board);
    followAdvice(board);
    planWork(board);
    commitProgress(board);
    driveRuns(board);
    explainWaits(board);
    paceFillers(board);
    holdTargets(board);
    answerCallers(board);
    board.inbox.clear();
    board.updates.clear();
    board.timers.due.clear();
    board.workflows.clearChanges();
    board.runs.clearChanges();
    board.targets.clearChanges();
    board.calls.clearChanges();
}

bool isReady(const WorkflowBoard &board)
{
    return !board.isStopping && board.view.isStoreReachable && board.view.failedProofs == 0 && isProofFresh(board);
}

bool isFitToOwn(const WorkflowBoard &board)
{
    const bool isReading = std::ranges::none_of(board.mirrors, [](const auto &row) { return row.second.failingSince.has_value(); });
    return isReady(board) && isReading && board.now >= board.ownership.unfitUntil;
}

bool isIdle(const WorkflowBoard &board)
{
    return board.isStopping && board.calls.isEmpty() && board.ownership.step == OwnershipStep::Follower;
}

}
