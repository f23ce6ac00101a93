#pragma once

#include "core/time.h"

#include <optional>

namespace sequoiastand
{

/// The share of full speed at which fillers may run on a target beside serving tasks.
struct FillerPace
{
    int percent = 50;                  ///< Fillers begin at half speed, because they may do harm at once and their effect on this target is unknown.
    int ceiling = 100;                 ///< Highest share that is allowed for a while after fillers have last done harm.
    TimePoint changedAt;               ///< When the share last changed, or when the pace was created.
    std::optional<TimePoint> slowedAt; ///< When a serving task was last above its latency target.

    friend bool operator==(const FillerPace &, const FillerPace &) = default;
};

/// The pace after a report. `load` is the largest tail of response times on the target, relative to the latency target of its task. While a task is above its
/// latency target, the pace falls to two fifths and then to zero, so that no task stays above it for `harmBound`. While all are well below, the pace rises step
/// by step.
FillerPace nextPace(FillerPace pace, double load, Duration harmBound, TimePoint now);

}
