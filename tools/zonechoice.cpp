#include "zonechoice.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace sequoiastand
{

namespace
{

constexpr int zoneCount = 11;
constexpr int acceleratorsPerZone = 512;
constexpr double meanRunSeconds = 20;
constexpr double reportPeriodSeconds = 1;
constexpr double horizonSeconds = 600;
/// Number of jobs that a caller sends at a time.
constexpr int burstJobs = 8;

struct Zone
{
    std::priority_queue<double, std::vector<double>, std::greater<>> ends;
    std::deque<double> waiting;
    int reportedFree = acceleratorsPerZone;
    int receivedSinceReport = 0;

    int free() const
    {
        return acceleratorsPerZone - static_cast<int>(ends.size());
    }
};

std::size_t chooseZone(ZoneChoice choice, const std::vector<Zone> &zones, std::mt19937 &random)
{
    const auto draw = [&] { return std::uniform_int_distribution<std::size_t>(0, zones.size() - 1)(random); };
    switch (choice) {
    case ZoneChoice::Random:
        return draw();
    case ZoneChoice::LeastLoaded:
        return static_cast<std::size_t>(std::ranges::max_element(zones, {}, &Zone::reportedFree) - zones.begin());
    case ZoneChoice::BestOfTwo: {
        const auto first = draw();
        const auto second = draw();
        return zones[second].reportedFree > zones[first].reportedFree ? second : first;
    }
    }
    return 0;
}

struct Measurements
{
    std::vector<double> waits;
    double worstOvershoot = 0;
    double imbalanceSum = 0;
    int reports = 0;
};

/// Ends jobs whose run time has passed and starts waiting jobs in their place.
void advance(Zone &zone, double now, std::mt19937 &random, Measurements &measurements)
{
    std::exponential_distribution<double> runTime(1 / meanRunSeconds);
    while (!zone.ends.empty() && zone.ends.top() <= now) {
        const double freedAt = zone.ends.top();
        zone.ends.pop();
        if (!zone.waiting.empty()) {
            measurements.waits.push_back(freedAt - zone.waiting.front());
            zone.waiting.pop_front();
            zone.ends.push(freedAt + runTime(random));
        }
    }
}

void report(std::vector<Zone> &zones, double jobsPerReport, Measurements &measurements)
{
    const double fairShare = jobsPerReport / zoneCount;
    for (auto &zone : zones) {
        measurements.worstOvershoot = std::max(measurements.worstOvershoot, zone.receivedSinceReport / fairShare);
        zone.receivedSinceReport = 0;
        zone.reportedFree = zone.free() - static_cast<int>(zone.waiting.size());
    }
    const auto [emptiest, fullest] = std::ranges::minmax(zones, {}, [](const Zone &zone) { return zone.ends.size(); });
    measurements.imbalanceSum += static_cast<double>(fullest.ends.size() - emptiest.ends.size()) / acceleratorsPerZone;
    ++measurements.reports;
}

}

const char *name(ZoneChoice choice)
{
    constexpr std::array names{"random", "least-loaded", "best-of-two"};
    return names[static_cast<std::size_t>(choice)];
}

ZoneChoiceFigures measureZoneChoice(ZoneChoice choice, double load, unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<Zone> zones(zoneCount);
    Measurements measurements;
    const double jobsPerSecond = load * zoneCount * acceleratorsPerZone / meanRunSeconds;
    std::exponential_distribution<double> gap(jobsPerSecond / burstJobs);
    std::exponential_distribution<double> runTime(1 / meanRunSeconds);
    double nextReport = 0;
    for (double now = gap(random); now < horizonSeconds; now += gap(random)) {
        for (; nextReport <= now; nextReport += reportPeriodSeconds) {
            std::ranges::for_each(zones, [&](Zone &zone) { advance(zone, nextReport, random, measurements); });
            report(zones, jobsPerSecond * reportPeriodSeconds, measurements);
        }
        for (int job = 0; job < burstJobs; ++job) {
            auto &zone = zones[chooseZone(choice, zones, random)];
            advance(zone, now, random, measurements);
            ++zone.receivedSinceReport;
            if (zone.free() > 0) {
                zone.ends.push(now + runTime(random));
                measurements.waits.push_back(0);
            } else {
                zone.waiting.push_back(now);
            }
        }
    }
    std::ranges::sort(measurements.waits);
    const auto quantile = [&measurements](double share) {
        return measurements.waits[static_cast<std::size_t>(share * static_cast<double>(measurements.waits.size() - 1))];
    };
    return {quantile(0.5), quantile(0.99), measurements.worstOvershoot, measurements.imbalanceSum / measurements.reports};
}

}
