#pragma once

#include "core/clusterview.h"

namespace sequoiastand
{

/// Baseline policy FIFO: places jobs in order of arrival on the first targets where they fit, and stops at the first job that does not fit.
Plan planFifoFirstFit(const ClusterView &view);

/// Baseline policy backfill: as FIFO, but jobs behind the first one that does not fit also start if their declared run times show that they do not delay
/// the first one.
Plan planFifoBackfill(const ClusterView &view);

}
