#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// Rates at which an owner sends holds, so that on a large fleet it has processor time left for everything else.
struct HoldPace
{
    int maxConcurrentProbes = 0;      ///< Limit on probes under way. A probe is a hold to a target that has not answered recently.
    Duration scanInterval{0};         ///< Time between two scans of all targets for due holds.
    Duration answerPeriod{0};         ///< Mean time between two answers of a target that gets its next hold as soon as it has answered the last one.
    Duration idlePause{0};            ///< Time from the answer of a target without runs until its next hold.
    bool keepsIdleConnections = true; ///< Connections to targets without runs are kept open between two holds.
    Duration contactAge{0};           ///< Time without an answer after which a target gets no new work.

    friend bool operator==(const HoldPace &, const HoldPace &) = default;
};

/// The pace for the number of targets on a host with the given share of a core.
HoldPace holdPace(std::size_t targets, double processorShare, const DomainLimits &limits);

/// The pace for the targets on the board.
HoldPace holdPace(const WorkflowBoard &board);

}
