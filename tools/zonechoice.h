#pragma once

#include <string>

namespace sequoiastand
{

/// How an accepting host chooses the zone of a job from reports that are 1 s old.
enum class ZoneChoice
{
    Random,
    LeastLoaded,
    BestOfTwo,
};

const char *name(ZoneChoice choice);

struct ZoneChoiceFigures
{
    double startP50 = 0; ///< Seconds until a job starts.
    double startP99 = 0;
    double worstOvershoot = 0; ///< Most jobs that one zone received while a report was valid, as a multiple of its fair share.
    double meanImbalance = 0;  ///< Mean over time of the fullest zone's used share minus the emptiest zone's.

    friend bool operator==(const ZoneChoiceFigures &, const ZoneChoiceFigures &) = default;
};

/// Many accepting hosts send short jobs to zones of the target size. All see the same reports, renewed once a second, and none knows what
/// the others sent since, so their number does not matter beyond one.
ZoneChoiceFigures measureZoneChoice(ZoneChoice choice, double load, unsigned seed);

}
