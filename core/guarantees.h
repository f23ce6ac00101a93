#pragma once

#include "cells.h"

#include <absl/status/status.h>

#include <vector>

namespace sequoiastand
{

/// Guarantees that cannot all be formed together at this instant from free capacity, preemptible work and their owners' own work.
/// Empty means that the guarantee rule holds.
std::vector<GuaranteeShortfall> checkGuarantees(const ClusterView &view);

/// Jobs that the plan places where the guarantee rule breaks: they cannot be preempted and would stand in another organisation's cell.
std::vector<JobId> placementsBreakingGuarantees(const ClusterView &view, const Plan &plan);

/// Accepts a configuration only if the shapes of every availability zone fit together on the zone's targets, whatever their present health.
/// The error names the first shape that does not fit.
absl::Status validateGuarantees(const Configuration &configuration, const Table<TargetId, Target> &targets);

}
