#pragma once

#include "core/queueconfiguration.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// The queues "urgent", "ordinary" and "patient" of the service "press" at the host "press.example", one for each priority. The prefix of a queue is its
/// name between slashes.
std::vector<Queue> sampleQueues();

}
