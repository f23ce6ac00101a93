#pragma once

#include "core/clusterview.h"

namespace sequoiastand
{

/// Baseline policy FIFO: places jobs in order of arrival on the first targets where they fit, and stops at the first job that does not fit.
Plan planFifoFirstFit(const ClusterView &view);

/// Baseline policy backfill: as FIFO, but a job after the first one that does not fit also starts if its declared run time shows that it does not delay
/// that job.
Plan planFifoBackfill(const ClusterView &view);

}
