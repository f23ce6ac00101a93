#include "targetlease.h"

#include "progresschange.h"
#include "runends.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// Slowest rate of a target's clock that the platform allows: 2 % slow.
constexpr double slowestClockRate = 0.98;

// The clocks of hosts and targets may jump by seconds. A true start must never be refused, so the limit is well above that.
constexpr Duration maxClockLead{600'000};

// Margin for timers that fire late on the target.
constexpr Duration lapseMargin{250};

Duration onSlowestClock(Duration onTargetClock)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(onTargetClock.count()) / slowestClockRate)};
}

}

std::optional<TargetClock> estimatedClock(const DomainTarget &target, TimePoint now)
{
    if (!target.clock) {
        return std::nullopt;
    }
    return target.clock->clock + (now - target.clock->receivedAt);
}

TimePoint latestLapseAt(const DomainTarget &target)
{
    TimePoint lapsed = target.formerRunsLapseAt.value_or(TimePoint{});
    if (target.clock && target.heldUntil > target.clock->clock) {
        lapsed = std::max(lapsed, target.clock->receivedAt + onSlowestClock(target.heldUntil - target.clock->clock) + lapseMargin);
    }
    return lapsed;
}

Duration maxFormerOwnerLease(const DomainLimits &limits)
{
    return onSlowestClock(limits.holdMax) + lapseMargin;
}

void noteLateStart(WorkflowBoard &board, const TaskRun &run)
{
    const auto known = std::ranges::find_if(board.lateStarts, [&](const LateStart &late) { return late.task == run.task && late.run == run.number; });
    if (known == board.lateStarts.end()) {
        std::erase_if(board.lateStarts, [&](const LateStart &late) { return late.until <= board.now; });
        board.lateStarts.push_back({run.task, run.number, run.place.target, board.now + maxDeliveryDelay});
    } else {
        known->until = board.now + maxDeliveryDelay;
        known->isFenced = false;
    }
}

void fenceLateStart(WorkflowBoard &board, const TaskId &task, int run)
{
    const auto known = std::ranges::find_if(board.lateStarts, [&](const LateStart &late) { return late.task == task && late.run == run; });
    if (known != board.lateStarts.end()) {
        known->isFenced = true;
    }
}

void requireStopsOfLateStarts(WorkflowBoard &board, const TargetId &target)
{
    const auto require = [&](LateStart late) {
        if (late.target == target) {
            late.isStopWanted = true;
            late.isFenced = false;
            late.stop.reset();
            late.stopRetryAt = board.now;
        }
        return late;
    };
    std::ranges::transform(board.lateStarts, board.lateStarts.begin(), require);
}

namespace
{

/// True if a start order for the run may still arrive. The new instance would execute this order, because it knows neither fencing tokens nor runs yet.
bool canStartOrderStillArrive(const TaskRun &run)
{
    return run.mayArriveLate || (run.call && !run.isStopCall);
}

/// True if the run may be on the new instance. Only a run in the former instance's lists was certainly on the former instance. An answer to a start order names
/// no instance, so it may have come from the new one.
bool couldBeOnNewInstance(const TaskRun &run)
{
    return run.step == RunStep::Unconfirmed || !run.isListed;
}

void loseWithFormerInstance(WorkflowBoard &board, const TaskRun &run)
{
    const auto message = "run " + std::to_string(run.number) + " is lost with the target's former instance";
    logDecision(board, "loseRun", run.place.target.value, toString(run.task), message);
    count(board.counters, "runsEnded", "targetGone");
    removeRun(board, run);
}

void moveToNextInstance(WorkflowBoard &board, TaskRun run, const TargetInstance &instance)
{
    const bool needsStop = canStartOrderStillArrive(run);
    if (run.call && !run.isStopCall) {
        noteLateStart(board, run);
    }
    // The answer to an order under way may come from the former instance, so it says nothing about the new one.
    run.call.reset();
    run.retryAt = board.now;
    run.place = instance;
    run.isListed = false;
    run.stoppedAt.reset();
    run.startDeadline.reset();
    run.isStopWanted = run.isStopWanted || needsStop;
    run.step = needsStop ? RunStep::Ending : RunStep::Unconfirmed;
    run.stepSince = board.now;
    putRun(board, run);
    changeTask(board, run.task, [&](TaskProgress &task) {
        if (task.lastRun == run.number && task.place) {
            task.place = instance;
        }
    });
    logDecision(board, "renewTarget", instance.target.value, toString(run.task), "run " + std::to_string(run.number) + " may be on the target's new instance");
}

}

bool isPossibleStart(long long startTimeMs, WallTime now)
{
    return startTimeMs <= (now + maxClockLead).time_since_epoch().count();
}

void beginNewInstance(WorkflowBoard &board, const DomainTarget &former, const TargetRegistration &registration)
{
    DomainTarget fresh;
    fresh.registration = registration;
    fresh.isRegistered = former.isRegistered;
    // The answer to a hold under way comes from the former instance. The lists in this answer name the former instance and are ignored.
    fresh.hold = former.hold;
    fresh.holdStartTimeMs = former.holdStartTimeMs;
    fresh.holdSentAt = former.holdSentAt;
    // A hold of the former instance may arrive late. Its deadline is far ahead on the new clock, so it extends the lease by up to the maximum.
    fresh.formerRunsLapseAt = board.now + maxDeliveryDelay + maxFormerOwnerLease(board.self.limits);
    const auto &instance = registration.instance;
    requireStopsOfLateStarts(board, instance.target);
    board.targets.put(instance.target, std::move(fresh));
    const auto tasks = board.runs.useOf(instance.target).tasks;
    for (const auto &task : tasks) {
        const TaskRun run = *board.runs.find(task);
        if (run.place.startTimeMs >= instance.startTimeMs) {
            continue;
        }
        if (run.step != RunStep::Recording && (canStartOrderStillArrive(run) || couldBeOnNewInstance(run))) {
            moveToNextInstance(board, run, instance);
        } else {
            loseWithFormerInstance(board, run);
        }
    }
}

void moveRunsOfFormerInstances(WorkflowBoard &board)
{
    std::vector<TaskRun> former;
    for (const auto &[task, run] : board.runs.rows()) {
        const auto *target = board.targets.find(run.place.target);
        if (target != nullptr && run.place.startTimeMs < target->registration.instance.startTimeMs) {
            former.push_back(run);
        }
    }
    // A former owner may have started these runs on the new instance; the lists of the new instance will show whether they run there.
    std::ranges::for_each(former, [&](const TaskRun &run) { moveToNextInstance(board, run, board.targets.find(run.place.target)->registration.instance); });
}

}
