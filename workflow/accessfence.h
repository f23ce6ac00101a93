#pragma once

#include "workflowboard.h"

#include <optional>

namespace sequoiastand
{

/// The condition that fails once the owner knows of a configuration that withdraws keys and that this host does not know. No value if this host knows no fence.
std::optional<StoreCondition> accessFenceCondition(const WorkflowBoard &board);

/// True if the owner has fenced a configuration that this host has not received yet.
bool isFencedOut(const WorkflowBoard &board);

}
