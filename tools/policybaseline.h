#pragma once

#include "core/clusterview.h"

namespace sequoiastand
{

/// Baseline policy FIFO: places jobs in order of arrival on the first targets where they fit, and stops at the first job that does not fit.
Plan planFifoFirstFit(const ClusterView &view);

/// Baseline policy backfill: as FIFO, but if a job does not fit, later jobs may start before it, provided that their declared run times show that they do
/// not delay this job.
Plan planFifoBackfill(const ClusterView &view);

}
