#include "injection.h"

#include "callers.h"
#include "configurationseries.h"
#include "faulteffects.h"
#include "hostsignals.h"
#include "platform/standin/platformwriter.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <utility>

namespace sequoiastand
{

namespace
{

// Number of workflows in a burst of submissions, and percentage of the open workflows that a wave of cancellations cancels.
constexpr int burstSize = 10;
constexpr int cancelPercent = 50;

// Time between two configuration versions in quick succession.
constexpr Duration versionInterval{150};

constexpr int configurationVersions = 4;

// Maps a plan's figure of 10 to 60 to a delay of 50 to 300 ms, so that some calls time out and others do not.
constexpr int delayPerFigure = 5;

constexpr Duration slowStoreLatency{250}; // Fifty times the platform's usual latency of a few milliseconds.
constexpr double slowTarget = 4;          // Factor by which tasks take longer.

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

void killHost(SoakHost &host)
{
    if (host.step == ProcessStep::Up || host.step == ProcessStep::Paused) {
        host.step = ProcessStep::Killed;
        host.isRestartBlocked = true;
        sendSignal(host, SIGKILL);
    }
}

void restart(SoakWorld &world, SoakHost &host)
{
    host.isRestartBlocked = false;
    if (host.step == ProcessStep::Down) {
        startProcess(world, host);
    }
}

Effect killEffect(SoakWorld &world, SoakHost &host)
{
    killHost(host);
    return {host.place.id, true, [&world, &host] { restart(world, host); }};
}

Effect pauseEffect(SoakHost &host)
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

Effect proxyEffect(const HostId &host, Proxy &proxy, const ProxyFaults &faults)
{
    proxy.setFaults(faults);
    return {host, true, [&proxy] { proxy.setFaults({}); }};
}

Effect targetEffect(SoakWorld &world, const TargetId &id, const ModelTargetFaults &faults)
{
    auto &fleet = world.targets.fleet;
    fleet.targets.at(id).faults = faults;
    return {{}, true, [&fleet, id] { fleet.targets.at(id).faults = {}; }};
}

/// True if the subject is withdrawn now. Callers then begin no second withdrawal, because the end of the first withdrawal would also end the second.
bool isWithdrawn(const std::vector<Withdrawal> &withdrawals, const std::string &subject)
{
    return std::ranges::any_of(withdrawals, [&](const Withdrawal &withdrawal) { return withdrawal.subject == subject && !withdrawal.until; });
}

Effect drainTarget(SoakWorld &world, const TargetId &id)
{
    if (isWithdrawn(world.history.targetsLeaving, id.value)) {
        return momentaryEffect({}, false);
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

Effect delayOrdersAcrossCrash(SoakWorld &world, const TargetId &id, const PlannedFault &fault)
{
    auto &faults = world.targets.faults;
    faults.instanceCrossingOrderPercent = fault.figure;
    runAt(world, EventLoop::now() + fault.length / 2, [&world, id] {
        crashTarget(world.targets, id);
        writeRegistration(world, id);
    });
    return {{}, true, [&faults] { faults.instanceCrossingOrderPercent = 0; }};
}

Effect evacuate(SoakWorld &world, int subject)
{
    const AvailabilityZoneId zone{subject % 2 == 0 ? "a" : "b"};
    if (isWithdrawn(world.history.zonesOut, zone.value)) {
        return momentaryEffect({}, false);
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
        return momentaryEffect({}, false);
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

Effect writeForeignEntries(SoakWorld &world, const TargetId &id)
{
    std::vector<std::string> names;
    for (const auto &text : foreignRegistrationTexts(world.targets.fleet.targets.at(id).registration)) {
        names.push_back(registrationItemName({absl::StrCat("foreign", names.size() + 1)}));
        putItem(world.store, names.back(), text);
    }
    return {{}, false, [&world, names] { std::ranges::for_each(names, [&world](const std::string &name) { removeItem(world.store, name); }); }};
}

Effect changeConfiguration(SoakWorld &world)
{
    TimePoint when = EventLoop::now();
    for (int version = 0; version < configurationVersions; ++version) {
        runAt(world, when, [&world] { writeConfiguration(world); });
        when += versionInterval;
    }
    return momentaryEffect({}, false);
}

/// Begins a fault of a host's process or of its connections.
std::optional<Effect> beginHostFault(SoakWorld &world, const PlannedFault &fault)
{
    auto &host = hostOf(world, fault.subject);
    auto *owner = findOwner(world);
    auto &owningHost = owner == nullptr ? host : *owner;
    const Duration delay{fault.figure * delayPerFigure};
    switch (fault.kind) {
    case FaultKind::KillHost:
        return killEffect(world, host);
    case FaultKind::KillOwner:
        return killEffect(world, owningHost);
    case FaultKind::KillAllHosts:
        std::ranges::for_each(world.hosts, killHost);
        return Effect{{}, true, [&world] { std::ranges::for_each(world.hosts, [&world](SoakHost &each) { restart(world, each); }); }};
    case FaultKind::PauseHost:
        return pauseEffect(host);
    case FaultKind::PauseOwner:
        return pauseEffect(owningHost);
    case FaultKind::StopHost:
        stop(world, host);
        return momentaryEffect(host.place.id, false);
    case FaultKind::StopAllInTurn:
        return stopInTurn(world);
    case FaultKind::ReloadHost:
        return reload(world, host);
    case FaultKind::DelayStoreLink:
        return proxyEffect(host.place.id, *host.storeLink, {delay, false, false});
    case FaultKind::ResetStoreLink:
        host.storeLink->resetConnections();
        return momentaryEffect(host.place.id);
    case FaultKind::CutStoreLink:
        return proxyEffect(host.place.id, *host.storeLink, {Duration{0}, true, true});
    case FaultKind::CutStoreAnswers:
        return proxyEffect(host.place.id, *host.storeLink, {Duration{0}, false, true});
    case FaultKind::CutStoreCalls:
        return proxyEffect(host.place.id, *host.storeLink, {Duration{0}, true, false});
    case FaultKind::SilenceStoreLink:
        host.storeLink->silenceConnections();
        return momentaryEffect(host.place.id);
    case FaultKind::ResetCallers:
        host.callerLink->resetConnections();
        return momentaryEffect(host.place.id);
    case FaultKind::DelayCallers:
        return proxyEffect(host.place.id, *host.callerLink, {delay, false, false});
    case FaultKind::HalfCloseCallers:
        return halfCloseCallers(world, host);
    case FaultKind::RefuseOwnerWrites:
        return refuseWrites(world, owningHost);
    case FaultKind::TurnHostsAway:
        return turnHostsAway(world, owningHost, fault);
    case FaultKind::OverlappingSignals:
        return sendOverlappingSignals(world, fault);
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
        return momentaryEffect({});
    case FaultKind::SilenceTargetLinks:
        target.link->silenceConnections();
        return momentaryEffect({});
    case FaultKind::CutTarget:
        return cutTarget(world, id, {Duration{0}, true, true});
    case FaultKind::CutTargetAnswers:
        return cutTarget(world, id, {Duration{0}, false, true});
    case FaultKind::DelayTarget:
        return proxyEffect({}, *target.link, {Duration{fault.figure * delayPerFigure}, false, false});
    case FaultKind::CrashTarget:
        crashTarget(world.targets, id);
        writeRegistration(world, id);
        return momentaryEffect({});
    case FaultKind::FailingTarget:
        return targetEffect(world, id, {1, true, false});
    case FaultKind::StuckTarget:
        return targetEffect(world, id, {1, false, true});
    case FaultKind::SlowTarget:
        return targetEffect(world, id, {slowTarget, false, false});
    case FaultKind::LeavingTarget:
        return drainTarget(world, id);
    case FaultKind::LostOrderAnswers:
        world.targets.faults.lostAnswerPercent = fault.figure;
        return Effect{{}, true, [&world] { world.targets.faults.lostAnswerPercent = 0; }};
    case FaultKind::LateOrders:
        world.targets.faults.lateOrderPercent = fault.figure;
        return Effect{{}, true, [&world] { world.targets.faults.lateOrderPercent = 0; }};
    case FaultKind::OrdersAcrossCrash:
        return delayOrdersAcrossCrash(world, id, fault);
    case FaultKind::ForeignEntries:
        return writeForeignEntries(world, id);
    default:
        return std::nullopt;
    }
}

/// Begins a fault of the store, or an action of operators or callers.
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
        return momentaryEffect({});
    case FaultKind::ZoneOut:
        return evacuate(world, fault.subject);
    case FaultKind::RemoveKey:
        return removeKey(world, fault.subject);
    case FaultKind::ChangeConfiguration:
        return changeConfiguration(world);
    case FaultKind::ConfigurationSeries:
        return changeConfigurationInSeries(world, fault);
    case FaultKind::CancelUnanswered:
        return delaySubmissions(world, fault);
    case FaultKind::LastingWork:
        sendLastingWork(world);
        return momentaryEffect({}, false);
    case FaultKind::StallStore:
        return stallStore(world, fault);
    case FaultKind::LapsedStore:
        return lapseStore(world);
    case FaultKind::SilenceAllLinks:
        return silenceAllLinks(world, fault);
    case FaultKind::ManyEnds:
        return sendManyEnds(world);
    case FaultKind::CancelWave:
        cancelSome(world, cancelPercent);
        return momentaryEffect({}, false);
    default:
        sendBurst(world, burstSize);
        return momentaryEffect({}, false);
    }
}

/// True if the hosts that the fault affects cannot answer every request: their processes do not run, or their connections to callers are cut or late.
bool excusesAnswers(FaultKind kind)
{
    constexpr std::array kinds{FaultKind::KillHost,
                               FaultKind::KillOwner,
                               FaultKind::KillAllHosts,
                               FaultKind::PauseHost,
                               FaultKind::PauseOwner,
                               FaultKind::ResetCallers,
                               FaultKind::DelayCallers};
    return std::ranges::find(kinds, kind) != kinds.end();
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
        world.history.disturbances.push_back({effect->host, now, now + fault.length, excusesAnswers(fault.kind)});
    }
    runAt(world, now + fault.length, std::move(effect->end));
}

void endAllFaults(SoakWorld &world)
{
    // Scheduled actions run now, in order of their time.
    while (!world.timeline.empty()) {
        const auto action = world.timeline.extract(world.timeline.begin());
        action.mapped()();
    }
    world.store.faults = {};
    world.targets.faults = {};
    world.cancelsUnanswered = false;
    world.acceptsRefusals = false;
    for (auto &host : world.hosts) {
        host.storeLink->setFaults({});
        host.callerLink->setFaults({});
    }
}

}
