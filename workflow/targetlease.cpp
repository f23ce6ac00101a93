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

// The platform allows a target's clock to run 2 % slow.
constexpr double slowestClockRate = 0.98;

// The platform may carry an order out seconds after it was given up; twelve at most have been seen.
constexpr Duration latestArrival{15'000};

// The stops that a new life gets first are answered within this time, unless it is in trouble.
constexpr Duration newLifePause{250};

// Covers timers that fire late on the target.
constexpr Duration lapseMargin{250};

Duration stretched(Duration onTargetClock)
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
        lapsed = std::max(lapsed, target.clock->receivedAt + stretched(target.heldUntil - target.clock->clock) + lapseMargin);
    }
    return lapsed;
}

Duration maxFormerOwnerLease(const DomainLimits &limits)
{
    return stretched(limits.holdMax) + lapseMargin;
}

void noteLateStart(WorkflowBoard &board, const TaskRun &run)
{
    std::erase_if(board.lateStarts, [&](const LateStart &late) { return late.until <= board.now || (late.task == run.task && late.run == run.number); });
    board.lateStarts.push_back({run.task, run.number, run.place.target, board.now + latestArrival});
}

namespace
{

/// A start that is still on its way finds the new life and is carried out there, because that life has seen no token and no run.
bool mayArriveLater(const TaskRun &run)
{
    return run.mayArriveLate || (run.call && !run.isStopCall);
}

/// Only what the former life's lists have named certainly stood there. An answer to a start names no life, so the new one may have given it.
bool mayStandOnNewLife(const TaskRun &run)
{
    return run.step == RunStep::Unconfirmed || !run.isListed;
}

void loseWithFormerLife(WorkflowBoard &board, const TaskRun &run)
{
    const auto message = "run " + std::to_string(run.number) + " is gone with the target's former life";
    logDecision(board, "loseRun", run.place.target.value, toString(run.task), message);
    count(board.counters, "runsEnded", "targetGone");
    removeRun(board, run);
}

void moveToNextLife(WorkflowBoard &board, TaskRun run, const TargetInstance &instance)
{
    const bool needsStop = mayArriveLater(run);
    run.place = instance;
    run.isListed = false;
    run.stoppedAt.reset();
    run.isStopWanted = run.isStopWanted || needsStop;
    run.step = needsStop ? RunStep::Ending : RunStep::Unconfirmed;
    run.stepSince = board.now;
    putRun(board, run);
    changeTask(board, run.task, [&](TaskProgress &task) {
        if (task.lastRun == run.number && task.place) {
            task.place = instance;
        }
    });
    logDecision(board, "renewTarget", instance.target.value, toString(run.task), "run " + std::to_string(run.number) + " may stand on the target's new life");
}

}

void beginNewInstance(WorkflowBoard &board, const DomainTarget &former, const TargetRegistration &registration)
{
    DomainTarget fresh;
    fresh.registration = registration;
    fresh.isRegistered = former.isRegistered;
    // An answer under way belongs to the former life; its lists name that life and are dropped.
    fresh.hold = former.hold;
    fresh.holdSentAt = former.holdSentAt;
    fresh.formerRunsLapseAt = board.now + maxFormerOwnerLease(board.self.limits);
    const auto &instance = registration.instance;
    for (const auto &late : board.lateStarts) {
        if (late.target == instance.target && board.now < late.until) {
            fresh.avoidUntil = board.now + newLifePause;
            sendStrayStop(board, fresh, late.task, late.run);
        }
    }
    board.targets.put(instance.target, std::move(fresh));
    std::vector<TaskRun> runs;
    for (const auto &[task, run] : board.runs.rows()) {
        if (run.place.target == instance.target && run.place.startTimeMs < instance.startTimeMs) {
            runs.push_back(run);
        }
    }
    for (const auto &run : runs) {
        if (run.step != RunStep::Recording && (mayArriveLater(run) || mayStandOnNewLife(run))) {
            moveToNextLife(board, run, instance);
        } else {
            loseWithFormerLife(board, run);
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
    // A former owner may have started them on the new life; its lists will tell.
    std::ranges::for_each(former, [&](const TaskRun &run) { moveToNextLife(board, run, board.targets.find(run.place.target)->registration.instance); });
}

}
