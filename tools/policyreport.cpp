#include "policyreport.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <numeric>
#include <vector>

namespace sequoiastand
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Quantiles quantilesOf(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::ranges::sort(values);
    const auto quantile = [&values](double share) { return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]; };
    return {static_cast<int>(values.size()),
            std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size()),
            quantile(0.5),
            quantile(0.99)};
}

template<typename Predicate>
Quantiles completionTimes(const PolicyWorld &world, const Predicate &isWanted)
{
    std::vector<double> values;
    for (const auto &outcome : world.outcomes) {
        if (outcome.finished >= Duration{0} && !outcome.isReclaimProbe && isWanted(outcome)) {
            values.push_back(seconds(outcome.finished - outcome.submitted));
        }
    }
    return quantilesOf(std::move(values));
}

template<typename Predicate>
Quantiles startDelays(const PolicyWorld &world, const Predicate &isWanted)
{
    std::vector<double> values;
    for (const auto &outcome : world.outcomes) {
        if (isWanted(outcome) && outcome.firstStart >= Duration{0}) {
            values.push_back(seconds(outcome.firstStart - outcome.submitted));
        }
    }
    return quantilesOf(std::move(values));
}

}

PolicyFigures figuresOf(const PolicyWorld &world)
{
    const auto ofClass = [&world](JobClass jobClass) {
        return completionTimes(world, [jobClass](const JobOutcome &outcome) { return outcome.jobClass == jobClass; });
    };
    PolicyFigures figures;
    figures.all = completionTimes(world, [](const JobOutcome &) { return true; });
    figures.urgent = ofClass(JobClass::Urgent);
    figures.ordinary = ofClass(JobClass::Ordinary);
    figures.patient = ofClass(JobClass::Patient);
    figures.urgentStart = startDelays(world, [](const JobOutcome &outcome) { return outcome.jobClass == JobClass::Urgent; });
    figures.reclaim = startDelays(world, [](const JobOutcome &outcome) { return outcome.isReclaimProbe; });
    figures.unfinished = world.openJobs;
    for (const auto &outcome : world.outcomes) {
        if (outcome.finished >= Duration{0} && !outcome.isReclaimProbe) {
            figures.meanRunTime += seconds(outcome.trueRunTime) / figures.all.count;
        }
    }
    for (const auto &outcome : world.outcomes) {
        figures.failed += outcome.hasFailed ? 1 : 0;
        figures.refused += outcome.isRefused ? 1 : 0;
    }
    const auto &totals = world.totals;
    figures.fragmentation = totals.fragmentationSamples > 0 ? totals.fragmentationSum / totals.fragmentationSamples : 0;
    figures.zoneChangeDemandShare = totals.zoneChangeDemandHours > 0 ? totals.zoneChangeUsefulHours / totals.zoneChangeDemandHours : 0;
    figures.zoneChangeShare = totals.zoneChangeCapacityHours > 0 ? totals.zoneChangeUsefulHours / totals.zoneChangeCapacityHours : 0;
    figures.totals = totals;
    return figures;
}

std::string headerLine()
{
    return absl::StrFormat(
        "%-24s %-8s %8s %8s %8s %8s | %8s %8s %8s | %8s %8s %8s | %8s %8s %8s | %9s %8s %8s | %5s %9s %7s %5s %6s | %4s %4s %4s | %6s %6s %6s %s",
        "case",
        "policy",
        "all mean",
        "run mean",
        "p50",
        "p99",
        "urg mean",
        "p50",
        "p99",
        "ord mean",
        "p50",
        "p99",
        "pat mean",
        "p50",
        "p99",
        "urg start",
        "rec mean",
        "rec p99",
        "frag",
        "useful h",
        "lost h",
        "zone",
        "wanted",
        "open",
        "fail",
        "ref",
        "preem",
        "moves",
        "breaks",
        "(short)/checks");
}

std::string figuresLine(const std::string &policyCase, const std::string &policy, const PolicyFigures &figures)
{
    const auto &totals = figures.totals;
    const auto triple = [](const Quantiles &value) { return absl::StrFormat("%8.0f %8.0f %8.0f", value.mean, value.p50, value.p99); };
    const auto classes = absl::StrFormat("%-24s %-8s %8.0f %8.0f %8.0f %8.0f | %s | %s | %s",
                                         policyCase,
                                         policy,
                                         figures.all.mean,
                                         figures.meanRunTime,
                                         figures.all.p50,
                                         figures.all.p99,
                                         triple(figures.urgent),
                                         triple(figures.ordinary),
                                         triple(figures.patient));
    return absl::StrFormat("%s | %9.2f %8.1f %8.1f | %5.2f %9.1f %7.1f %5.2f %6.2f | %4d %4d %4d | %6d %6d %6d (%d)/%d",
                           classes,
                           figures.urgentStart.p99,
                           figures.reclaim.mean,
                           figures.reclaim.p99,
                           figures.fragmentation,
                           totals.usefulHours,
                           totals.lostHours,
                           figures.zoneChangeShare,
                           figures.zoneChangeDemandShare,
                           figures.unfinished,
                           figures.failed,
                           figures.refused,
                           totals.preemptions,
                           totals.moves,
                           totals.guaranteeViolations,
                           totals.shortfallSteps,
                           totals.guaranteeChecks);
}

}
