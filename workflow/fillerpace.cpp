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

constexpr int step = 15;   // Percent.
constexpr int lowest = 25; // Percent; below it fillers do too little to be worth the disturbance.
constexpr double fall = 0.4;

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
        pace.ceiling = std::max(lowest, pace.percent - step);
        pace.percent = pace.percent > lowest ? std::max(lowest, static_cast<int>(pace.percent * fall)) : 0;
        pace.slowedAt = now;
    } else if (load < roomBelow) {
        const bool isRemembered = pace.slowedAt && now - *pace.slowedAt < ceilingLife;
        pace.percent = std::max(pace.percent, std::min(isRemembered ? pace.ceiling : 100, pace.percent + step));
    }
    if (pace.percent != before) {
        pace.changedAt = now;
    }
    return pace;
}

}
