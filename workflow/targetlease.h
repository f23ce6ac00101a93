#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// What the target's clock shows now at the latest answer's rate; none before its first answer.
std::optional<TargetClock> estimatedClock(const DomainTarget &target, TimePoint now);

/// From when on nothing that was started or held under an earlier call runs there any more, even on the slowest clock.
TimePoint surelyLapsedAt(const DomainTarget &target);

/// The longest time for which a hold of a former owner can keep runs going after that owner's authority ended.
Duration foreignLease(const DomainLimits &limits);

/// The target as a new life of it begins: what the former one ran and knew is gone.
DomainTarget asNewLife(DomainTarget target, const TargetRegistration &registration);

/// Ends every run of the board that stands on a former life of its target.
void dropFormerLives(WorkflowBoard &board);

}
