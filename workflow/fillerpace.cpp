#include "fillerpace.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Number of settling times in the harm bound. A settling time is the time after a change of pace in which reports do not yet show the effect of the new pace: a
// report covers half a second, and a new pace takes effect after a tenth of a second. Three settling times, for two steps down and the following report, fit
// into the bound.
constexpr int settlingTimesPerBound = 5;

// Load below which fillers may speed up, relative to the latency target. It is below 1 because the reported load is inexact.
constexpr double maxLoadToRise = 0.8;

// Percentage points by which the pace rises at a time; from zero the pace is back at full speed after seven settling times.
constexpr int riseStep = 15;

// Pace in percent below which fillers are paused, because they would do too little work to be worth the disturbance.
constexpr int lowestPercent = 25;

// Factor by which the pace falls; two steps lead from full speed to zero.
constexpr double fallFactor = 0.4;

// Time after which fillers may again use a share that was too high, because how much they disturb serving tasks changes within seconds.
constexpr Duration ceilingRetention{15'000};

}

FillerPace nextPace(FillerPace pace, double load, Duration harmBound, TimePoint now)
{
    if (now - pace.changedAt < harmBound / settlingTimesPerBound) {
        return pace;
    }
    const int before = pace.percent;
    if (load >= 1) {
        pace.ceiling = std::max(lowestPercent, pace.percent - riseStep);
        const int lowered = static_cast<int>(pace.percent * fallFactor);
        pace.percent = lowered < lowestPercent ? 0 : lowered;
        pace.slowedAt = now;
    } else if (load < maxLoadToRise) {
        const bool hasCeiling = pace.slowedAt && now - *pace.slowedAt < ceilingRetention;
        pace.percent = std::max(pace.percent, std::min(hasCeiling ? pace.ceiling : 100, pace.percent + riseStep));
    }
    if (pace.percent != before) {
        pace.changedAt = now;
    }
    return pace;
}

}
