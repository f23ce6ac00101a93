#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Writes this host's configuration back to a store that returned with a lower version, for example from a backup.
void restoreConfiguration(Blackboard &board);

}
