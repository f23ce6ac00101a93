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

/// The configuration that the edits lead to; the version stays.
Configuration withEdits(Configuration configuration, const std::vector<ConfigurationEdit> &edits);

/// Says why the edits cannot be accepted: an unknown reference, a size that is not positive, a removed item that others refer to, or guaranteed
/// shapes that do not fit the zone's targets together.
std::optional<Refusal> validateEdits(const Configuration &configuration, const std::vector<ConfigurationEdit> &edits, const Table<TargetId, Target> &targets);

}
