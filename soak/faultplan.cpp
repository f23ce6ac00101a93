#include "faultplan.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <random>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::array<std::pair<FaultKind, std::string_view>, 53> names{{
    {FaultKind::KillHost, "killHost"},
    {FaultKind::KillOwner, "killOwner"},
    {FaultKind::KillAllHosts, "killAllHosts"},
    {FaultKind::PauseHost, "pauseHost"},
    {FaultKind::PauseOwner, "pauseOwner"},
    {FaultKind::StopHost, "stopHost"},
    {FaultKind::StopAllInTurn, "stopAllInTurn"},
    {FaultKind::ReloadHost, "reloadHost"},
    {FaultKind::DelayStoreLink, "delayStoreLink"},
    {FaultKind::ResetStoreLink, "resetStoreLink"},
    {FaultKind::CutStoreLink, "cutStoreLink"},
    {FaultKind::CutStoreAnswers, "cutStoreAnswers"},
    {FaultKind::SilenceStoreLink, "silenceStoreLink"},
    {FaultKind::CutStoreCalls, "cutStoreCalls"},
    {FaultKind::ResetCallers, "resetCallers"},
    {FaultKind::DelayCallers, "delayCallers"},
    {FaultKind::ResetTargetLinks, "resetTargetLinks"},
    {FaultKind::SilenceTargetLinks, "silenceTargetLinks"},
    {FaultKind::CutTarget, "cutTarget"},
    {FaultKind::CutTargetAnswers, "cutTargetAnswers"},
    {FaultKind::DelayTarget, "delayTarget"},
    {FaultKind::SilenceStore, "silenceStore"},
    {FaultKind::BusyStore, "busyStore"},
    {FaultKind::SlowStore, "slowStore"},
    {FaultKind::LostStoreAnswers, "lostStoreAnswers"},
    {FaultKind::LateStoreWrites, "lateStoreWrites"},
    {FaultKind::ForgetHistory, "forgetHistory"},
    {FaultKind::DeafWatches, "deafWatches"},
    {FaultKind::CrashTarget, "crashTarget"},
    {FaultKind::FailingTarget, "failingTarget"},
    {FaultKind::StuckTarget, "stuckTarget"},
    {FaultKind::SlowTarget, "slowTarget"},
    {FaultKind::LeavingTarget, "leavingTarget"},
    {FaultKind::LostOrderAnswers, "lostOrderAnswers"},
    {FaultKind::LateOrders, "lateOrders"},
    {FaultKind::ZoneOut, "zoneOut"},
    {FaultKind::RemoveKey, "removeKey"},
    {FaultKind::ChangeConfiguration, "changeConfiguration"},
    {FaultKind::CancelWave, "cancelWave"},
    {FaultKind::CallerBurst, "callerBurst"},
    {FaultKind::OrdersAcrossCrash, "ordersAcrossCrash"},
    {FaultKind::ForeignEntries, "foreignEntries"},
    {FaultKind::CancelUnanswered, "cancelUnanswered"},
    {FaultKind::LastingWork, "lastingWork"},
    {FaultKind::HalfCloseCallers, "halfCloseCallers"},
    {FaultKind::ManyEnds, "manyEnds"},
    {FaultKind::RefuseOwnerWrites, "refuseOwnerWrites"},
    {FaultKind::TurnHostsAway, "turnHostsAway"},
    {FaultKind::StallStore, "stallStore"},
    {FaultKind::LapsedStore, "lapsedStore"},
    {FaultKind::SilenceAllLinks, "silenceAllLinks"},
    {FaultKind::ConfigurationSeries, "configurationSeries"},
    {FaultKind::OverlappingSignals, "overlappingSignals"},
}};

// Range of the time between the starts of two faults. Faults last up to eight seconds, so several overlap.
constexpr int minGapMs = 200;
constexpr int maxGapMs = 2'200;
constexpr int minLengthMs = 300;
constexpr int maxLengthMs = 8'000;

// Range of the time between the starts of two faults of the kinds from `firstSeparateKind` on.
constexpr int minSeparateGapMs = 2'000;
constexpr int maxSeparateGapMs = 9'000;

// Each kind from this one on is drawn from a generator of its own, so that adding kinds leaves the other faults of the recorded seeds as they are.
constexpr FaultKind firstSeparateKind = FaultKind::OrdersAcrossCrash;
constexpr unsigned separateSeedOffset = 0x9e3779b9;

// Range of the magnitudes of delays and of shares in percent.
constexpr int minFigure = 10;
constexpr int maxFigure = 60;

struct MillisecondRange
{
    int least = 0;
    int most = 0;
};

// Refusals of the owner's transactions last longer than a job may stand still beside faults of single hosts.
constexpr MillisecondRange refusalLengths{15'000, 25'000};

// Series of configurations or signals last longer than a caller waits for an answer.
constexpr MillisecondRange seriesLengths{4'000, 8'000};

MillisecondRange lengthsOf(FaultKind kind)
{
    switch (kind) {
    case FaultKind::RefuseOwnerWrites:
        return refusalLengths;
    case FaultKind::ConfigurationSeries:
    case FaultKind::OverlappingSignals:
        return seriesLengths;
    default:
        return {minLengthMs, maxLengthMs};
    }
}

std::vector<PlannedFault>
drawFaults(unsigned seed, Duration length, const std::vector<FaultKind> &kinds, MillisecondRange gaps, MillisecondRange lengths = {minLengthMs, maxLengthMs})
{
    std::mt19937 random(seed);
    const auto draw = [&random](int least, int most) { return least + static_cast<int>(random() % static_cast<unsigned>(most - least + 1)); };
    std::vector<PlannedFault> plan;
    if (kinds.empty()) {
        return plan;
    }
    for (Duration at{draw(0, gaps.most)}; at < length; at += Duration{draw(gaps.least, gaps.most)}) {
        PlannedFault fault;
        fault.kind = kinds.at(static_cast<std::size_t>(draw(0, static_cast<int>(kinds.size()) - 1)));
        fault.at = at;
        fault.length = std::min(Duration{draw(lengths.least, lengths.most)}, length - at);
        fault.subject = draw(0, 1'000);
        fault.figure = draw(minFigure, maxFigure);
        plan.push_back(fault);
    }
    return plan;
}

}

std::string_view name(FaultKind kind)
{
    return std::ranges::find(names, kind, &std::pair<FaultKind, std::string_view>::first)->second;
}

std::optional<FaultKind> faultKindFromName(std::string_view text)
{
    const auto found = std::ranges::find(names, text, &std::pair<FaultKind, std::string_view>::second);
    return found == names.end() ? std::nullopt : std::optional(found->first);
}

std::vector<FaultKind> allFaultKinds()
{
    std::vector<FaultKind> kinds;
    std::ranges::transform(names, std::back_inserter(kinds), &std::pair<FaultKind, std::string_view>::first);
    return kinds;
}

std::vector<FaultKind> defaultFaultKinds()
{
    auto kinds = allFaultKinds();
    std::erase(kinds, FaultKind::OrdersAcrossCrash);
    std::erase_if(kinds, [](FaultKind kind) { return kind >= FaultKind::RefuseOwnerWrites; });
    return kinds;
}

std::vector<PlannedFault> withCalmTimes(std::vector<PlannedFault> plan, Duration calm)
{
    constexpr Duration faultTime{6'000};
    if (calm == Duration{0}) {
        return plan;
    }
    const auto period = faultTime + calm;
    std::erase_if(plan, [&](const PlannedFault &fault) { return fault.at % period >= faultTime; });
    for (auto &fault : plan) {
        fault.length = std::min(fault.length, faultTime + calm / 2 - fault.at % period);
    }
    return plan;
}

std::vector<PlannedFault> withCount(std::vector<PlannedFault> plan, int count)
{
    std::map<FaultKind, int> counts;
    std::erase_if(plan, [&](const PlannedFault &fault) { return count > 0 && ++counts[fault.kind] > count; });
    return plan;
}

std::vector<PlannedFault> makeFaultPlan(unsigned seed, Duration length, const std::vector<FaultKind> &kinds)
{
    std::vector<FaultKind> jointKinds;
    std::ranges::copy_if(kinds, std::back_inserter(jointKinds), [](FaultKind kind) { return kind < firstSeparateKind; });
    auto plan = drawFaults(seed, length, jointKinds, {minGapMs, maxGapMs});
    for (const auto kind : kinds | std::views::filter([](FaultKind each) { return each >= firstSeparateKind; })) {
        const auto number = static_cast<unsigned>(kind) - static_cast<unsigned>(firstSeparateKind) + 1;
        std::ranges::copy(drawFaults(seed + number * separateSeedOffset, length, {kind}, {minSeparateGapMs, maxSeparateGapMs}, lengthsOf(kind)),
                          std::back_inserter(plan));
    }
    std::ranges::stable_sort(plan, {}, &PlannedFault::at);
    return plan;
}

}
