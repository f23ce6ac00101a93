#pragma once

#include "workflowboard.h"

#include <vector>

namespace sequoiastand
{

/// The initial board of a host.
WorkflowBoard makeWorkflowBoard(const DomainSettings &settings, TimePoint now, WallTime wallNow);

/// Runs the controllers once on the events and on due timers. Messages to send are left in the outbox.
void step(WorkflowBoard &board, std::vector<WorkflowEvent> events, TimePoint now, WallTime wallNow);

/// True if the host should get new connections: it has a confirmed configuration, reaches the store and is not stopping.
bool isReady(const WorkflowBoard &board);

/// True if the host could do the duties of the owner: it is ready, it has not failed at a duty lately, and its reads and watches of the store are answered.
bool isFitToOwn(const WorkflowBoard &board);

/// True once a stopping host has answered every caller and has released its ownership.
bool isIdle(const WorkflowBoard &board);

}
