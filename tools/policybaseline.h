#pragma once

#include "core/clusterview.h"

namespace sequoiastand
{

/// Strict order of arrival, each job on the first targets that hold it; the first job that does not fit stops the pass.
Plan planFifoFirstFit(const ClusterView &view);

/// Order of arrival; jobs behind the first one that does not fit start if by their declared times they do not delay it.
Plan planFifoBackfill(const ClusterView &view);

}
