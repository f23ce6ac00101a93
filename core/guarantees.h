#pragma once

#include "cells.h"

#include <absl/status/status.h>

#include <vector>

namespace sequoiastand
{

/// Guarantees that cannot be formed together at present from free capacity, work that can be preempted and work of the guarantee's organisation.
/// The result is empty if all guarantees can be formed.
std::vector<GuaranteeShortfall> checkGuarantees(const ClusterView &view);

/// Jobs of the plan that would break guarantees: they cannot be preempted, and the plan places them in another organisation's cell.
std::vector<JobId> placementsBreakingGuarantees(const ClusterView &view, const Plan &plan);

/// Returns an error unless the shapes of every availability zone fit together on the zone's targets, regardless of the health of the targets.
/// The error names the first shape that does not fit.
absl::Status validateGuarantees(const Configuration &configuration, const Table<TargetId, Target> &targets);

}
