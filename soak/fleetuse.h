#pragma once

#include "soakworld.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

/// The use of the fleet by the tasks for which `isCounted` is true; the others take no room.
FleetUse useOf(const SoakWorld &world, const std::function<bool(const TaskId &)> &isCounted);

/// The use with the room that has been free in all of the recent samples. On a fleet that is nearly full, some room is always free between the end of a task and
/// the start of the next one, which other work may take.
FleetUse withLastingRoom(FleetUse use, const std::deque<FleetUse> &recent);

/// Number of tasks of the step that the sound targets which it may use have room for, up to `wanted`. The limit of tasks on one target applies to each of
/// `copies` copies of the step; preferred racks do not limit the room, as tasks may run elsewhere.
int roomFor(const FleetUse &use, const StepId &id, const StepSpecification &step, int wanted, int copies);

/// True if the organisation's cap on accelerators leaves room for the tasks beside what it uses.
bool hasCapRoom(const SoakWorld &world, const FleetUse &use, const OrganisationId &organisation, const StepSpecification &step, int tasks);

}
