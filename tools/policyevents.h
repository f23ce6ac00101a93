#pragma once

#include "policyworld.h"

namespace sequoiastand
{

/// Adds an event to the queue of the simulation.
void schedule(PolicyWorld &world, TimePoint at, WorldEventKind kind, int zone = 0, const AttemptId &attempt = {}, int index = 0);

/// Applies the event to the simulated state and marks the zones that need another placement pass.
void handle(PolicyWorld &world, const WorldEvent &event);

/// Carries out the placements, preemptions, refusals and moves of a zone's plan.
void applyPlan(PolicyWorld &world, int zone, const Plan &plan);

/// Simulated time for writing a checkpoint before a stop.
constexpr Duration checkpointTime = std::chrono::seconds{10};

/// Records the end of a job: applies `mark` to its outcome and counts it as ended.
void recordJobEnd(PolicyWorld &world, const JobId &id, void (*mark)(JobOutcome &, Duration));

/// Chooses the zone of a new job as the accepting host does: it compares two random zones in service and takes the one
/// that last reported more free accelerators.
int chooseZoneFor(PolicyWorld &world, const JobSpecification &specification);

/// Adds the waiting job to the zone.
void addWaitingJob(PolicyWorld &world, Job job, int zone);

}
