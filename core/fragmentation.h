#pragma once

#include "clusterview.h"

namespace sequoiastand
{

/// Share of the zone's free accelerators, from 0 to 1, that cannot serve the largest waiting or guaranteed shape; zero if nothing is free or wanted.
double fragmentation(const ClusterView &view);

}
