#include "faultplan.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::array<std::pair<FaultKind, std::string_view>, 40> names{{
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
}};

// Range of the time between the starts of two faults. Faults last up to eight seconds, so several overlap.
constexpr int minGapMs = 200;
constexpr int maxGapMs = 2'200;
constexpr int minLengthMs = 300;
constexpr int maxLengthMs = 8'000;

// Range of the magnitudes of delays and of shares in percent.
constexpr int minFigure = 10;
constexpr int maxFigure = 60;

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

std::vector<PlannedFault> makeFaultPlan(unsigned seed, Duration length, const std::vector<FaultKind> &kinds)
{
    std::mt19937 random(seed);
    const auto draw = [&random](int least, int most) { return least + static_cast<int>(random() % static_cast<unsigned>(most - least + 1)); };
    std::vector<PlannedFault> plan;
    for (Duration at{draw(0, maxGapMs)}; at < length; at += Duration{draw(minGapMs, maxGapMs)}) {
        PlannedFault fault;
        fault.kind = kinds.at(static_cast<std::size_t>(draw(0, static_cast<int>(kinds.size()) - 1)));
        fault.at = at;
        fault.length = std::min(Duration{draw(minLengthMs, maxLengthMs)}, length - at);
        fault.subject = draw(0, 1'000);
        fault.figure = draw(minFigure, maxFigure);
        plan.push_back(fault);
    }
    return plan;
}

}
