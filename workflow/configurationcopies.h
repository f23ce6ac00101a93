#pragma once

#include "workflowboard.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Counts how often the configuration is received from each source, because each copy of a large one occupies the host's link and processor.
void countConfigurations(WorkflowBoard &board, const std::vector<StoreEntry> &entries, const std::string &source);

/// The copies received since the start by source, for the log, for example "2 copies by proof, 5 by watch".
std::string receivedCopies(const Counters &counters);

}
