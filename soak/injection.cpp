#include "injection.h"

#include "callers.h"
#include "platform/standin/platformwriter.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <utility>

namespace sequoiastand
{

namespace
{

// A burst sends so many workflows, a wave of cancellations takes about that share of what is open.
constexpr int burstSize = 10;
constexpr int cancelPercent = 50;

// From the start of a process until it handles signals; a few milliseconds on an idle machine.
constexpr Duration startTime{1'000};

// Between two hosts that are stopped in turn.
constexpr Duration turnGap{1'500};

// Between two versions that follow each other closely.
constexpr Duration versionGap{150};

constexpr int configurationVersions = 4;

// A plan's figure of 10 to 60 becomes a delay of 50 to 300 ms, so that some calls time out and others do not.
constexpr int delayPerFigure = 5;

constexpr Duration slowStoreLatency{250}; // Fifty times the platform's few milliseconds.
constexpr double slowTarget = 4;          // Tasks take this many times as long.

/// A fault under way: whom it concerns and how to end it. An empty host means everyone.
struct Effect
{
    HostId host;
    bool isDisturbance = true; ///< False for what the operators do, which hosts have to follow in time.
    std::function<void()> end;
};

SoakHost &hostOf(SoakWorld &world, int subject)
{
    return world.hosts[static_cast<std::size_t>(subject) % world.hosts.size()];
}

TargetId targetOf(const SoakWorld &world, int subject)
{
    auto row = world.targetStates.begin();
    std::advance(row, static_cast<std::ptrdiff_t>(static_cast<std::size_t>(subject) % world.targetStates.size()));
    return row->first;
}

void stop(SoakWorld &world, SoakHost &host)
{
    // A process that has only just been started dies of the signal, before it has read a request.
    if (host.step != ProcessStep::Up || EventLoop::now() - host.startedAt < startTime) {
        return;
    }
    host.step = ProcessStep::Stopping;
    host.stopSentAt = EventLoop::now();
    world.history.plannedStops.push_back({host.place.id, host.stopSentAt, std::nullopt, 0});
    sendSignal(host, SIGTERM);
}

void killHost(SoakHost &host)
{
    if (host.step == ProcessStep::Up || host.step == ProcessStep::Paused) {
        host.step = ProcessStep::Killed;
        host.isHeldDown = true;
        sendSignal(host, SIGKILL);
    }
}

void bringBack(SoakWorld &world, SoakHost &host)
{
    host.isHeldDown = false;
    if (host.step == ProcessStep::Down) {
        startProcess(world, host);
    }
}

Effect killFor(SoakWorld &world, SoakHost &host)
{
    killHost(host);
    return {host.place.id, true, [&world, &host] { bringBack(world, host); }};
}

Effect pauseFor(SoakHost &host)
{
    if (host.step == ProcessStep::Up) {
        host.step = ProcessStep::Paused;
        sendSignal(host, SIGSTOP);
    }
    return {host.place.id, true, [&host] {
                if (host.step == ProcessStep::Paused) {
                    sendSignal(host, SIGCONT);
                    host.step = ProcessStep::Up;
                }
            }};
}

Effect proxyFor(const HostId &host, Proxy &proxy, const ProxyFaults &faults)
{
    proxy.setFaults(faults);
    return {host, true, [&proxy] { proxy.setFaults({}); }};
}

Effect at(const HostId &host, bool isDisturbance = true)
{
    return {host, isDisturbance, [] {}};
}

Effect targetFor(SoakWorld &world, const TargetId &id, const ModelTargetFaults &faults)
{
    auto &fleet = world.targets.fleet;
    fleet.targets.at(id).faults = faults;
    return {{}, true, [&fleet, id] { fleet.targets.at(id).faults = {}; }};
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

/// True if it is withdrawn at present. A second withdrawal would be ended by the first one's end.
bool isWithdrawn(const std::vector<Withdrawal> &withdrawals, const std::string &subject)
{
    return std::ranges::any_of(withdrawals, [&](const Withdrawal &withdrawal) { return withdrawal.subject == subject && !withdrawal.until; });
}

Effect drainTarget(SoakWorld &world, const TargetId &id)
{
    if (isWithdrawn(world.history.targetsLeaving, id.value)) {
        return at({}, false);
    }
    auto &target = world.targetStates.at(id);
    target.isDraining = true;
    writeRegistration(world, id);
    const auto number = world.history.targetsLeaving.size();
    world.history.targetsLeaving.push_back({id.value, EventLoop::now(), std::nullopt});
    return {{}, false, [&world, &target, id, number] {
                target.isDraining = false;
                world.history.targetsLeaving[number].until = EventLoop::now();
                writeRegistration(world, id);
            }};
}

Effect evacuate(SoakWorld &world, int subject)
{
    const AvailabilityZoneId zone{subject % 2 == 0 ? "a" : "b"};
    if (isWithdrawn(world.history.zonesOut, zone.value)) {
        return at({}, false);
    }
    putItem(world.store, evacuationItemName(zone), "{}");
    const auto number = world.history.zonesOut.size();
    world.history.zonesOut.push_back({zone.value, EventLoop::now(), std::nullopt});
    return {{}, false, [&world, zone, number] {
                world.history.zonesOut[number].until = EventLoop::now();
                removeItem(world.store, evacuationItemName(zone));
            }};
}

Effect removeKey(SoakWorld &world, int subject)
{
    const OrganisationId organisation{subject % 2 == 0 ? "tailors" : "hotels"};
    const std::string key = "spare-" + organisation.value;
    if (isWithdrawn(world.history.keysRemoved, key)) {
        return at({}, false);
    }
    world.configuration.keys.erase(key);
    writeConfiguration(world);
    const auto number = world.history.keysRemoved.size();
    world.history.keysRemoved.push_back({key, EventLoop::now(), std::nullopt});
    return {{}, false, [&world, key, organisation, number] {
                world.history.keysRemoved[number].until = EventLoop::now();
                world.configuration.keys.insert_or_assign(key, organisation);
                writeConfiguration(world);
            }};
}

Effect stopInTurn(SoakWorld &world)
{
    TimePoint when = EventLoop::now();
    for (auto &host : world.hosts) {
        runAt(world, when, [&world, &host] { stop(world, host); });
        when += turnGap;
    }
    return at({}, false);
}

Effect changeConfiguration(SoakWorld &world)
{
    TimePoint when = EventLoop::now();
    for (int version = 0; version < configurationVersions; ++version) {
        runAt(world, when, [&world] { writeConfiguration(world); });
        when += versionGap;
    }
    return at({}, false);
}

Effect reload(SoakWorld &world, SoakHost &host)
{
    const auto status = writeSettings(host.place, ++world.settingsRevision);
    if (status.ok() && host.step == ProcessStep::Up) {
        sendSignal(host, SIGHUP);
    }
    return at(host.place.id, false);
}

/// Faults of a host's process and of its connections.
std::optional<Effect> beginHostFault(SoakWorld &world, const PlannedFault &fault)
{
    auto &host = hostOf(world, fault.subject);
    auto *owner = findOwner(world);
    auto &leading = owner == nullptr ? host : *owner;
    const Duration delay{fault.figure * delayPerFigure};
    switch (fault.kind) {
    case FaultKind::KillHost:
        return killFor(world, host);
    case FaultKind::KillOwner:
        return killFor(world, leading);
    case FaultKind::KillAllHosts:
        std::ranges::for_each(world.hosts, killHost);
        return Effect{{}, true, [&world] { std::ranges::for_each(world.hosts, [&world](SoakHost &each) { bringBack(world, each); }); }};
    case FaultKind::PauseHost:
        return pauseFor(host);
    case FaultKind::PauseOwner:
        return pauseFor(leading);
    case FaultKind::StopHost:
        stop(world, host);
        return at(host.place.id, false);
    case FaultKind::StopAllInTurn:
        return stopInTurn(world);
    case FaultKind::ReloadHost:
        return reload(world, host);
    case FaultKind::DelayStoreLink:
        return proxyFor(host.place.id, *host.storeLink, {delay, false, false});
    case FaultKind::ResetStoreLink:
        host.storeLink->resetConnections();
        return at(host.place.id);
    case FaultKind::CutStoreLink:
        return proxyFor(host.place.id, *host.storeLink, {Duration{0}, true, true});
    case FaultKind::CutStoreAnswers:
        return proxyFor(host.place.id, *host.storeLink, {Duration{0}, false, true});
    case FaultKind::CutStoreCalls:
        return proxyFor(host.place.id, *host.storeLink, {Duration{0}, true, false});
    case FaultKind::SilenceStoreLink:
        host.storeLink->silenceConnections();
        return at(host.place.id);
    case FaultKind::ResetCallers:
        host.callerLink->resetConnections();
        return at(host.place.id);
    case FaultKind::DelayCallers:
        return proxyFor(host.place.id, *host.callerLink, {delay, false, false});
    default:
        return std::nullopt;
    }
}

std::optional<Effect> beginTargetFault(SoakWorld &world, const PlannedFault &fault)
{
    const auto id = targetOf(world, fault.subject);
    auto &target = world.targetStates.at(id);
    switch (fault.kind) {
    case FaultKind::ResetTargetLinks:
        target.link->resetConnections();
        return at({});
    case FaultKind::SilenceTargetLinks:
        target.link->silenceConnections();
        return at({});
    case FaultKind::CutTarget:
        return cutTarget(world, id, {Duration{0}, true, true});
    case FaultKind::CutTargetAnswers:
        return cutTarget(world, id, {Duration{0}, false, true});
    case FaultKind::DelayTarget:
        return proxyFor({}, *target.link, {Duration{fault.figure * delayPerFigure}, false, false});
    case FaultKind::CrashTarget:
        crashTarget(world.targets, id);
        writeRegistration(world, id);
        return at({});
    case FaultKind::FailingTarget:
        return targetFor(world, id, {1, true, false});
    case FaultKind::StuckTarget:
        return targetFor(world, id, {1, false, true});
    case FaultKind::SlowTarget:
        return targetFor(world, id, {slowTarget, false, false});
    case FaultKind::LeavingTarget:
        return drainTarget(world, id);
    case FaultKind::LostOrderAnswers:
        world.targets.faults.lostAnswerPercent = fault.figure;
        return Effect{{}, true, [&world] { world.targets.faults.lostAnswerPercent = 0; }};
    case FaultKind::LateOrders:
        world.targets.faults.lateOrderPercent = fault.figure;
        return Effect{{}, true, [&world] { world.targets.faults.lateOrderPercent = 0; }};
    default:
        return std::nullopt;
    }
}

/// Faults of the store, what the operators do, and what callers do.
Effect beginOtherFault(SoakWorld &world, const PlannedFault &fault)
{
    auto &faults = world.store.faults;
    switch (fault.kind) {
    case FaultKind::SilenceStore:
        faults.isSilent = true;
        return {{}, true, [&faults] { faults.isSilent = false; }};
    case FaultKind::BusyStore:
        faults.isBusy = true;
        return {{}, true, [&faults] { faults.isBusy = false; }};
    case FaultKind::SlowStore:
        faults.latency = slowStoreLatency;
        return {{}, true, [&faults] { faults.latency = PlatformStoreFaults{}.latency; }};
    case FaultKind::LostStoreAnswers:
        faults.lostAnswerPercent = fault.figure;
        return {{}, true, [&faults] { faults.lostAnswerPercent = 0; }};
    case FaultKind::LateStoreWrites:
        faults.lateWritePercent = fault.figure;
        return {{}, true, [&faults] { faults.lateWritePercent = 0; }};
    case FaultKind::DeafWatches:
        faults.areWatchesUnanswered = true;
        return {{}, true, [&faults] { faults.areWatchesUnanswered = false; }};
    case FaultKind::ForgetHistory:
        forgetHistory(world.store);
        return at({});
    case FaultKind::ZoneOut:
        return evacuate(world, fault.subject);
    case FaultKind::RemoveKey:
        return removeKey(world, fault.subject);
    case FaultKind::ChangeConfiguration:
        return changeConfiguration(world);
    case FaultKind::CancelWave:
        cancelSome(world, cancelPercent);
        return at({}, false);
    default:
        sendBurst(world, burstSize);
        return at({}, false);
    }
}

}

void inject(SoakWorld &world, const PlannedFault &fault)
{
    ++world.injected[fault.kind];
    const auto now = EventLoop::now();
    auto effect = beginHostFault(world, fault);
    if (!effect) {
        effect = beginTargetFault(world, fault);
    }
    if (!effect) {
        effect = beginOtherFault(world, fault);
    }
    if (effect->isDisturbance) {
        world.history.disturbances.push_back({effect->host, now, now + fault.length});
    }
    runAt(world, now + fault.length, std::move(effect->end));
}

void healEverything(SoakWorld &world)
{
    // What is due later ends now, in its order.
    while (!world.timeline.empty()) {
        const auto action = world.timeline.extract(world.timeline.begin());
        action.mapped()();
    }
    world.store.faults = {};
    world.targets.faults = {};
    for (auto &host : world.hosts) {
        host.storeLink->setFaults({});
        host.callerLink->setFaults({});
    }
}

}
