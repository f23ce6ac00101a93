#include "controllers.h"

#include "jobrecord.h"
#include "storereach.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Longest time between two passes; run times and probes become due without any change on the board.
constexpr Duration longestPlanInterval{1'000};
/// Shortest time between two passes. A pass may take 50 ms at the target size and must leave time for leases and callers.
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

/// A quarantined target gets one idempotent task at a time.
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

/// Adds a probe for every quarantined target that is due for one: a single idempotent task that the plan has no better place for.
Plan withProbes(const Blackboard &board, Plan plan)
{
    std::set<JobId> taken;
    std::ranges::for_each(plan.placements, [&taken](const Placement &placement) { taken.insert(placement.job); });
    for (const auto &[id, target] : board.targets.rows()) {
        const TargetLease *lease = isProbeDue(board, target) && !target.isLeaving ? board.leases.find(id) : nullptr;
        if (lease == nullptr || !isUsable(*lease, board.now) || isDrained(board.configuration, target.rack, id) || board.attemptIndex.byTarget.contains(id)) {
            continue;
        }
        const auto probe = std::ranges::find_if(board.jobs.rows(), [&](const auto &row) {
            const JobSpecification &specification = row.second.specification;
            const bool fits = specification.acceleratorsPerTask <= target.acceleratorCount && specification.milliCpuPerTask <= target.milliCpu
                              && specification.memoryMbPerTask <= target.memoryMb;
            return row.second.state == JobState::Waiting && specification.isIdempotent && specification.taskCount == 1
                   && specification.jobClass != JobClass::Urgent && fits && isScheduledHere(board, row.second) && !taken.contains(row.first);
        });
        if (probe == board.jobs.rows().end()) {
            continue;
        }
        taken.insert(probe->first);
        const int count = probe->second.specification.acceleratorsPerTask;
        const AcceleratorMask mask = count >= 32 ? ~AcceleratorMask{0} : (AcceleratorMask{1} << count) - 1;
        plan.placements.push_back({probe->first, {{id, mask}}, false, "placed on quarantined target " + id.value + " to probe it"});
    }
    return plan;
}

/// When the first planned job that still has to wait after its last attempt may start.
std::optional<TimePoint> earliestDelayEnd(const Blackboard &board, const Plan &plan)
{
    std::optional<TimePoint> earliest;
    for (const Placement &placement : plan.placements) {
        const Job *job = board.jobs.find(placement.job);
        if (job != nullptr && job->notBefore && *job->notBefore > board.wallNow) {
            const TimePoint end = board.now + (*job->notBefore - board.wallNow);
            earliest = earliest ? std::min(*earliest, end) : end;
        }
    }
    return earliest;
}

/// Only an accepted job starts: its record is stored, or the store is away and its start is the acceptance.
bool mayStart(const Blackboard &board, const Placement &placement)
{
    const Job *job = board.jobs.find(placement.job);
    if (job == nullptr || job->state != JobState::Waiting || job->isCancelRequested || attemptOf(board, placement.job) != nullptr) {
        return false;
    }
    if (job->notBefore && *job->notBefore > board.wallNow) {
        return false;
    }
    const auto pending = board.jobWork.submissions.find(placement.job);
    const bool isAcceptedByStart = pending != board.jobWork.submissions.end() && pending->second.isAcceptedByStart;
    return (job->revision > 0 || isAcceptedByStart) && isScheduledHere(board, *job) && respectsQuarantine(board, placement, *job);
}

/// Drops what may not be carried out now.
Plan withPermittedStarts(const Blackboard &board, Plan plan)
{
    if (!isValid(board.permit, board.now) || isZoneOut(board.configuration, board.self.availabilityZone)) {
        plan.placements.clear();
    }
    if (!isValid(board.permit, board.now)) {
        // Nothing can start in the place of what is preempted for it.
        std::erase_if(plan.preemptions, [](const Preemption &preemption) { return preemption.cause == StopCause::Preempted; });
    }
    std::erase_if(plan.placements, [&board](const Placement &placement) { return !mayStart(board, placement); });
    return plan;
}

PlanBasis basisOf(const Blackboard &board, std::set<TargetId> startable)
{
    return {board.jobs.version(), board.attempts.version(), board.configuration.version, board.epoch, isValid(board.permit, board.now), std::move(startable)};
}

}

void updatePlan(Blackboard &board)
{
    board.plan = Plan{};
    if (!schedules(board) || board.isStopping) {
        board.planProgress = PlanProgress{};
        return;
    }
    const PlanBasis basis = basisOf(board, startableTargets(board));
    const std::optional<TimePoint> last = board.planProgress.plannedAt;
    const bool isReplanDue = board.planProgress.replanAt && *board.planProgress.replanAt <= board.now;
    const bool isOld = last && board.now - *last >= longestPlanInterval;
    if (last && basis == board.planProgress.basis && !isReplanDue && !isOld) {
        return;
    }
    if (last && board.now - *last < planInterval) {
        subscribeNoLaterThan(board.timers, "plan", *last + planInterval);
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
                           board.wallNow};
    Plan plan = planPlacements(view);
    const std::optional<TimePoint> replanAt = earliestDelayEnd(board, plan);
    if (replanAt) {
        subscribeNoLaterThan(board.timers, "plan", *replanAt);
    }
    board.plan = withPermittedStarts(board, withProbes(board, std::move(plan)));
    board.planProgress = {basis, board.now, replanAt};
}

}
