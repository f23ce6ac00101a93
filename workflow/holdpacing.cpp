#include "holdpacing.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// A hold costs the owner some 0.2 ms of a core with its answer, so this rate takes a tenth of its share.
constexpr double idleHoldsPerSecondAndCore = 500;

// An answer on a new connection takes some 0.5 ms of a core, so a host reads that many well within an order's timeout.
constexpr double looksPerCore = 480;

// Looking at a target whether its hold is due takes some 0.1 us; a step that did so for thousands at each answer would do little else.
constexpr std::chrono::microseconds scanPausePerTarget{10};

// Hosts are taken for no weaker than this, or they would hardly ask at all.
constexpr double weakestShare = 0.1;

// Targets close connections that rest for about two seconds, and libcurl looks at each resting connection once a second, from the first again after each that it
// finds closed; with thousands of them it does little else.
constexpr Duration longestRest{1'500};

// A target that has gone is still noticed, and a start there is only sent again elsewhere, before its registration has lapsed for long.
constexpr Duration longestIdlePause{6'000};

}

HoldPace holdPace(std::size_t targets, double processorShare, const DomainLimits &limits)
{
    const double share = std::max(processorShare, weakestShare);
    const double rate = idleHoldsPerSecondAndCore * share;
    const std::chrono::duration<double> period{static_cast<double>(targets) / rate};
    HoldPace pace;
    pace.scanInterval = std::chrono::duration_cast<Duration>(scanPausePerTarget * static_cast<int>(targets));
    // A hold waits three quarters of the longest time on the average.
    pace.answerPeriod = std::max(Duration{1}, limits.holdWait * 3 / 4);
    const auto pause = std::chrono::duration_cast<Duration>(period) - pace.answerPeriod;
    pace.maxConcurrentProbes = static_cast<int>(looksPerCore * share);
    pace.idlePause = std::clamp(pause, Duration{0}, longestIdlePause);
    pace.keepsIdleConnections = pace.idlePause <= longestRest;
    pace.contactAge = limits.contactAge + pace.idlePause;
    return pace;
}

HoldPace holdPace(const WorkflowBoard &board)
{
    return holdPace(board.targets.size(), board.self.processorShare, board.self.limits);
}

}
