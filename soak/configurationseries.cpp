#include "configurationseries.h"

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>

#include <iostream>

namespace sequoiastand
{

namespace
{

constexpr int furtherQueues = 1'400;
constexpr int versions = 7;
constexpr const char *furtherPrefix = "further-";

// Range of the time between two versions of a series, which are read and decoded by each host.
constexpr int minVersionGapMs = 100;
constexpr int maxVersionGapMs = 700;

// Time from a single change to the series, and from the series to the next single change.
constexpr Duration singleChangePause{1'000};

void changeSingleQueue(SoakWorld &world)
{
    auto &queue = world.configuration.queues.at({"patient"});
    queue.latencyTarget += Duration{1};
    writeConfiguration(world);
}

void writeLargeConfiguration(SoakWorld &world)
{
    const Duration latencyTarget{drawNumber(world, 1'000, 9'000)};
    for (int number = 0; number < furtherQueues; ++number) {
        auto queue = world.configuration.queues.at({"patient"});
        queue.id = {absl::StrFormat("%s%04d", furtherPrefix, number)};
        queue.prefix = absl::StrFormat("/%s/", queue.id.value);
        queue.latencyTarget = latencyTarget;
        world.configuration.queues.insert_or_assign(queue.id, queue);
    }
    writeConfiguration(world);
}

void withdrawFurtherQueues(SoakWorld &world)
{
    std::erase_if(world.configuration.queues, [](const auto &row) { return absl::StartsWith(row.first.value, furtherPrefix); });
    writeConfiguration(world);
}

}

Effect changeConfigurationInSeries(SoakWorld &world, const PlannedFault &fault)
{
    ++world.openSeries;
    changeSingleQueue(world);
    TimePoint when = EventLoop::now() + singleChangePause;
    for (int version = 0; version < versions; ++version) {
        runAt(world, when, [&world] { writeLargeConfiguration(world); });
        when += Duration{drawNumber(world, minVersionGapMs, maxVersionGapMs)};
    }
    runAt(world, when + singleChangePause, [&world] { changeSingleQueue(world); });
    return {{}, false, [&world, withdraws = fault.figure % 2 == 0] {
                if (--world.openSeries == 0 && withdraws) {
                    withdrawFurtherQueues(world);
                }
            }};
}

}
