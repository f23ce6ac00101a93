#pragma once

#include "placement.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// Targets about which the adviser is to be asked for one step.
struct AdviceQuestion
{
    StepId step;
    std::vector<TargetId> targets;

    friend bool operator==(const AdviceQuestion &, const AdviceQuestion &) = default;
};

/// The next question to the adviser, for the first waiting step in placement order that has too little room on the targets with a valid ticket. Steps below the
/// most urgent priority that have no room on the targets in question come last. Targets whose ticket has expired come first, because they are known to be allowed,
/// then those with room. Returns nothing if no answer would help.
std::optional<AdviceQuestion> nextQuestion(const PlacementInput &input);

}
