#pragma once

#include "placementstate.h"

#include <optional>

namespace sequoiastand
{

/// True if the step has waited for `maxAvoidableWait` although the targets that it may use have room for it twice over, counted target by target. No choice of
/// the placement may make it wait any longer: neither the reserve for urgent work, nor its preferred rack, nor suspect targets.
bool isPastAvoidableWait(PlacementState &state, const WaitingStep &waiting);

/// Free accelerators on all targets that the step may use, leaving the adviser's decision aside.
int freeAccelerators(PlacementState &state, const WaitingStep &waiting);

/// Accelerators of the service that are reserved for urgent work.
int reserveOf(const PlacementInput &input, const ServiceId &service);

/// The number of accelerators that the step may take without using the reserve for urgent work. Without the reserve, urgent work would have to wait until other
/// work has been stopped. What is free on targets that the step cannot use serves the reserve first. A step that would not fit beside the reserve even on an
/// empty fleet may use the reserve without limit, because otherwise it could never start. A step that is past its avoidable wait may take half of what is free.
std::optional<int> acceleratorBudget(PlacementState &state, const WaitingStep &waiting);

/// True if the step may be placed outside the rack of its data: it has waited long enough, or its rack will not have room.
bool mayLeaveDataRack(PlacementState &state, const WaitingStep &waiting);

/// True if the gang may be placed on several racks.
bool maySpread(PlacementState &state, const WaitingStep &waiting);

}
