#include "hostsignals.h"

#include <algorithm>
#include <csignal>

namespace sequoiastand
{

namespace
{

// Upper bound from the start of a process until it handles signals, which takes a few milliseconds on an idle machine.
constexpr Duration signalHandlerDelay{1'000};

// Time between the stops of two hosts that are stopped in turn.
constexpr Duration stopInterval{1'500};

// Range of the time between two signals of a series.
constexpr int minSignalGapMs = 100;
constexpr int maxSignalGapMs = 600;

bool handlesSignals(const SoakHost &host)
{
    const bool isRunning = host.step == ProcessStep::Up || host.step == ProcessStep::Stopping;
    return isRunning && EventLoop::now() - host.startedAt >= signalHandlerDelay;
}

bool isHalfUp(const SoakWorld &world)
{
    const auto up = std::ranges::count_if(world.hosts, [](const SoakHost &host) { return host.step == ProcessStep::Up && handlesSignals(host); });
    return 2 * up > std::ssize(world.hosts);
}

/// Sends one or several signals to a host, or changes the configuration.
void sendNextSignals(SoakWorld &world)
{
    auto &host = world.hosts[static_cast<std::size_t>(drawNumber(world, 0, static_cast<int>(world.hosts.size()) - 1))];
    const int action = drawNumber(world, 0, 4);
    if (action == 0) {
        writeConfiguration(world);
    } else if (handlesSignals(host) && host.step == ProcessStep::Stopping) {
        sendSignal(host, action % 2 == 0 ? SIGTERM : SIGHUP);
    } else if (handlesSignals(host)) {
        if (action <= 2) {
            reload(world, host);
        }
        if (action >= 2 && isHalfUp(world)) {
            stop(world, host);
        }
    }
}

}

void stop(SoakWorld &world, SoakHost &host)
{
    // SIGTERM would kill a process that has not installed its handler yet, so young processes are left alone.
    if (host.step != ProcessStep::Up || EventLoop::now() - host.startedAt < signalHandlerDelay) {
        return;
    }
    host.step = ProcessStep::Stopping;
    host.stopSentAt = EventLoop::now();
    world.history.plannedStops.push_back({host.place.id, host.stopSentAt, std::nullopt, 0});
    sendSignal(host, SIGTERM);
}

Effect stopInTurn(SoakWorld &world)
{
    TimePoint when = EventLoop::now();
    for (auto &host : world.hosts) {
        runAt(world, when, [&world, &host] { stop(world, host); });
        when += stopInterval;
    }
    return momentaryEffect({}, false);
}

Effect reload(SoakWorld &world, SoakHost &host)
{
    const auto status = writeSettings(host.place, ++world.settingsRevision);
    if (status.ok() && host.step == ProcessStep::Up) {
        sendSignal(host, SIGHUP);
    }
    return momentaryEffect(host.place.id, false);
}

Effect sendOverlappingSignals(SoakWorld &world, const PlannedFault &fault)
{
    const auto begin = EventLoop::now();
    for (Duration at{0}; at < fault.length; at += Duration{drawNumber(world, minSignalGapMs, maxSignalGapMs)}) {
        runAt(world, begin + at, [&world] { sendNextSignals(world); });
    }
    return momentaryEffect({}, false);
}

}
