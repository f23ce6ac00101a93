#pragma once

#include "core/queueconfiguration.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Queues of three priorities of the service "press" at the host "press.example": urgent, ordinary and patient. The prefix is the name between slashes.
std::vector<Queue> sampleQueues();

}
