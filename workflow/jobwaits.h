#pragma once

#include "workflowboard.h"

#include <optional>
#include <string>

namespace sequoiastand
{

/// Why a workflow that is due has nothing running.
struct JobWait
{
    std::string reason;
    bool isInPlacement = false; ///< Placement passes consider a step of the workflow, and their `waitStep` lines give the reason.

    friend bool operator==(const JobWait &, const JobWait &) = default;
};

/// Why the owner makes no placement pass now; empty if it may make one.
std::string placementBlock(const WorkflowBoard &board);

/// Why nothing of the workflow runs; empty if something runs, the workflow has ended, or none of its occurrences is due.
std::optional<JobWait> findJobWait(const WorkflowBoard &board, const RequestId &workflow);

/// When the workflow could first have run. Only a workflow of which nothing has run yet can tell.
std::optional<TimePoint> waitsSince(const WorkflowBoard &board, const WorkflowEntry &entry);

/// How long the oldest of the waiting workflows has had nothing running, as of the owner's last scan; zero if none waits.
Duration oldestJobWait(const WorkflowBoard &board);

}
