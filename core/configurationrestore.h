#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Restores this host's configuration in a store that holds a lower version, for example because the store was restored from a backup.
void restoreConfiguration(Blackboard &board);

}
