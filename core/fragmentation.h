#pragma once

#include "clusterview.h"

namespace sequoiastand
{

/// Share of the zone's free accelerators, from 0 to 1, that cannot be used for the largest waiting job or guaranteed shape; zero if no accelerator is
/// free or none is requested.
double fragmentation(const ClusterView &view);

}
