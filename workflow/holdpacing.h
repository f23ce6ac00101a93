#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// How an owner spreads its holds, so that asking a large fleet leaves it processor time for everything else.
struct HoldPace
{
    int maxConcurrentProbes = 0;      ///< Targets that have not answered lately and may be asked at the same time.
    Duration scanInterval{0};         ///< Between two looks at all targets for holds that are due.
    Duration answerPeriod{0};         ///< Between two answers of a target that is asked again at once, on the average.
    Duration idlePause{0};            ///< From an answer of a target without runs until it is asked again.
    bool keepsIdleConnections = true; ///< To targets without runs, between two holds.
    Duration contactAge{0};           ///< A target that has not answered for so long gets no new work.

    friend bool operator==(const HoldPace &, const HoldPace &) = default;
};

/// The pace for that many targets on a host with that share of a core.
HoldPace holdPace(std::size_t targets, double processorShare, const DomainLimits &limits);

/// The pace for the targets on the board.
HoldPace holdPace(const WorkflowBoard &board);

}
