#include "policyworld.h"

#include "policyevents.h"

#include "core/fragmentation.h"
#include "core/guarantees.h"

#include <algorithm>
#include <bit>

namespace sequoiastand
{

namespace
{

constexpr Duration samplePeriod = std::chrono::minutes{2};
constexpr int timeLimitFactor = 3;

void addEvent(PolicyWorld &world, Duration at, WorldEventKind kind, int index = 0)
{
    schedule(world, TimePoint{at}, kind, 0, {}, index);
}

int freeAccelerators(const ClusterView &view)
{
    int free = 0;
    for (const auto &target : capacityOf(view).targets) {
        free += target.isUsable ? std::popcount(target.all & ~target.used) : 0;
    }
    return free;
}

void sample(PolicyWorld &world)
{
    for (const auto &zone : world.zones) {
        if (!isZoneOut(world.configuration, zone.id)) {
            world.totals.fragmentationSum += fragmentation(viewOf(world, zone));
            ++world.totals.fragmentationSamples;
        }
    }
    // Zones report their free accelerators to each other at each sample and at each pass, so that the policy has to cope with stale reports.
    for (auto &zone : world.zones) {
        zone.needsPass = true;
    }
    if (world.openJobs > 0 || world.now.time_since_epoch() < world.policyCase.horizon) {
        schedule(world, world.now + samplePeriod, WorldEventKind::Sample);
    }
}

void reportCapacity(PolicyWorld &world, const ZoneState &changed)
{
    const auto view = viewOf(world, changed);
    ZoneCapacity capacity;
    capacity.freeAccelerators = freeAccelerators(view);
    for (const auto &[id, target] : changed.targets.rows()) {
        capacity.usableAccelerators += isUsable(view, target) ? target.acceleratorCount : 0;
    }
    for (auto &zone : world.zones) {
        if (zone.id != changed.id) {
            zone.otherZones[changed.id] = capacity;
        }
    }
}

/// Checks after a pass that the plan does not use the cells of other organisations' guarantees, and that the placed work leaves room to satisfy all guarantees.
void checkGuaranteeRule(PolicyWorld &world, const ZoneState &zone, bool breaksGuarantees)
{
    const auto view = viewOf(world, zone);
    const auto map = capacityOf(view);
    const auto cells = bindCells(view, map);
    ++world.totals.guaranteeChecks;
    const bool isDisturbed = !world.policyCase.failingTargets.empty() || world.policyCase.leavingZone.has_value();
    if (breaksGuarantees || cells.isBlockedByWork || (!cells.shortfalls.empty() && !isDisturbed)) {
        ++world.totals.guaranteeViolations;
    } else if (!cells.shortfalls.empty()) {
        ++world.totals.shortfallSteps;
    }
}

/// Adds the demand in the remaining zones from now until the given time, as far as another zone is out of service in this period. The demand of a zone is
/// all of its accelerators if jobs wait in the zone, otherwise the accelerators in use.
void addDemand(PolicyWorld &world, TimePoint until)
{
    const auto &policyCase = world.policyCase;
    const auto from = world.now.time_since_epoch();
    if (!policyCase.leavingZone || from < policyCase.leaveAt || from >= policyCase.returnAt) {
        return;
    }
    const double elapsed = std::chrono::duration<double, std::ratio<3600>>(std::min(until.time_since_epoch(), policyCase.returnAt) - from).count();
    for (const auto &zone : world.zones) {
        if (zone.id == *policyCase.leavingZone) {
            continue;
        }
        const auto map = capacityOf(viewOf(world, zone));
        int acceleratorsInDemand = 0;
        for (const auto &target : map.targets) {
            acceleratorsInDemand += std::popcount(map.waiting.empty() ? target.used : target.all);
        }
        world.totals.zoneChangeDemandHours += elapsed * acceleratorsInDemand;
    }
}

void planZone(PolicyWorld &world, int index)
{
    auto &zone = world.zones[index];
    zone.needsPass = false;
    const auto view = viewOf(world, zone);
    const auto plan = world.plan(view);
    const bool breaksGuarantees = world.isProductionPolicy && !placementsBreakingGuarantees(view, plan).empty();
    applyPlan(world, index, plan);
    ++world.totals.passes;
    if (world.isProductionPolicy && !isZoneOut(world.configuration, zone.id)) {
        checkGuaranteeRule(world, zone, breaksGuarantees);
    }
    reportCapacity(world, zone);
    const bool hasWaiting = !waitingJobs(viewOf(world, zone)).empty();
    // If this pass started a job, the limit of starts per second may have delayed others, so the next pass follows soon. Otherwise the plan can change only
    // as time passes, and the next pass can be later.
    const Duration tickPeriod = plan.placements.empty() ? std::chrono::seconds{15} : std::chrono::seconds{1};
    if (hasWaiting && !zone.isTickScheduled) {
        zone.isTickScheduled = true;
        schedule(world, world.now + tickPeriod, WorldEventKind::Tick, index);
    }
}

}

PolicyWorld makeWorld(const PolicyCase &policyCase, PlanFunction plan, bool isProductionPolicy)
{
    PolicyWorld world{policyCase, std::move(plan), isProductionPolicy, policyCase.configuration, {}, {}, {}, {}, 0, {}, std::mt19937(policyCase.seed)};
    for (const auto &id : policyCase.zones) {
        ZoneState zone;
        zone.id = id;
        for (const auto &[targetId, target] : policyCase.targets.rows()) {
            if (target.availabilityZone == id) {
                zone.targets.put(targetId, target);
                zone.startable.insert(targetId);
            }
        }
        world.zones.push_back(std::move(zone));
    }
    for (const auto &zone : world.zones) {
        reportCapacity(world, zone);
    }
    for (int index = 0; index < static_cast<int>(policyCase.jobs.size()); ++index) {
        const auto &job = policyCase.jobs[index];
        world.jobIndex.emplace(job.specification.id, index);
        world.outcomes.push_back({job.specification.jobClass, job.submitAt});
        world.outcomes.back().isReclaimProbe = job.isReclaimProbe;
        world.outcomes.back().trueRunTime = job.trueRunTime;
        addEvent(world, job.submitAt, WorldEventKind::Submit, index);
        if (job.cancelAt > Duration{0}) {
            addEvent(world, job.cancelAt, WorldEventKind::Cancel, index);
        }
    }
    world.openJobs = static_cast<int>(policyCase.jobs.size());
    if (policyCase.leavingZone) {
        addEvent(world, policyCase.leaveAt, WorldEventKind::ZoneOut);
        const auto notice = policyCase.configuration.availabilityZones.at(*policyCase.leavingZone).leaveNotice;
        addEvent(world, policyCase.leaveAt + notice, WorldEventKind::LeaveNoticeEnded);
        addEvent(world, policyCase.returnAt, WorldEventKind::ZoneReturned);
    }
    schedule(world, world.now + samplePeriod, WorldEventKind::Sample);
    return world;
}

ClusterView viewOf(const PolicyWorld &world, const ZoneState &zone)
{
    const TimePoint back = TimePoint{} + world.policyCase.returnAt;
    const bool isRampingUp = world.policyCase.leavingZone == zone.id && world.now >= back && world.now < back + rampUpPeriod;
    return {zone.id,
            world.configuration,
            zone.targets,
            zone.startable,
            zone.jobs,
            zone.attempts,
            zone.otherZones,
            world.now,
            WallTime{world.now.time_since_epoch()},
            isRampingUp};
}

bool stepWorld(PolicyWorld &world)
{
    if (world.events.empty()) {
        return false;
    }
    addDemand(world, world.events.top().at);
    world.now = world.events.top().at;
    while (!world.events.empty() && world.events.top().at == world.now) {
        const auto event = world.events.top();
        world.events.pop();
        if (event.kind == WorldEventKind::Sample) {
            sample(world);
        } else {
            handle(world, event);
        }
    }
    for (int index = 0; index < static_cast<int>(world.zones.size()); ++index) {
        if (world.zones[index].needsPass) {
            planZone(world, index);
        }
    }
    return true;
}

void run(PolicyWorld &world)
{
    const TimePoint limit{world.policyCase.horizon * timeLimitFactor};
    while (world.openJobs > 0 && world.now < limit && stepWorld(world)) {
    }
}

}
