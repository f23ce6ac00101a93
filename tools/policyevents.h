#pragma once

#include "policyworld.h"

namespace sequoiastand
{

void schedule(PolicyWorld &world, TimePoint at, WorldEventKind kind, int zone = 0, const AttemptId &attempt = {}, int index = 0);

/// Changes the world as the event says and marks the zones that have to plan again.
void handle(PolicyWorld &world, const WorldEvent &event);

/// Carries out a zone's plan.
void applyPlan(PolicyWorld &world, int zone, const Plan &plan);

/// Writing a checkpoint before a stop.
constexpr Duration checkpointTime = std::chrono::seconds{10};

/// Marks the job's outcome and counts it as ended.
void recordJobEnd(PolicyWorld &world, const JobId &id, void (*mark)(JobOutcome &, Duration));

/// The accepting host's choice: the better of two random zones in service, by free accelerators as last told.
int chooseZoneFor(PolicyWorld &world, const JobSpecification &specification);

/// Puts the waiting job into the zone.
void addWaitingJob(PolicyWorld &world, Job job, int zone);

}
