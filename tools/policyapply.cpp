#include "policyevents.h"

#include "core/capacity.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Simulated time for reserving targets, writing the record to the store and starting the tasks.
constexpr Duration startDelay{300};
/// Simulated time for stopping an attempt without a checkpoint: one call and the end of the processes.
constexpr Duration stopTime{500};

}

void recordJobEnd(PolicyWorld &world, const JobId &id, void (*mark)(JobOutcome &, Duration))
{
    mark(world.outcomes[world.jobIndex.at(id)], world.now.time_since_epoch());
    --world.openJobs;
}

int chooseZoneFor(PolicyWorld &world, const JobSpecification &specification)
{
    std::vector<int> inService;
    for (int index = 0; index < static_cast<int>(world.zones.size()); ++index) {
        if (!isZoneOut(world.configuration, world.zones[index].id)) {
            inService.push_back(index);
        }
    }
    const auto draw = [&] { return inService[std::uniform_int_distribution<std::size_t>(0, inService.size() - 1)(world.random)]; };
    const auto freeOf = [&](int zone) {
        const auto &reporter = world.zones[zone == 0 && world.zones.size() > 1 ? 1 : 0];
        const auto report = reporter.otherZones.find(world.zones[zone].id);
        return report == reporter.otherZones.end() ? 0 : report->second.freeAccelerators;
    };
    static_cast<void>(specification);
    const int first = draw();
    const int second = draw();
    return freeOf(second) > freeOf(first) ? second : first;
}

void addWaitingJob(PolicyWorld &world, Job job, int zoneIndex)
{
    auto &zone = world.zones[zoneIndex];
    job.availabilityZone = zone.id;
    const auto id = job.specification.id;
    zone.jobs.put(id, std::move(job));
    zone.needsPass = true;
}

void applyPlan(PolicyWorld &world, int zoneIndex, const Plan &plan)
{
    auto &zone = world.zones[zoneIndex];
    for (const auto &placement : plan.placements) {
        auto job = *zone.jobs.find(placement.job);
        ++job.attemptCount;
        job.state = JobState::Starting;
        Attempt attempt;
        attempt.id = {placement.job, job.attemptCount};
        attempt.step = AttemptStep::Starting;
        attempt.isBorrowed = placement.isBorrowed;
        for (int index = 0; const auto &member : placement.members) {
            attempt.members.push_back({index++, member.target, member.accelerators, MemberStep::Running});
        }
        schedule(world, world.now + startDelay, WorldEventKind::Start, zoneIndex, attempt.id);
        zone.attempts.put(attempt.id, attempt);
        zone.jobs.put(placement.job, std::move(job));
    }
    for (const auto &preemption : plan.preemptions) {
        auto attempt = *zone.attempts.find(preemption.attempt);
        attempt.step = AttemptStep::Stopping;
        attempt.stopCause = preemption.cause;
        const bool isCheckpointed =
            zone.jobs.find(preemption.attempt.job)->specification.isCheckpointable && attempt.runningSince && !preemption.skipsCheckpoint;
        schedule(world, world.now + (isCheckpointed ? checkpointTime : stopTime), WorldEventKind::Stopped, zoneIndex, attempt.id, isCheckpointed ? 1 : 0);
        zone.attempts.put(preemption.attempt, std::move(attempt));
        ++world.totals.preemptions;
    }
    for (const auto &refusal : plan.refusals) {
        auto job = *zone.jobs.find(refusal.job);
        job.state = JobState::Refused;
        zone.jobs.put(refusal.job, std::move(job));
        recordJobEnd(world, refusal.job, [](JobOutcome &outcome, Duration) { outcome.isRefused = true; });
    }
    for (const auto &move : plan.moves) {
        const auto job = *zone.jobs.find(move.job);
        zone.jobs.erase(move.job);
        const auto destination = std::ranges::find(world.zones, move.availabilityZone, &ZoneState::id);
        addWaitingJob(world, job, static_cast<int>(destination - world.zones.begin()));
        ++world.totals.moves;
    }
}

}
