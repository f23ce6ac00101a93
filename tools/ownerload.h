#pragma once

#include "workflow/workflowstep.h"

#include <cstddef>
#include <map>
#include <vector>

namespace sequoiastand
{

/// Size of the domain whose owner is benchmarked.
struct OwnerLoadSize
{
    int targets = 540;
    int runningTasks = 1'600;
    int waitingSteps = 0;

    friend bool operator==(const OwnerLoadSize &, const OwnerLoadSize &) = default;
};

/// The board of an owner that has loaded its domain, and the targets' side of its orders. Needs neither sockets nor a store: the store's answers that keep the
/// owner in office are given as if each call had succeeded at once.
struct OwnerLoad
{
    WorkflowBoard board;
    TimePoint now;
    WallTime wallNow;
    std::vector<TargetId> targets;
    std::map<TargetId, TargetLists> lists; ///< What each target lists as running and ended.
    std::map<TargetId, CallId> holds;      ///< The hold under way to each target.
    Revision revision = 1'000;
    std::size_t starts = 0; ///< Number of start orders sent.
};

/// An owner with the given load, after its first round of holds. Running tasks occupy one accelerator each and are spread evenly; waiting steps are gangs of four
/// tasks of eight accelerators, which find no room on a full fleet.
OwnerLoad makeOwnerLoad(const OwnerLoadSize &size);

/// Runs one step with the events, and answers the store calls and starts that it sends in the next step.
void runStep(OwnerLoad &load, std::vector<WorkflowEvent> events);

/// The target answers its hold with its present lists.
WorkflowEvent holdAnswer(OwnerLoad &load, const TargetId &target);

/// Ends the oldest run on the target, and answers its hold.
WorkflowEvent endOldestRun(OwnerLoad &load, const TargetId &target);

/// Ends all runs of the workflow that was submitted under the number.
void endWorkflowOf(OwnerLoad &load, int number);

/// Submits a workflow of one step, as the owner's watch reports it.
WorkflowEvent submission(OwnerLoad &load, int number, const StepSpecification &step, int priority);

}
