#include "fillerpace.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// The report covers half a second, and a new pace acts after a tenth of one, so an earlier report says nothing about the present pace. Three such times, for two
// steps down and the report that follows, fit into the bound.
constexpr int settlingTimesPerBound = 5;

// Of a task's target; the figure is rough, so fillers do not go up to the very edge.
constexpr double roomBelow = 0.8;

// Percent that fillers rise at a time; from a standstill they are back at full speed after seven settling times.
constexpr int riseStep = 15;

// Percent below which fillers do too little to be worth the disturbance; they stand still instead.
constexpr int lowestPercent = 25;

// Of the present share, so that two steps lead from full speed to a standstill.
constexpr double fallFactor = 0.4;

// Disturbance changes within seconds, so a share that was too high is tried again after this time.
constexpr Duration ceilingLife{15'000};

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
    } else if (load < roomBelow) {
        const bool isRemembered = pace.slowedAt && now - *pace.slowedAt < ceilingLife;
        pace.percent = std::max(pace.percent, std::min(isRemembered ? pace.ceiling : 100, pace.percent + riseStep));
    }
    if (pace.percent != before) {
        pace.changedAt = now;
    }
    return pace;
}

}
