#pragma once

#include "configuration.h"
#include "event.h"
#include "refusal.h"
#include "table.h"
#include "target.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// Returns the configuration with the edits applied, and with the same version.
Configuration withEdits(Configuration configuration, const std::vector<ConfigurationEdit> &edits);

/// Returns a refusal if the edits cannot be accepted: an unknown reference, a size that is not positive, a removed item that others refer to, or
/// guaranteed shapes that do not fit together on the zone's targets.
std::optional<Refusal> validateEdits(const Configuration &configuration, const std::vector<ConfigurationEdit> &edits, const Table<TargetId, Target> &targets);

}
