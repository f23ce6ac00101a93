#include "faulteffects.h"

#include "callers.h"
#include "platform/platformrecords.h"
#include "platform/standin/platformwriter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Holds back the answers of the target with the most tasks of the workflow once most of them run there, so that their ends fill more than one list. Orders
/// still arrive at once, so no start is late and no host counts as disturbed. Tries until the time.
void silenceBusiest(SoakWorld &world, const RequestId &workflow, TimePoint until)
{
    constexpr std::ptrdiff_t minTasks = 900; // Only runs whose start has been answered can be taken for lost.
    constexpr Duration retryPause{50};
    constexpr Duration cutLength{4'200}; // Longer than the tasks run, and shorter than a target stays registered without heartbeats.
    const auto tasksOn = [&](const ModelTarget &target) {
        return std::ranges::count(target.running, workflow, [](const auto &row) { return row.first.step.workflow; });
    };
    const auto now = EventLoop::now();
    const auto busiest = std::ranges::max_element(world.targets.fleet.targets, {}, [&](const auto &row) { return tasksOn(row.second); });
    if (tasksOn(busiest->second) >= minTasks) {
        auto effect = cutTarget(world, busiest->first, {.cutsToClient = true});
        runAt(world, now + cutLength, std::move(effect.end));
    } else if (now < until) {
        runAt(world, now + retryPause, [&world, workflow, until] { silenceBusiest(world, workflow, until); });
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
    constexpr Duration storeDelay{30}; // Longer than the proxy needs to end the sending side, so that the call is still under way.
    host.callerLink->setFaults({.halfCloses = true});
    host.storeLink->setFaults({.delay = storeDelay});
    world.acceptsRefusals = true;
    return {host.place.id, false, [&world, &host] {
                host.callerLink->setFaults({});
                host.storeLink->setFaults({});
                world.acceptsRefusals = false;
            }};
}

Effect refuseWrites(SoakWorld &world, const SoakHost &host)
{
    if (!world.store.faults.refusedDoors.empty()) {
        return momentaryEffect({}, false); // With several owners refused one after the other, no host might be left that can own the domain.
    }
    const auto door = host.storeDoor;
    world.store.faults.refusedDoors.insert(door);
    return {host.place.id, true, [&world, door] { world.store.faults.refusedDoors.erase(door); }};
}

Effect turnHostsAway(SoakWorld &world, const SoakHost &host, const PlannedFault &fault)
{
    constexpr std::array refusals{StoreRefusal::NoAnswer, StoreRefusal::Busy, StoreRefusal::TooMany};
    const auto refusal = refusals.at(static_cast<std::size_t>(fault.figure) % refusals.size());
    const auto now = EventLoop::now();
    std::vector<std::size_t> doors;
    for (const auto &each : world.hosts) {
        const bool isDrawn = drawNumber(world, 1, 3) == 1;
        if (isDrawn || each.place.id == host.place.id) {
            doors.push_back(each.storeDoor);
            world.store.faults.turnedAwayDoors.insert_or_assign(each.storeDoor, refusal);
            world.history.disturbances.push_back({each.place.id, now, now + fault.length});
        }
    }
    return {
        host.place.id, true, [&world, doors] { std::ranges::for_each(doors, [&world](std::size_t door) { world.store.faults.turnedAwayDoors.erase(door); }); }};
}

Effect stallStore(SoakWorld &world, const PlannedFault &fault)
{
    constexpr Duration stallPeriod{2'000};
    constexpr Duration shortestStall{500};
    constexpr int stallPerFigureMs = 8;
    const Duration stall = shortestStall + Duration{fault.figure * stallPerFigureMs};
    const auto begin = EventLoop::now();
    for (Duration at{0}; at < fault.length; at += stallPeriod) {
        runAt(world, begin + at, [&world, stall] { world.store.faults.stalledUntil = EventLoop::now() + stall; });
    }
    return momentaryEffect({}, false);
}

Effect lapseStore(SoakWorld &world)
{
    constexpr int longestReturnMs = 2'000;
    world.store.faults.isSilent = true;
    return {{}, true, [&world] {
                world.store.faults.isSilent = false;
                const auto now = EventLoop::now();
                for (auto &[id, target] : world.targetStates) {
                    removeItem(world.store, registrationItemName(id));
                    target.nextHeartbeatAt = now + Duration{drawNumber(world, 0, longestReturnMs)};
                }
            }};
}

Effect silenceAllLinks(SoakWorld &world, const PlannedFault &fault)
{
    constexpr int leastPercent = 40;
    const auto isHit = [&world, percent = leastPercent + fault.figure] { return drawNumber(world, 1, 100) <= percent; };
    std::ranges::for_each(world.hosts, [&](SoakHost &host) { host.storeLink->silenceConnections(isHit); });
    std::ranges::for_each(world.targetStates, [&](auto &row) { row.second.link->silenceConnections(isHit); });
    const auto now = EventLoop::now();
    world.history.disturbances.push_back({{}, now, now});
    return momentaryEffect({}, false);
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
        silenceBusiest(world, sendManyTasks(world), EventLoop::now() + longestStart);
    }
    return momentaryEffect({}, false);
}

}
