#include "targetlease.h"

#include "progresschange.h"

#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// The platform allows a target's clock to run 2 % slow.
constexpr double slowestClockRate = 0.98;

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

TimePoint surelyLapsedAt(const DomainTarget &target)
{
    TimePoint lapsed = target.lostAt.value_or(TimePoint{});
    if (target.clock && target.heldUntil > target.clock->clock) {
        lapsed = std::max(lapsed, target.clock->receivedAt + stretched(target.heldUntil - target.clock->clock) + lapseMargin);
    }
    return lapsed;
}

Duration foreignLease(const DomainLimits &limits)
{
    return stretched(limits.holdMax) + lapseMargin;
}

DomainTarget asNewLife(DomainTarget target, const TargetRegistration &registration)
{
    DomainTarget fresh;
    fresh.registration = registration;
    fresh.isRegistered = target.isRegistered;
    // An answer under way belongs to the former life; its lists name that life and are dropped.
    fresh.hold = target.hold;
    fresh.holdSentAt = target.holdSentAt;
    return fresh;
}

void dropFormerLives(WorkflowBoard &board)
{
    std::vector<TaskRun> gone;
    for (const auto &[task, run] : board.runs.rows()) {
        const auto *target = board.targets.find(run.place.target);
        if (target != nullptr && run.place.bornMs < target->registration.life.bornMs) {
            gone.push_back(run);
        }
    }
    for (const auto &run : gone) {
        const auto message = "run " + std::to_string(run.number) + " is gone with the target's former life";
        logDecision(board, "loseRun", run.place.target.value, toString(run.task), message);
        count(board.counters, "runsEnded", "targetGone");
        removeRun(board, run);
    }
}

}
