#include "controllers.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr int failuresBeforeQuarantine = 3;
/// Time for which a job that failed on a target tries other targets first.
constexpr Duration failedJobRetention{5'000};
constexpr Duration firstProbeDelay{60'000};
constexpr Duration longestProbeDelay{1'800'000};

Target withListing(Target target, const ListedHost &listed)
{
    target.id = TargetId{listed.id};
    target.rack = listed.rack;
    target.availabilityZone = listed.availabilityZone;
    target.address = listed.address;
    target.acceleratorCount = listed.acceleratorCount;
    target.milliCpu = listed.milliCpu;
    target.memoryMb = listed.memoryMb;
    target.isListedLeaving = listed.isLeaving;
    target.isLeaving = target.isListedLeaving || target.isReportedLeaving;
    return target;
}

const ReportedTask *findTask(const std::vector<ReportedTask> &tasks, const ReportedTask &wanted)
{
    const auto found =
        std::ranges::find_if(tasks, [&wanted](const ReportedTask &task) { return task.attempt == wanted.attempt && task.member == wanted.member; });
    return found == tasks.end() ? nullptr : &*found;
}

/// True if the task reached the given state since the previous report.
bool isNewly(TaskState state, const ReportedTask &task, const std::vector<ReportedTask> &previousTasks)
{
    const ReportedTask *previous = findTask(previousTasks, task);
    return task.state == state && (previous == nullptr || previous->state != state);
}

Target withSuccess(Target target)
{
    target.consecutiveFailures = 0;
    target.failedJobs.clear();
    target.lastFailedJob.reset();
    target.probeDue.reset();
    target.probeDelay = Duration{0};
    if (target.health == TargetHealth::Quarantined) {
        target.health = TargetHealth::Healthy;
    }
    return target;
}

Target withFailure(Target target, const JobId &job, TimePoint now)
{
    target.lastFailedJob = job;
    target.lastFailedAt = now;
    if (target.health == TargetHealth::Quarantined) {
        target.probeDelay = std::min(target.probeDelay * 2, longestProbeDelay);
        target.probeDue = now + target.probeDelay;
        return target;
    }
    if (std::ranges::find(target.failedJobs, job) == target.failedJobs.end()) {
        target.failedJobs.push_back(job);
        target.consecutiveFailures = static_cast<int>(target.failedJobs.size());
    }
    if (target.consecutiveFailures >= failuresBeforeQuarantine) {
        target.health = TargetHealth::Quarantined;
        target.probeDelay = firstProbeDelay;
        target.probeDue = now + firstProbeDelay;
    }
    return target;
}

/// Updates the time of a quarantined target's next probe. No probe is due while one runs on the target. If no probe runs and none is due, the next one
/// is due after `probeDelay`.
Target withProbeState(Target target, TimePoint now)
{
    if (target.health != TargetHealth::Quarantined) {
        return target;
    }
    const bool isProbing = std::ranges::any_of(target.tasks, [](const ReportedTask &task) { return !hasEnded(task.state); });
    if (isProbing) {
        target.probeDue.reset();
    } else if (!target.probeDue) {
        target.probeDue = now + target.probeDelay;
    }
    return target;
}

Target withReport(Target target, const TargetReport &report, TimePoint askedAt, TimePoint now)
{
    const std::vector<ReportedTask> previousTasks = report.isUnchanged ? target.tasks : std::exchange(target.tasks, report.tasks);
    target.tasksVersion = report.tasksVersion;
    target.lastContact = now;
    target.reportRequestedAt = askedAt;
    target.isReportedLeaving = report.isLeaving;
    target.isLeaving = target.isListedLeaving || target.isReportedLeaving;
    if (target.health == TargetHealth::Unknown || target.health == TargetHealth::Unresponsive) {
        const bool staysQuarantined = target.probeDelay > Duration{0};
        target.health = staysQuarantined ? TargetHealth::Quarantined : TargetHealth::Healthy;
    }
    for (const ReportedTask &task : report.tasks) {
        if (isNewly(TaskState::Finished, task, previousTasks)) {
            target = withSuccess(std::move(target));
        } else if (isNewly(TaskState::Failed, task, previousTasks)) {
            target = withFailure(std::move(target), task.attempt.job, now);
        }
    }
    return withProbeState(std::move(target), now);
}

void applyHostList(Blackboard &board, const HostListRead &list)
{
    std::set<TargetId> listedIds;
    for (const ListedHost &listed : list.hosts) {
        if (listed.kind != ListedKind::Target) {
            continue;
        }
        const TargetId id{listed.id};
        listedIds.insert(id);
        const Target *present = board.targets.find(id);
        board.targets.put(id, withListing(present == nullptr ? Target{} : *present, listed));
    }
    std::vector<TargetId> unlistedTargets;
    for (const auto &[id, target] : board.targets.rows()) {
        if (!listedIds.contains(id)) {
            unlistedTargets.push_back(id);
        }
    }
    for (const TargetId &id : unlistedTargets) {
        // The host list may be outdated, so a target that is missing from it stays on the board until its lease has ended, but gets no new work.
        if (!board.leases.contains(id)) {
            board.targets.erase(id);
            continue;
        }
        Target target = *board.targets.find(id);
        target.isListedLeaving = true;
        target.isLeaving = true;
        board.targets.put(id, std::move(target));
    }
}

/// Applies the report in the answer to a lease call. A late answer to a replaced call is dropped.
void applyReport(Blackboard &board, const TargetReply &reply)
{
    const TargetLease *lease = board.leases.find(reply.target);
    const Target *target = board.targets.find(reply.target);
    if (lease == nullptr || target == nullptr || lease->callInFlight != reply.id || !reply.report) {
        return;
    }
    Target updated = withReport(*target, *reply.report, lease->callSentAt, board.now);
    if (updated.health == TargetHealth::Quarantined && target->health != TargetHealth::Quarantined) {
        count(board.counters, "targetsQuarantined", updated.availabilityZone.value);
        board.log.push_back({"updateFleet", updated.address, "", "target " + updated.id.value + " quarantined after failures of different jobs", true});
    }
    board.targets.put(reply.target, std::move(updated));
}

/// Returns the target with the changes that are due to elapsed time alone.
Target withElapsedTime(Target target, TimePoint now, Duration contactTimeout)
{
    if (target.lastContact && now - *target.lastContact > contactTimeout) {
        target.health = TargetHealth::Unresponsive;
    }
    if (target.lastFailedJob && now - target.lastFailedAt >= failedJobRetention) {
        target.lastFailedJob.reset();
    }
    return target;
}

void applyElapsedTime(Blackboard &board)
{
    const Duration contactTimeout = board.self.limits.targetLeaseWait + board.self.limits.targetCallTimeout;
    for (const auto &[id, lease] : board.leases.rows()) {
        const Target *target = board.targets.find(id);
        const bool mayChange = target != nullptr && target->lastContact && (target->lastFailedJob || board.now - *target->lastContact > contactTimeout);
        if (!mayChange) {
            continue;
        }
        Target updated = withElapsedTime(*target, board.now, contactTimeout);
        if (updated.health == TargetHealth::Unresponsive && target->health != TargetHealth::Unresponsive) {
            count(board.counters, "targetsSilent", updated.availabilityZone.value);
        }
        board.targets.put(id, std::move(updated));
    }
}

}

void updateFleet(Blackboard &board)
{
    for (const Event &event : board.inbox) {
        if (const auto *list = std::get_if<HostListRead>(&event)) {
            applyHostList(board, *list);
        } else if (const auto *reply = std::get_if<TargetReply>(&event)) {
            applyReport(board, *reply);
        }
    }
    if (isDue(board.timers, "ownership")) {
        applyElapsedTime(board);
    }
}

}
