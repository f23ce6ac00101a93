#pragma once

#include "core/workflow.h"

#include <random>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Label that half of the targets of the soak have.
extern const std::string halfLabel;

/// The step with one or two demands on its targets: a required label, one rack, a rack of its data, or a limit of tasks on one target. The limit is at
/// least `leastPerTarget`. Steps that prefer a rack get an estimate of several seconds, because the wait for the rack grows with it.
StepSpecification withDemands(StepSpecification step, const std::vector<RackId> &racks, int leastPerTarget, std::mt19937 &random);

}
