#pragma once

#include "workflowboard.h"

#include <map>
#include <set>
#include <vector>

namespace sequoiastand
{

/// Resources in use, summed over all targets.
struct ResourceUsage
{
    long long milliCpu = 0;
    long long memoryMb = 0;
    long long accelerators = 0;

    friend bool operator==(const ResourceUsage &, const ResourceUsage &) = default;
};

/// What an organisation may have running on all targets.
struct OrganisationUse
{
    ResourceUsage all;
    ResourceUsage stopping; ///< The part of `all` that belongs to runs that are being stopped, or have ended and are not listed as ended yet.

    friend bool operator==(const OrganisationUse &, const OrganisationUse &) = default;
};

bool hasLimit(const ResourceCap &cap);

/// The lower of both limits for each resource.
ResourceCap lowerCap(const ResourceCap &left, const ResourceCap &right);

/// The caps that hold now, of the organisations that have one. While a former configuration may still be in force, the lower cap holds.
std::map<OrganisationId, ResourceCap> capsInForce(const ConfigurationView &view, TimePoint now);

/// Keeps the caps of the view's configuration until the given time, if `next` has others.
void keepFormerCaps(ConfigurationView &view, const QueueConfiguration &next, TimePoint until, TimePoint now);

/// Everything that may be running: all runs on the board, from their planning until it is certain that their targets do not run them, starts without an answer
/// whose runs are not on the board, and the strays in the newest lists of targets whose lease may not have ended. A filler counts with its processors. A new
/// owner knows the usage as soon as it has read the progress records, because runs are recorded before they are started.
std::map<OrganisationId, OrganisationUse> organisationUse(const WorkflowBoard &board);

/// What each organisation may still start within its cap; negative for a resource of which it uses more than the cap.
std::map<OrganisationId, ResourceCap> roomOfOrganisations(const std::map<OrganisationId, ResourceCap> &caps,
                                                          const std::map<OrganisationId, OrganisationUse> &use);

/// Like roomOfOrganisations(), once the runs that are being stopped have gone.
std::map<OrganisationId, ResourceCap> roomAfterStops(const std::map<OrganisationId, ResourceCap> &caps, const std::map<OrganisationId, OrganisationUse> &use);

/// True if the organisation uses more of some resource than its cap, so that nothing of it may start.
bool isExceeded(const ResourceCap &room);

/// The largest number of tasks, up to `count`, that may start within the room.
int tasksWithin(const ResourceCap &room, const Resources &perTask, int count);

/// The room without, or with the resources of `count` more tasks.
ResourceCap lessTasks(const ResourceCap &room, const Resources &perTask, int count);
ResourceCap plusTasks(const ResourceCap &room, const Resources &perTask, int count);

/// The resources of a task as they count against the cap.
Resources countedResources(const WaitingStep &waiting);
Resources countedResources(const RunningUnit &unit);

/// The number of the step's tasks that may start within the room that its organisation has left in the pass.
int tasksWithinCap(const PlacementInput &input, const WaitingStep &waiting);

/// Takes the tasks' resources from the room that the organisation has left in the pass, or returns them.
void takeCapRoom(PlacementInput &input, const WaitingStep &waiting, int tasks);
void returnCapRoom(PlacementInput &input, const WaitingStep &waiting, int tasks);

/// Tasks of one step of an organisation that are recorded and not started yet.
struct RecordedStart
{
    OrganisationId organisation;
    Resources perTask;
    bool isGang = false;
    std::vector<TaskId> tasks;

    friend bool operator==(const RecordedStart &, const RecordedStart &) = default;
};

/// The recorded tasks that must not start, because a cap has fallen, or runs that were not known have appeared, since they were planned. `room` is what the
/// organisations have left beside all recorded tasks. The last ones of `starts` are given up first; a gang is given up as a whole.
std::set<TaskId> startsBeyondCaps(const std::vector<RecordedStart> &starts, std::map<OrganisationId, ResourceCap> room);

/// What the room is, for log lines.
std::string describe(const ResourceCap &room);

}
