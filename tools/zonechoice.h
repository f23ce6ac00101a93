#pragma once

#include <string>

namespace sequoiastand
{

/// Rule by which an accepting host chooses the zone of a job from reports that are up to 1 s old.
enum class ZoneChoice
{
    Random,
    LeastLoaded,
    BestOfTwo,
};

const char *name(ZoneChoice choice);

struct ZoneChoiceFigures
{
    double startP50 = 0; ///< Median time until a job starts, in seconds.
    double startP99 = 0;
    double worstOvershoot = 0; ///< Largest number of jobs that one zone received while a report was valid, as a multiple of its fair share.
    double meanImbalance = 0;  ///< Mean difference over time between the used shares of the fullest and the emptiest zone.

    friend bool operator==(const ZoneChoiceFigures &, const ZoneChoiceFigures &) = default;
};

/// Simulates accepting hosts that send short jobs to zones of the planned size. All hosts see the same reports, which are renewed once a second, and no host
/// knows which jobs the others have sent since the last report. The result therefore does not depend on the number of hosts.
ZoneChoiceFigures measureZoneChoice(ZoneChoice choice, double load, unsigned seed);

}
