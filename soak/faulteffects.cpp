#include "faulteffects.h"

#include "callers.h"
#include "platform/platformrecords.h"
#include "platform/standin/platformwriter.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Cuts off the target with the most tasks of the workflow once most of them run there, so that their ends fill more than one list. Tries until the time.
void cutOffBusiest(SoakWorld &world, const RequestId &workflow, TimePoint until)
{
    constexpr std::ptrdiff_t minTasks = 600;
    constexpr Duration retryPause{50};
    constexpr Duration cutLength{4'000}; // Longer than the tasks run, and shorter than a target stays registered without heartbeats.
    const auto tasksOn = [&](const ModelTarget &target) {
        return std::ranges::count(target.running, workflow, [](const auto &row) { return row.first.step.workflow; });
    };
    const auto now = EventLoop::now();
    const auto busiest = std::ranges::max_element(world.targets.fleet.targets, {}, [&](const auto &row) { return tasksOn(row.second); });
    if (tasksOn(busiest->second) >= minTasks) {
        auto effect = cutTarget(world, busiest->first, {Duration{0}, true, true});
        world.history.disturbances.push_back({{}, now, now + cutLength});
        runAt(world, now + cutLength, std::move(effect.end));
    } else if (now < until) {
        runAt(world, now + retryPause, [&world, workflow, until] { cutOffBusiest(world, workflow, until); });
    }
}

}

Effect momentaryEffect(const HostId &host, bool isDisturbance)
{
    return {host, isDisturbance, [] {}};
}

Effect cutTarget(SoakWorld &world, const TargetId &id, const ProxyFaults &faults)
{
    auto &target = world.targetStates.at(id);
    target.link->setFaults(faults);
    target.cutSince = target.cutSince.value_or(EventLoop::now());
    return {{}, true, [&world, &target, id] {
                target.link->setFaults({});
                target.cutSince.reset();
                writeRegistration(world, id);
            }};
}

Effect halfCloseCallers(SoakWorld &world, SoakHost &host)
{
    host.callerLink->setFaults({.halfCloses = true});
    world.store.faults.latency = slowStoreLatency;
    world.acceptsRefusals = true;
    return {{}, true, [&world, &host] {
                host.callerLink->setFaults({});
                world.store.faults.latency = PlatformStoreFaults{}.latency;
                world.acceptsRefusals = false;
            }};
}

Effect delaySubmissions(SoakWorld &world, const PlannedFault &fault)
{
    constexpr int leastPercent = 40;
    auto &faults = world.store.faults;
    faults.latePrefix = platformKey(workflowKey({}));
    faults.latePrefixPercent = leastPercent + fault.figure;
    world.cancelsUnanswered = true;
    return {{}, false, [&world] {
                world.store.faults.latePrefixPercent = 0;
                world.cancelsUnanswered = false;
            }};
}

Effect sendManyEnds(SoakWorld &world)
{
    constexpr Duration longestStart{5'000};
    if (world.injected[FaultKind::ManyEnds] == 1) {
        cutOffBusiest(world, sendManyTasks(world), EventLoop::now() + longestStart);
    }
    return momentaryEffect({}, false);
}

}
