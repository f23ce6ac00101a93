#include "holdpacing.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Holds per second and core for targets without runs. A hold and its answer cost the owner about 0.2 ms of a core, so holds at this rate take a tenth of its
// processor share.
constexpr double idleHoldsPerSecondAndCore = 500;

// Limit on probes under way per core. An answer on a new connection costs about 0.5 ms of a core, so a host can read this many answers well within the timeout
// of an order.
constexpr double probesPerCore = 480;

// Time per target between two scans of all targets. Checking whether the hold of a target is due takes about 0.1 us, so checking thousands of targets whenever
// an answer arrives would take up most of a step.
constexpr std::chrono::microseconds scanPausePerTarget{10};

// Lower bound for the processor share in these calculations, because otherwise a weak host would send hardly any holds.
constexpr double weakestShare = 0.1;

// Longest pause before the next hold for which a connection is kept open. Targets close connections that are idle for about two seconds. Once a second libcurl
// checks all idle connections, and it restarts the check at the first connection whenever it finds a closed one. With thousands of closed connections the check
// would use most of the processor time, so connections are not kept open for longer pauses.
constexpr Duration maxKeepAlivePause{1'500};

// Longest pause between two holds of a target without runs. It is short enough that a lost target is noticed soon after its registration has lapsed. A start
// that is sent to the lost target before then is merely repeated on another target.
constexpr Duration longestIdlePause{6'000};

}

HoldPace holdPace(std::size_t targets, double processorShare, const DomainLimits &limits)
{
    const double share = std::max(processorShare, weakestShare);
    const double rate = idleHoldsPerSecondAndCore * share;
    const std::chrono::duration<double> period{static_cast<double>(targets) / rate};
    HoldPace pace;
    pace.scanInterval = std::chrono::duration_cast<Duration>(scanPausePerTarget * static_cast<int>(targets));
    // The mean wait of a hold is three quarters of the longest wait.
    pace.answerPeriod = std::max(Duration{1}, limits.holdWait * 3 / 4);
    const auto pause = std::chrono::duration_cast<Duration>(period) - pace.answerPeriod;
    pace.maxConcurrentProbes = static_cast<int>(probesPerCore * share);
    pace.idlePause = std::clamp(pause, Duration{0}, longestIdlePause);
    pace.keepsIdleConnections = pace.idlePause <= maxKeepAlivePause;
    pace.contactAge = limits.contactAge + pace.idlePause;
    return pace;
}

HoldPace holdPace(const WorkflowBoard &board)
{
    return holdPace(board.targets.size(), board.self.processorShare, board.self.limits);
}

}
