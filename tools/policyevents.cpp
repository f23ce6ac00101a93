#include "policyevents.h"

#include "core/capacity.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr Duration checkpointPeriod = std::chrono::minutes{10};
/// Simulated time for reading the last checkpoint when an attempt starts.
constexpr Duration restoreTime = std::chrono::seconds{20};
constexpr Duration failureDelay = std::chrono::seconds{5};
constexpr Duration firstProbeDelay = std::chrono::seconds{60};
constexpr Duration maxProbeDelay = std::chrono::minutes{30};
constexpr int failuresBeforeQuarantine = 3;
constexpr int maxAttempts = 4;

double hours(Duration duration, int accelerators)
{
    return std::chrono::duration<double, std::ratio<3600>>(duration).count() * accelerators;
}

const WorkloadJob &workloadJob(const PolicyWorld &world, const JobId &id)
{
    return world.policyCase.jobs[world.jobIndex.at(id)];
}

/// Time in which the attempt made progress, which is its run time without the restore of a checkpoint.
Duration progressOf(const Job &job, const Attempt &attempt, TimePoint now)
{
    if (!attempt.runningSince) {
        return Duration{0};
    }
    const auto restore = job.checkpointedWork > Duration{0} ? restoreTime : Duration{0};
    return std::max(Duration{0}, now - *attempt.runningSince - restore);
}

/// Adds the progress that an attempt in a remaining zone made while the leaving zone was out of service. For an attempt that started earlier,
/// only the progress of that period is added.
void addZoneChangeWork(PolicyWorld &world, const ZoneState &zone, const Attempt &attempt, Duration keptProgress, int accelerators)
{
    if (!world.policyCase.leavingZone || zone.id == *world.policyCase.leavingZone || !attempt.runningSince) {
        return;
    }
    const auto from = std::max(attempt.runningSince->time_since_epoch(), world.policyCase.leaveAt);
    const auto until = std::min(world.now.time_since_epoch(), world.policyCase.returnAt);
    const auto runDuration = std::max(Duration{1}, world.now - *attempt.runningSince);
    if (until > from) {
        // The time of each part of the progress is not recorded, so progress is assumed to be spread evenly over the attempt.
        world.totals.zoneChangeUsefulHours +=
            hours(until - from, accelerators) * static_cast<double>(keptProgress.count()) / static_cast<double>(runDuration.count());
    }
}

void endAttempt(ZoneState &zone, const AttemptId &id, Job job)
{
    zone.attempts.erase(id);
    zone.jobs.put(id.job, std::move(job));
    zone.needsPass = true;
}

/// Ends an attempt before its job has finished. Progress covered by a checkpoint is kept, and the rest counts as lost.
void interrupt(PolicyWorld &world, ZoneState &zone, const AttemptId &id, bool isGraceful)
{
    const auto *attempt = zone.attempts.find(id);
    auto job = *zone.jobs.find(id.job);
    const int accelerators = acceleratorCount(job.specification);
    const auto timeRunning = attempt->runningSince ? world.now - *attempt->runningSince : Duration{0};
    const auto progress = progressOf(job, *attempt, world.now - (isGraceful ? checkpointTime : Duration{0}));
    const auto keptProgress = job.specification.isCheckpointable ? (isGraceful ? progress : std::min(progress, attempt->checkpointedWork)) : Duration{0};
    job.checkpointedWork += keptProgress;
    world.totals.lostHours += hours(timeRunning - keptProgress, accelerators);
    addZoneChangeWork(world, zone, *attempt, keptProgress, accelerators);
    job.state = isPreemptible(job.specification) ? JobState::Waiting : JobState::Unknown;
    if (job.state == JobState::Unknown) {
        recordJobEnd(world, id.job, [](JobOutcome &outcome, Duration) { outcome.hasFailed = true; });
    }
    endAttempt(zone, id, std::move(job));
}

void submit(PolicyWorld &world, int index)
{
    const auto &workloadEntry = world.policyCase.jobs[index];
    Job job;
    job.specification = workloadEntry.specification;
    job.acceptedAt = WallTime{world.now.time_since_epoch()};
    int zone = chooseZoneFor(world, workloadEntry.specification);
    if (workloadEntry.isReclaimProbe) {
        // A reclaim probe is a job that reclaims the guarantee of its organisation, so it is submitted in the zone of this guarantee.
        const auto guarantee = std::ranges::find_if(world.configuration.guarantees,
                                                    [&](const auto &item) { return item.second.organisation == workloadEntry.specification.id.organisation; });
        const auto home = std::ranges::find(world.zones, guarantee->second.availabilityZone, &ZoneState::id);
        zone = static_cast<int>(home - world.zones.begin());
    }
    addWaitingJob(world, std::move(job), zone);
}

void start(PolicyWorld &world, const WorldEvent &event)
{
    auto &zone = world.zones[event.zone];
    const auto *found = zone.attempts.find(event.attempt);
    if (!found || found->step != AttemptStep::Starting) {
        return;
    }
    auto attempt = *found;
    attempt.step = AttemptStep::Running;
    attempt.runningSince = world.now;
    auto job = *zone.jobs.find(event.attempt.job);
    job.state = JobState::Running;
    auto &outcome = world.outcomes[world.jobIndex.at(event.attempt.job)];
    if (outcome.firstStart < Duration{0}) {
        outcome.firstStart = world.now.time_since_epoch();
        job.startedAt = WallTime{world.now.time_since_epoch()};
    }
    const auto restore = job.checkpointedWork > Duration{0} ? restoreTime : Duration{0};
    const auto remaining = std::max(Duration{1}, workloadJob(world, event.attempt.job).trueRunTime - job.checkpointedWork);
    const auto failingMember =
        std::ranges::find_if(attempt.members, [&](const AttemptMember &member) { return world.policyCase.failingTargets.contains(member.target); });
    if (failingMember != attempt.members.end()) {
        schedule(world, world.now + failureDelay, WorldEventKind::Fail, event.zone, event.attempt, static_cast<int>(failingMember - attempt.members.begin()));
    } else {
        schedule(world, world.now + restore + remaining, WorldEventKind::Finish, event.zone, event.attempt);
        if (job.specification.isCheckpointable && remaining > checkpointPeriod) {
            schedule(world, world.now + restore + checkpointPeriod, WorldEventKind::Checkpoint, event.zone, event.attempt);
        }
    }
    zone.attempts.put(event.attempt, std::move(attempt));
    zone.jobs.put(event.attempt.job, std::move(job));
}

void checkpoint(PolicyWorld &world, const WorldEvent &event)
{
    auto &zone = world.zones[event.zone];
    const auto *found = zone.attempts.find(event.attempt);
    if (!found || found->step != AttemptStep::Running) {
        return;
    }
    auto attempt = *found;
    attempt.checkpointedWork = progressOf(*zone.jobs.find(event.attempt.job), attempt, world.now);
    zone.attempts.put(event.attempt, std::move(attempt));
    schedule(world, world.now + checkpointPeriod, WorldEventKind::Checkpoint, event.zone, event.attempt);
}

void noteTargetResult(PolicyWorld &world, ZoneState &zone, const TargetId &id, const JobId &job, bool hasFailed)
{
    auto target = *zone.targets.find(id);
    if (!hasFailed) {
        if (target.consecutiveFailures == 0 && target.health == TargetHealth::Healthy) {
            return;
        }
        target.health = TargetHealth::Healthy;
        target.consecutiveFailures = 0;
        target.lastFailedJob.reset();
    } else {
        target.consecutiveFailures += target.lastFailedJob == job ? 0 : 1;
        target.lastFailedJob = job;
        const bool isProbe = target.health == TargetHealth::Quarantined;
        if (isProbe || target.consecutiveFailures >= failuresBeforeQuarantine) {
            target.health = TargetHealth::Quarantined;
            target.probeDelay = isProbe ? std::min(maxProbeDelay, target.probeDelay * 2) : firstProbeDelay;
            target.probeDue = world.now + target.probeDelay;
        }
    }
    zone.targets.put(id, std::move(target));
}

void finishJob(PolicyWorld &world, const WorldEvent &event)
{
    auto &zone = world.zones[event.zone];
    const auto *attempt = zone.attempts.find(event.attempt);
    if (!attempt || attempt->step != AttemptStep::Running) {
        return;
    }
    auto job = *zone.jobs.find(event.attempt.job);
    const auto progress = progressOf(job, *attempt, world.now);
    const int accelerators = acceleratorCount(job.specification);
    world.totals.usefulHours += hours(job.checkpointedWork + progress, accelerators);
    world.totals.lostHours += hours(world.now - *attempt->runningSince - progress, accelerators);
    addZoneChangeWork(world, zone, *attempt, progress, accelerators);
    job.state = JobState::Finished;
    job.finishedAt = WallTime{world.now.time_since_epoch()};
    job.held.push_back({event.attempt.number, accelerators, WallTime{Duration{0}}, WallTime{job.checkpointedWork + progress}});
    recordJobEnd(world, event.attempt.job, [](JobOutcome &outcome, Duration at) { outcome.finished = at; });
    if (world.isProductionPolicy) {
        for (const auto &member : attempt->members) {
            noteTargetResult(world, zone, member.target, event.attempt.job, false);
        }
    }
    endAttempt(zone, event.attempt, std::move(job));
}

void fail(PolicyWorld &world, const WorldEvent &event)
{
    auto &zone = world.zones[event.zone];
    const auto *attempt = zone.attempts.find(event.attempt);
    if (!attempt || attempt->step != AttemptStep::Running) {
        return;
    }
    if (world.isProductionPolicy) {
        noteTargetResult(world, zone, attempt->members[event.index].target, event.attempt.job, true);
    }
    // The task fails before it has any effect, so even a job that is not idempotent may be started again, up to maxAttempts times in all.
    auto job = *zone.jobs.find(event.attempt.job);
    world.totals.lostHours += hours(failureDelay, acceleratorCount(job.specification));
    job.state = job.attemptCount < maxAttempts ? JobState::Waiting : JobState::Failed;
    if (job.state == JobState::Failed) {
        recordJobEnd(world, event.attempt.job, [](JobOutcome &outcome, Duration) { outcome.hasFailed = true; });
    }
    endAttempt(zone, event.attempt, std::move(job));
}

void cancel(PolicyWorld &world, int index)
{
    const auto &id = world.policyCase.jobs[index].specification.id;
    auto &outcome = world.outcomes[index];
    for (auto &zone : world.zones) {
        const auto *found = zone.jobs.find(id);
        if (!found || isTerminal(found->state)) {
            continue;
        }
        auto job = *found;
        job.state = JobState::Cancelled;
        const auto attempt = zone.attempts.rows().lower_bound({id, 0});
        const bool hasAttempt = attempt != zone.attempts.rows().end() && attempt->first.job == id;
        if (hasAttempt) {
            endAttempt(zone, AttemptId{attempt->first}, job);
        }
        zone.jobs.put(id, std::move(job));
        zone.needsPass = true;
        outcome.isCancelled = true;
        --world.openJobs;
    }
}

void setZoneOut(PolicyWorld &world, bool isOut)
{
    auto zone = world.configuration.availabilityZones.at(*world.policyCase.leavingZone);
    zone.isOut = isOut;
    world.configuration = withItem(world.configuration, zone);
    ++world.configuration.version;
    std::ranges::for_each(world.zones, [](ZoneState &state) { state.needsPass = true; });
    if (!isOut) {
        return;
    }
    for (const auto &state : world.zones) {
        if (state.id != *world.policyCase.leavingZone) {
            for (const auto &[id, target] : state.targets.rows()) {
                world.totals.zoneChangeCapacityHours += hours(world.policyCase.returnAt - world.policyCase.leaveAt, target.acceleratorCount);
            }
        }
    }
    if (!world.isProductionPolicy) {
        // The baseline policies do not handle a zone change. For them, the simulation assumes that callers submit the waiting jobs again in other zones.
        auto &state = *std::ranges::find(world.zones, *world.policyCase.leavingZone, &ZoneState::id);
        for (const auto *job : waitingJobs(viewOf(world, state))) {
            const auto copy = *job;
            state.jobs.erase(copy.specification.id);
            addWaitingJob(world, copy, chooseZoneFor(world, copy.specification));
        }
    }
}

/// Ends the notice period of a leaving zone. The zone loses power, so running attempts are lost.
void endNotice(PolicyWorld &world)
{
    auto &zone = *std::ranges::find(world.zones, *world.policyCase.leavingZone, &ZoneState::id);
    std::vector<AttemptId> remaining;
    std::ranges::transform(zone.attempts.rows(), std::back_inserter(remaining), [](const auto &row) { return row.first; });
    for (const auto &id : remaining) {
        interrupt(world, zone, id, false);
        const auto job = *zone.jobs.find(id.job);
        if (!world.isProductionPolicy && job.state == JobState::Waiting) {
            zone.jobs.erase(id.job);
            addWaitingJob(world, job, chooseZoneFor(world, job.specification));
        }
    }
}

}

void schedule(PolicyWorld &world, TimePoint at, WorldEventKind kind, int zone, const AttemptId &attempt, int index)
{
    world.events.push({at, world.nextSequence++, kind, zone, attempt, index});
}

void handle(PolicyWorld &world, const WorldEvent &event)
{
    switch (event.kind) {
    case WorldEventKind::Submit:
        return submit(world, event.index);
    case WorldEventKind::Start:
        return start(world, event);
    case WorldEventKind::Checkpoint:
        return checkpoint(world, event);
    case WorldEventKind::Finish:
        return finishJob(world, event);
    case WorldEventKind::Fail:
        return fail(world, event);
    case WorldEventKind::Stopped:
        if (const auto *attempt = world.zones[event.zone].attempts.find(event.attempt); attempt && attempt->step == AttemptStep::Stopping) {
            interrupt(world, world.zones[event.zone], event.attempt, event.index != 0);
        }
        return;
    case WorldEventKind::Cancel:
        return cancel(world, event.index);
    case WorldEventKind::ZoneOut:
        return setZoneOut(world, true);
    case WorldEventKind::LeaveNoticeEnded:
        return endNotice(world);
    case WorldEventKind::ZoneReturned:
        return setZoneOut(world, false);
    case WorldEventKind::Tick:
        world.zones[event.zone].isTickScheduled = false;
        world.zones[event.zone].needsPass = true;
        return;
    case WorldEventKind::Sample:
        return;
    }
}

}
