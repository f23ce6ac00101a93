#pragma once

#include "workflowboard.h"

#include <vector>

namespace sequoiastand
{

/// A board on which nothing has happened yet.
WorkflowBoard makeWorkflowBoard(const DomainSettings &settings, TimePoint now, WallTime wallNow);

/// Lets the controllers react to the events and to what is due; messages to send are left in the outbox.
void step(WorkflowBoard &board, std::vector<WorkflowEvent> events, TimePoint now, WallTime wallNow);

/// True if the host may be given new connections: it knows the configuration, reaches the store and is not stopping.
bool isReady(const WorkflowBoard &board);

/// True once a stopping host has answered every caller and has given its ownership back.
bool isIdle(const WorkflowBoard &board);

}
