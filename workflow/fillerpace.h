#pragma once

#include "core/time.h"

#include <optional>

namespace sequoiastand
{

/// At which share tasks that fill may work on a target beside tasks that serve users of their own.
struct FillerPace
{
    int percent = 50;                  ///< Fillers begin in the middle: they may harm at once, and what they do on this target is not known.
    int ceiling = 100;                 ///< Highest share allowed until the last harm has been forgotten.
    TimePoint changedAt;               ///< Or when the pace began.
    std::optional<TimePoint> slowedAt; ///< When a serving task was last over its target.

    friend bool operator==(const FillerPace &, const FillerPace &) = default;
};

/// The pace after a report: `load` is the largest tail of response times on the target as a share of what its task may have. Falls to two fifths, then to zero, while a
/// task is over its target, so that no task stays over it for `harmBound`; rises step by step while all have room.
FillerPace nextPace(FillerPace pace, double load, Duration harmBound, TimePoint now);

}
