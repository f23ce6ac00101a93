#include "controllers.h"

#include "jobrecord.h"
#include "storeaccess.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Longest time between two placement passes. A pass can be necessary without a change on the board, because run times elapse and probes become due.
constexpr Duration longestPlanInterval{1'000};
/// Shortest time between two placement passes. A pass may take 50 ms at the intended size of the system, and the same thread also renews leases and
/// answers callers.
constexpr Duration planInterval{50};

bool isProbeDue(const Blackboard &board, const Target &target)
{
    return target.health == TargetHealth::Quarantined && target.probeDue && *target.probeDue <= board.now;
}

std::set<TargetId> startableTargets(const Blackboard &board)
{
    std::set<TargetId> startable;
    for (const auto &[id, lease] : board.leases.rows()) {
        const Target *target = board.targets.find(id);
        if (target == nullptr || !isUsable(lease, board.now) || target->isLeaving || isDrained(board.configuration, target->rack, id)) {
            continue;
        }
        if (target->health == TargetHealth::Healthy || isProbeDue(board, *target)) {
            startable.insert(id);
        }
    }
    return startable;
}

/// True unless the placement gives a quarantined target more than one task at a time, or a task that is not idempotent.
bool respectsQuarantine(const Blackboard &board, const Placement &placement, const Job &job)
{
    return std::ranges::all_of(placement.members, [&](const PlannedMember &member) {
        const Target *target = board.targets.find(member.target);
        if (target == nullptr || target->health != TargetHealth::Quarantined) {
            return target != nullptr;
        }
        const auto attempts = board.attemptIndex.byTarget.find(member.target);
        const bool isFree = attempts == board.attemptIndex.byTarget.end() || attempts->second.empty();
        return placement.members.size() == 1 && job.specification.isIdempotent && isFree;
    });
}

/// Earliest time at which the retry delay of a waiting job ends.
std::optional<TimePoint> earliestDelayEnd(const Blackboard &board)
{
    std::optional<TimePoint> earliest;
    for (const auto &[id, job] : board.jobs.rows()) {
        if (job.state == JobState::Waiting && job.notBefore && *job.notBefore > board.wallNow && isScheduledHere(board, job)) {
            const TimePoint end = board.now + (*job.notBefore - board.wallNow);
            earliest = earliest ? std::min(*earliest, end) : end;
        }
    }
    return earliest;
}

/// Only an accepted job may start: its record is stored, or the store is unavailable and the job is accepted by its start.
bool mayStart(const Blackboard &board, const Placement &placement)
{
    const Job *job = board.jobs.find(placement.job);
    if (job == nullptr || job->state != JobState::Waiting || job->isCancelRequested || attemptOf(board, placement.job) != nullptr) {
        return false;
    }
    if (job->notBefore && *job->notBefore > board.wallNow) {
        return false;
    }
    const auto pending = board.jobUpdateState.submissions.find(placement.job);
    const bool isAcceptedByStart = pending != board.jobUpdateState.submissions.end() && pending->second.isAcceptedByStart;
    return (job->revision > 0 || isAcceptedByStart) && isScheduledHere(board, *job) && respectsQuarantine(board, placement, *job);
}

/// Removes decisions that may not be carried out now.
Plan withPermittedStarts(const Blackboard &board, Plan plan)
{
    if (!isValid(board.permit, board.now) || isZoneOut(board.configuration, board.self.availabilityZone)) {
        plan.placements.clear();
    }
    if (!isValid(board.permit, board.now)) {
        // Without a permit, no job could start in place of the preempted work.
        std::erase_if(plan.preemptions, [](const Preemption &preemption) { return preemption.cause == StopCause::Preempted; });
    }
    std::erase_if(plan.placements, [&board](const Placement &placement) { return !mayStart(board, placement); });
    return plan;
}

PlanBasis basisOf(const Blackboard &board, std::set<TargetId> startable)
{
    return {board.jobs.version(), board.attempts.version(), board.configuration.version, board.epoch, isValid(board.permit, board.now), std::move(startable)};
}

/// True if a version or state in the basis of the last plan has changed. Every step of the loop makes this check, so it is cheap: it leaves out the
/// set of startable targets, which is compared only when the timer is due.
bool hasWorkChanged(const Blackboard &board)
{
    const PlanBasis &basis = board.planProgress.basis;
    return board.jobs.version() != basis.jobs || board.attempts.version() != basis.attempts || board.configuration.version != basis.configuration
           || board.epoch != basis.epoch || isValid(board.permit, board.now) != basis.isPermitValid;
}

/// Records when the zone goes out of service and returns, so that after the return work does not start on all of its empty targets at once.
PlanProgress withZoneServiceState(const Blackboard &board)
{
    PlanProgress progress = board.planProgress;
    const bool isOut = isZoneOut(board.configuration, board.self.availabilityZone);
    if (progress.wasZoneOut && !isOut) {
        progress.rampUpUntil = board.now + rampUpPeriod;
    }
    progress.wasZoneOut = isOut;
    return progress;
}

}

void updatePlan(Blackboard &board)
{
    board.plan = Plan{};
    if (!isZoneScheduler(board) || board.isStopping) {
        board.planProgress = PlanProgress{};
        return;
    }
    board.planProgress = withZoneServiceState(board);
    if (!isDue(board.timers, "plan") && !hasWorkChanged(board)) {
        return;
    }
    const PlanBasis basis = basisOf(board, startableTargets(board));
    const std::optional<TimePoint> lastPlannedAt = board.planProgress.plannedAt;
    const bool isReplanDue = board.planProgress.replanAt && *board.planProgress.replanAt <= board.now;
    const bool isOld = lastPlannedAt && board.now - *lastPlannedAt >= longestPlanInterval;
    if (lastPlannedAt && basis == board.planProgress.basis && !isReplanDue && !isOld) {
        return;
    }
    if (lastPlannedAt && board.now - *lastPlannedAt < planInterval) {
        subscribeNoLaterThan(board.timers, "plan", *lastPlannedAt + planInterval);
        return;
    }
    const ClusterView view{board.self.availabilityZone,
                           board.configuration,
                           board.targets,
                           basis.startableTargets,
                           board.jobs,
                           board.attempts,
                           board.zoneCapacities,
                           board.now,
                           board.wallNow,
                           board.planProgress.rampUpUntil && board.now < *board.planProgress.rampUpUntil};
    Plan plan = planPlacements(view);
    const std::optional<TimePoint> replanAt = earliestDelayEnd(board);
    if (replanAt) {
        subscribeNoLaterThan(board.timers, "plan", *replanAt);
    }
    board.plan = withPermittedStarts(board, std::move(plan));
    board.planProgress.basis = basis;
    board.planProgress.plannedAt = board.now;
    board.planProgress.replanAt = replanAt;
}

}
