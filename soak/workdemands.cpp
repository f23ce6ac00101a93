#include "workdemands.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

int draw(std::mt19937 &random, int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(random);
}

}

const std::string halfLabel = "large";

StepSpecification withDemands(StepSpecification step, const std::vector<RackId> &racks, int leastPerTarget, std::mt19937 &random)
{
    const bool hasLabel = draw(random, 0, 1) == 0;
    step.requiredLabel = hasLabel ? halfLabel : std::string{};
    switch (draw(random, hasLabel ? 0 : 1, 3)) {
    case 1:
        step.needsOneRack = step.isGang;
        step.estimate = Duration{draw(random, 1'000, 6'000)};
        break;
    case 2:
        step.dataRack = racks[static_cast<std::size_t>(draw(random, 0, static_cast<int>(racks.size()) - 1))];
        step.estimate = Duration{draw(random, 1'000, 6'000)};
        break;
    case 3:
        step.maxPerTarget = std::max(leastPerTarget, draw(random, 1, 3));
        break;
    default:
        break;
    }
    return step;
}

}
