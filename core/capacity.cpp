#include "capacity.h"

#include <algorithm>
#include <bit>
#include <compare>
#include <map>

namespace sequoiastand
{

namespace
{

using TargetIndex = std::unordered_map<std::string_view, int>;

struct AttemptIdHash
{
    std::size_t operator()(const AttemptId &id) const
    {
        const std::hash<std::string> hash;
        return hash(id.job.request.value) * 31 + hash(id.job.organisation.value) + static_cast<std::size_t>(id.number);
    }
};

/// Adds a held place to the work and subtracts it from the target's free capacity.
void addHeldPlace(CapacityMap &map, int workIndex, int targetIndex, AcceleratorMask accelerators)
{
    auto &work = map.work[workIndex];
    auto &target = map.targets[targetIndex];
    if (work.places.empty() || work.places.back().target != targetIndex) {
        work.places.push_back({targetIndex, accelerators, 1});
        target.work.push_back(workIndex);
    } else {
        work.places.back().accelerators |= accelerators;
        ++work.places.back().tasks;
    }
    target.used |= accelerators;
    work.accelerators += std::popcount(accelerators);
    if (work.specification) {
        target.freeMilliCpu -= work.specification->milliCpuPerTask;
        target.freeMemoryMb -= work.specification->memoryMbPerTask;
    }
}

TargetIndex addTargets(CapacityMap &map, const ClusterView &view)
{
    TargetIndex index;
    std::map<std::string_view, int> racks;
    for (const auto &[id, target] : view.targets.rows()) {
        if (target.availabilityZone != view.availabilityZone) {
            continue;
        }
        index.emplace(id.value, static_cast<int>(map.targets.size()));
        racks.emplace(target.rack.value, 0);
        map.targets.push_back({&target, 0, isUsable(view, target), lowMask(target.acceleratorCount), 0, target.milliCpu, target.memoryMb, {}});
    }
    for (auto &[name, number] : racks) {
        number = map.rackCount++;
    }
    for (auto &target : map.targets) {
        target.rack = racks.at(target.target->rack.value);
    }
    return index;
}

bool isWaitingHere(const ClusterView &view, const Job &job)
{
    return job.state == JobState::Waiting && !job.isCancelRequested && job.availabilityZone == view.availabilityZone;
}

RunningWork workOf(const ClusterView &view, const Attempt &attempt, const Job *job)
{
    RunningWork work;
    work.id = attempt.id;
    work.attempt = &attempt;
    work.job = job;
    work.specification = job ? &job->specification : nullptr;
    work.isStopping = attempt.step == AttemptStep::Stopping;
    work.canBePreempted = job && isPreemptible(job->specification);
    if (attempt.runningSince) {
        work.elapsed = std::max(Duration{0}, view.now - *attempt.runningSince);
        work.sinceCheckpoint = std::max(Duration{0}, work.elapsed - attempt.checkpointedWork);
    }
    work.places.reserve(attempt.members.size());
    return work;
}

void addAttempt(CapacityMap &map, const ClusterView &view, const TargetIndex &index, const Attempt &attempt, const Job *job)
{
    const int workIndex = static_cast<int>(map.work.size());
    map.work.push_back(workOf(view, attempt, job));
    for (const auto &member : attempt.members) {
        const auto place = index.find(member.target.value);
        if (member.step != MemberStep::Ended && place != index.end()) {
            addHeldPlace(map, workIndex, place->second, member.accelerators);
        }
    }
}

/// Adds the attempts, and the waiting and finished jobs. The tables of jobs and attempts are both ordered by job, so one pass over both replaces a
/// look-up for each attempt.
void addJobsAndAttempts(CapacityMap &map, const ClusterView &view, const TargetIndex &index)
{
    auto attempt = view.attempts.rows().begin();
    const auto end = view.attempts.rows().end();
    const auto addNext = [&](const Job *job) {
        const bool isLive = attempt->second.step != AttemptStep::Ended;
        if (isLive) {
            addAttempt(map, view, index, attempt->second, job);
        }
        ++attempt;
        return isLive;
    };
    for (const auto &[id, job] : view.jobs.rows()) {
        bool hasAttempt = false;
        while (attempt != end) {
            const auto order = attempt->first.job <=> id;
            if (std::is_gt(order)) {
                break;
            }
            const bool isLive = addNext(std::is_eq(order) ? &job : nullptr);
            hasAttempt = hasAttempt || (isLive && std::is_eq(order));
        }
        if (job.state == JobState::Finished) {
            map.finished.push_back(&job);
        } else if (!hasAttempt && isWaitingHere(view, job)) {
            map.waiting.push_back(&job);
        }
    }
    while (attempt != end) {
        addNext(nullptr);
    }
}

/// True if an attempt of this host already accounts for the task.
bool isManaged(const ClusterView &view, const ReportedTask &task)
{
    const auto *attempt = view.attempts.find(task.attempt);
    if (!attempt || attempt->step == AttemptStep::Ended) {
        return false;
    }
    const auto member = std::ranges::find(attempt->members, task.member, &AttemptMember::index);
    return member != attempt->members.end() && member->step != MemberStep::Ended;
}

/// Adds tasks that targets report but no attempt of this host accounts for, for example because their attempt has not been adopted yet.
void addUnmanagedTasks(CapacityMap &map, const ClusterView &view)
{
    std::unordered_map<AttemptId, int, AttemptIdHash> unmanaged;
    for (int index = 0; index < static_cast<int>(map.targets.size()); ++index) {
        for (const auto &task : map.targets[index].target->tasks) {
            const bool holdsCapacity = task.state == TaskState::Running || task.state == TaskState::Reserved;
            if (!holdsCapacity || isManaged(view, task)) {
                continue;
            }
            const auto [known, isNew] = unmanaged.emplace(task.attempt, static_cast<int>(map.work.size()));
            if (isNew) {
                const auto *job = view.jobs.find(task.attempt.job);
                const auto *specification = task.specification ? &*task.specification : (job ? &job->specification : nullptr);
                RunningWork work;
                work.id = task.attempt;
                work.job = job;
                work.specification = specification;
                map.work.push_back(std::move(work));
            }
            addHeldPlace(map, known->second, index, task.accelerators);
        }
    }
}

}

CapacityMap capacityOf(const ClusterView &view)
{
    CapacityMap map;
    const auto index = addTargets(map, view);
    map.work.reserve(view.attempts.size());
    addJobsAndAttempts(map, view, index);
    addUnmanagedTasks(map, view);
    return map;
}

bool isUsable(const ClusterView &view, const Target &target)
{
    return !target.isLeaving && target.health != TargetHealth::Unresponsive && target.health != TargetHealth::Quarantined
           && (view.configuration.drains.empty() || !isDrained(view.configuration, target.rack, target.id)) && view.startableTargets.contains(target.id);
}

std::vector<const Job *> waitingJobs(const ClusterView &view)
{
    std::vector<const Job *> waiting;
    for (const auto &[id, job] : view.jobs.rows()) {
        if (!isWaitingHere(view, job)) {
            continue;
        }
        // A job that waits for its retry delay is left out.
        if (job.notBefore && *job.notBefore > view.wallNow) {
            continue;
        }
        const auto attempt = view.attempts.rows().lower_bound({id, 0});
        const bool hasAttempt = attempt != view.attempts.rows().end() && attempt->first.job == id && attempt->second.step != AttemptStep::Ended;
        if (!hasAttempt) {
            waiting.push_back(&job);
        }
    }
    return waiting;
}

AcceleratorMask lowMask(int count)
{
    return count >= 32 ? ~AcceleratorMask{0} : (AcceleratorMask{1} << std::max(0, count)) - 1;
}

}
