#include "soakworld.h"

#include "platform/platformrecords.h"
#include "platform/standin/platformwriter.h"
#include "processorquota.h"
#include "standins/samplequeues.h"
#include "wire/jsonfields.h"
#include "workdemands.h"

#include <absl/strings/str_cat.h>

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr int targetsPerRack = 4;
constexpr int guaranteedAccelerators = 16;

// Period of the targets' registration writes; a target that misses three periods is removed.
constexpr Duration heartbeatPeriod{1'500};
constexpr Duration registrationTimeout{4'500};

// Delay before a process that ended by itself is restarted.
constexpr Duration restartDelay{300};

// Time beyond the grace period after which a process that has not ended is killed.
constexpr Duration gracePeriodMargin{1'000};

// Time between two checks of the soak that counts as a gap; without load they are 5 to 10 ms apart.
constexpr Duration leastGap{50};

constexpr int weakLinkBytesPerSecond = 10'000'000 / 8;

// Accelerators that a task of the random workload needs at most.
constexpr int maxAcceleratorsPerTask = 4;

QueueConfiguration initialConfiguration(const SoakOptions &options)
{
    QueueConfiguration configuration;
    configuration.services.emplace(ServiceId{"press"}, Service{{"press"}, false, false, "/health"});
    for (const std::string organisation : {"tailors", "hotels"}) {
        configuration.organisations.emplace(OrganisationId{organisation}, OrganisationShare{{organisation}, guaranteedAccelerators});
        configuration.keys.emplace("key-" + organisation, OrganisationId{organisation});
        configuration.keys.emplace("spare-" + organisation, OrganisationId{organisation});
    }
    // The cap leaves room for one of the largest gangs, so that the workload often reaches it.
    const int cap = std::max(guaranteedAccelerators, maxAcceleratorsPerTask * options.maxTasks);
    configuration.organisations.at({"tailors"}).cap.accelerators = cap;
    for (auto queue : sampleQueues()) {
        queue.timeout = Duration{3'000};
        configuration.queues.emplace(queue.id, queue);
    }
    configuration.maxBodyBytes = std::size_t{256} * 1024;
    return configuration;
}

std::string zoneName(int number)
{
    return number % 2 == 0 ? "a" : "b";
}

absl::Status startTargets(SoakWorld &world)
{
    for (int number = 0; number < world.options.targets; ++number) {
        TargetRegistration registration;
        registration.instance = {{absl::StrCat("t", number + 1)}, EventLoop::wallNow().time_since_epoch().count()};
        registration.service = {"press"};
        registration.rack = {absl::StrCat("r", number / targetsPerRack + 1)};
        registration.availabilityZone = {zoneName(number / targetsPerRack)};
        registration.labels = {"kind", registration.rack.value};
        if (number % 2 == 0) {
            registration.labels.push_back(halfLabel);
        }
        registration.capacity = {32'000, 131'072, 8};
        const auto port = startTarget(world.targets, registration);
        if (!port.ok()) {
            return port.status();
        }
        auto &target = world.targetStates[registration.instance.target];
        target.link = std::make_unique<Proxy>(world.loop, absl::StrCat("127.0.0.1:", *port));
        if (auto status = target.link->listen(); !status.ok()) {
            return status;
        }
        writeRegistration(world, registration.instance.target);
        // The targets write at different times, so that a watch of the registrations is never silent for long.
        target.nextHeartbeatAt = EventLoop::now() + heartbeatPeriod * number / world.options.targets;
    }
    return absl::OkStatus();
}

/// A loopback address that depends on the process id, so that parallel runs on one machine do not collide.
std::string hostIp(int number)
{
    const int run = static_cast<int>(getpid());
    return absl::StrCat("127.", 1 + run / 250 % 250, ".", run % 250, ".", number + 1);
}

absl::Status startHosts(SoakWorld &world)
{
    world.hosts.resize(static_cast<std::size_t>(world.options.hosts));
    for (int number = 0; number < world.options.hosts; ++number) {
        auto &host = world.hosts[static_cast<std::size_t>(number)];
        const auto door = openDoor(world.store);
        if (!door.ok()) {
            return door.status();
        }
        host.storeDoor = *door;
        host.storeLink = std::make_unique<Proxy>(world.loop, absl::StrCat("127.0.0.1:", portOfDoor(world.store, *door)));
        if (auto status = host.storeLink->listen(); !status.ok()) {
            return status;
        }
        host.place = {{absl::StrCat("h", number + 1)}, {zoneName(number)}, {{"a"}, {"b"}}, hostIp(number), host.storeLink->address(), world.options.folder};
        host.place.processorShare = world.options.hasUnequalHosts ? unequalShare(number) : 1;
        host.place.maxConnections = world.options.maxConnections;
        host.callerLink = std::make_unique<Proxy>(world.loop, callerAddress(host.place));
        if (world.options.hasUnequalLinks && !isStrongHost(number)) {
            host.storeLink->setRate(weakLinkBytesPerSecond);
            host.callerLink->setRate(weakLinkBytesPerSecond);
        }
        if (auto status = host.callerLink->listen(); !status.ok()) {
            return status;
        }
        if (auto status = writeSettings(host.place, 0); !status.ok()) {
            return status;
        }
        startProcess(world, host);
    }
    return absl::OkStatus();
}

void writeHeartbeats(SoakWorld &world)
{
    const auto now = EventLoop::now();
    if (world.store.faults.isSilent || world.store.faults.isBusy) {
        return;
    }
    for (auto &[id, target] : world.targetStates) {
        if (!target.cutSince && now >= target.nextHeartbeatAt) {
            target.nextHeartbeatAt = now + heartbeatPeriod;
            writeRegistration(world, id);
        } else if (target.cutSince && target.isRegistered && now - *target.cutSince > registrationTimeout) {
            target.isRegistered = false;
            removeItem(world.store, registrationItemName(id));
        }
    }
}

void recordProcessEnd(SoakWorld &world, SoakHost &host, const ProcessEnd &end)
{
    const auto now = EventLoop::now();
    if (host.step == ProcessStep::Stopping) {
        auto &stop =
            *std::ranges::find_if(world.history.plannedStops, [&](const PlannedStop &planned) { return planned.host == host.place.id && !planned.endedAt; });
        stop.endedAt = now;
        stop.exitStatus = end.exitStatus;
    } else if (host.step != ProcessStep::Killed) {
        world.history.unexpectedExits.push_back({host.place.id, now, end.exitStatus});
    }
    // A starting host counts as disturbed until it is up.
    world.history.disturbances.push_back({host.place.id, now, now + restartDelay});
    host.step = ProcessStep::Down;
    runAt(world, now + restartDelay, [&world, &host] {
        if (host.step == ProcessStep::Down && !host.isRestartBlocked) {
            startProcess(world, host);
        }
    });
}

void checkProcesses(SoakWorld &world)
{
    for (auto &host : world.hosts) {
        if (host.step == ProcessStep::Down) {
            continue;
        }
        if (const auto end = endOf(host.process)) {
            recordProcessEnd(world, host, *end);
        } else if (host.step == ProcessStep::Stopping && EventLoop::now() - host.stopSentAt > host.place.gracePeriod + gracePeriodMargin) {
            sendSignal(host, SIGKILL);
        }
    }
}

void noteCutRequests(SoakWorld &world)
{
    for (const auto &host : world.hosts) {
        for (const auto &cut : host.callerLink->takeCuts()) {
            world.history.cutRequests.push_back({host.place.id, cut.request, cut.deliveredAt, cut.cutAt, cut.wasRead});
        }
    }
}

void noteGap(SoakWorld &world)
{
    const auto now = EventLoop::now();
    const auto former = std::exchange(world.checkedAt, now);
    if (former != TimePoint{} && now - former >= leastGap) {
        world.history.observerGaps.push_back({former, now});
    }
}

void runDueActions(SoakWorld &world)
{
    while (!world.timeline.empty() && world.timeline.begin()->first <= EventLoop::now()) {
        const auto action = world.timeline.extract(world.timeline.begin());
        action.mapped()();
    }
}

}

SoakWorld::SoakWorld(const SoakOptions &soakOptions)
    : options(soakOptions)
    , random(soakOptions.seed)
    , demandRandom(soakOptions.seed)
    , store(loop, soakOptions.seed)
    , targets(loop, soakOptions.seed)
    , http(loop)
    , configuration(initialConfiguration(soakOptions))
{
    for (const auto &[id, share] : configuration.organisations) {
        setCap(targets.fleet, id, share.cap, TimePoint{});
    }
}

absl::Status startWorld(SoakWorld &world)
{
    if (auto status = startStore(world.store); !status.ok()) {
        return status;
    }
    writeConfiguration(world);
    if (auto status = startTargets(world); !status.ok()) {
        return status;
    }
    return startHosts(world);
}

void tick(SoakWorld &world)
{
    noteGap(world);
    tick(world.store);
    tick(world.targets);
    noteCutRequests(world);
    writeHeartbeats(world);
    checkProcesses(world);
    enforceQuotas(world);
    runDueActions(world);
}

void endHosts(SoakWorld &world)
{
    for (auto &host : world.hosts) {
        if (host.step != ProcessStep::Down) {
            sendSignal(host, SIGKILL);
            waitpid(host.process, nullptr, 0);
            host.step = ProcessStep::Down;
        }
    }
}

void startProcess(SoakWorld &world, SoakHost &host)
{
    const auto process = startHost(world.options.program, host.place);
    if (!process.ok()) {
        std::cerr << process.status().message() << '\n';
        return;
    }
    host.process = *process;
    host.startedAt = EventLoop::now();
    host.step = ProcessStep::Up;
}

void sendSignal(SoakHost &host, int signal)
{
    if (host.step != ProcessStep::Down) {
        kill(host.process, signal);
    }
}

void writeConfiguration(SoakWorld &world)
{
    // Versions increase in irregular steps.
    world.configuration.version += drawNumber(world, 1, 3);
    putItem(world.store, configurationItemName(), configurationText(world.configuration));
}

void writeRegistration(SoakWorld &world, const TargetId &target)
{
    auto &state = world.targetStates.at(target);
    auto registration = world.targets.fleet.targets.at(target).registration;
    registration.address = state.link->address();
    registration.isDraining = state.isDraining;
    state.isRegistered = true;
    putItem(world.store, registrationItemName(target), registrationText(registration, ++world.heartbeats));
}

SoakHost *findOwner(SoakWorld &world)
{
    const auto row = world.store.model.rows.find(platformKey(domainOwnerKey()));
    if (row == world.store.model.rows.end()) {
        return nullptr;
    }
    const auto record = readPlatformRecord(domainOwnerKey(), row->second.value);
    const auto *owner = record.ok() ? std::get_if<DomainOwner>(&*record) : nullptr;
    const auto host = std::ranges::find_if(world.hosts, [&](const SoakHost &present) { return owner != nullptr && present.place.id == owner->host; });
    return host == world.hosts.end() ? nullptr : &*host;
}

int drawNumber(SoakWorld &world, int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(world.random);
}

void runAt(SoakWorld &world, TimePoint time, std::function<void()> action)
{
    world.timeline.emplace(time, std::move(action));
}

}
