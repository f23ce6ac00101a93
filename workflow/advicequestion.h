#pragma once

#include "placement.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// Targets to ask the adviser about for one step.
struct AdviceQuestion
{
    StepId step;
    std::vector<TargetId> targets;

    friend bool operator==(const AdviceQuestion &, const AdviceQuestion &) = default;
};

/// The next question to the adviser: of the first waiting step, in the order of placement, that has too little room on the targets that are allowed now. Targets whose
/// ticket has expired come first, since they are known to be allowed, then those with room. Nothing if no answer would help.
std::optional<AdviceQuestion> nextQuestion(const PlacementInput &input);

}
