#pragma once

#include "faultplan.h"
#include "hostprocess.h"
#include "net/httpclient.h"
#include "platform/standin/platformstore.h"
#include "platform/standin/platformtargets.h"
#include "proxy.h"
#include "soakhistory.h"

#include <absl/status/status.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

enum class ProcessStep
{
    Down,
    Up,
    Paused,
    Stopping, ///< SIGTERM has been sent.
    Killed,   ///< SIGKILL has been sent.
};

/// The processor time that a host may use before it is suspended.
struct ProcessorQuota
{
    pid_t process = 0;
    std::chrono::nanoseconds used{0}; ///< Processor time that the process had used at the latest check.
    std::chrono::steady_clock::time_point checkedAt;
    std::chrono::nanoseconds credit{0}; ///< Time that the process may still use; negative while it has used too much.
    bool isSuspended = false;

    friend bool operator==(const ProcessorQuota &, const ProcessorQuota &) = default;
};

/// A host of the soak with its process and the proxies on its connections.
struct SoakHost
{
    HostPlace place;
    std::size_t storeDoor = 0; ///< The host's own door of the store.
    std::unique_ptr<Proxy> storeLink;
    std::unique_ptr<Proxy> callerLink;
    ProcessStep step = ProcessStep::Down;
    pid_t process = 0;
    TimePoint startedAt;
    TimePoint stopSentAt;
    ProcessorQuota quota;
    bool isRestartBlocked = false; ///< True while a fault keeps the host from restarting.
};

/// A target of the soak and its state as registered in the store.
struct SoakTarget
{
    std::unique_ptr<Proxy> link;
    bool isDraining = false;
    bool isRegistered = true;
    TimePoint nextHeartbeatAt;
    std::optional<TimePoint> cutSince; ///< Since when the target's link has been cut, which also stops its heartbeats.
};

/// A workflow and the progress of its caller's calls.
struct SoakWorkflow
{
    Workflow workflow;
    std::string key;
    bool isAccepted = false;
    bool isAbandoned = false; ///< True if the caller has used all its attempts or was told that the workflow cannot run.
    bool isCallOpen = false;
    bool isLasting = false;                     ///< Its task lasts; false from the time when the caller cancels it at the end of the soak.
    bool mayBeAccepted = false;                 ///< A submission was accepted, or its outcome is not known.
    bool isCancelWanted = false;                ///< The caller sends cancellations until one is answered with success or 410.
    std::optional<TimePoint> cancelConfirmedAt; ///< When an answer first said that the workflow will not start any more.
    int attemptCount = 0;
    TimePoint nextCallAt;
    std::optional<WorkflowState> state;
};

/// A target of the soak that works and accepts new tasks.
struct SoundTarget
{
    Resources free;
    std::vector<std::string> labels;
    std::map<StepId, int> tasks; ///< Number of running tasks of each step.

    friend bool operator==(const SoundTarget &, const SoundTarget &) = default;
};

/// What the targets of the soak run, and what they have room for.
struct FleetUse
{
    std::set<RequestId> workflowsAtWork;
    std::set<TaskId> tasksAtWork;
    std::map<TargetId, SoundTarget> sound;
    std::map<OrganisationId, int>
        accelerators;         ///< Accelerators that the counted tasks of each organisation use, and all its tasks on targets that are not sound.
    bool isHalfInUse = false; ///< True if at least half of the capacity of all targets is in use.

    friend bool operator==(const FleetUse &, const FleetUse &) = default;
};

struct SoakOptions
{
    std::string program; ///< Path of the binary under test.
    std::string folder;  ///< Folder of settings and logs.
    unsigned seed = 1;
    int hosts = 4;
    int targets = 12;
    Duration length{20'000};
    Duration calm{0};             ///< Time without new faults after each group of faults; zero injects faults all the time.
    int count = 0;                ///< Number of faults of each kind; zero injects as many as the length leaves room for.
    bool hasUnequalHosts = false; ///< Hosts have shares of a core, as those of the users do, and are held to them.
    bool hasUnequalLinks = false; ///< Most hosts have links of 10 Mbit/s, as most of the users' hosts do.
    int maxConnections = 0;       ///< Limit of the callers' connections to a host; zero leaves the default.
    Duration meanWorkGap{300};    ///< Mean time between two submissions.
    int maxTasks = 6;             ///< Largest number of tasks of a step.
    bool hasDemands = false;      ///< Steps demand a label, one rack, the rack of their data, or a limit of tasks on one target.
    bool hasLongWork = false;     ///< Work that is not urgent and needs processors alone occupies all targets for a long time.
    std::vector<FaultKind> kinds = defaultFaultKinds();

    friend bool operator==(const SoakOptions &, const SoakOptions &) = default;
};

/// All state of one soak run. Only the loop's thread accesses it.
struct SoakWorld
{
    explicit SoakWorld(const SoakOptions &options);

    SoakOptions options;
    EventLoop loop;
    std::mt19937 random;
    std::mt19937 demandRandom; ///< Draws the demands of steps, so that the rest of the workload of a seed does not depend on them.
    PlatformStore store;
    PlatformTargets targets;
    HttpClient http;
    QueueConfiguration configuration;
    std::vector<SoakHost> hosts;
    std::map<TargetId, SoakTarget> targetStates;
    std::map<RequestId, SoakWorkflow> workflows;
    std::multimap<TimePoint, std::function<void()>> timeline;
    SoakHistory history;
    std::map<FaultKind, int> injected; ///< Number of injected faults of each kind.
    long long heartbeats = 0;
    int settingsRevision = 0;
    int openSeries = 0; ///< Number of series of configurations that are under way.
    bool sendsWork = true;
    bool acceptsRefusals = false;   ///< Callers do not repeat submissions that were refused.
    bool cancelsUnanswered = false; ///< Callers cancel submissions that are not answered, and do not repeat them.
    TimePoint nextWorkAt;
    std::map<TaskId, Standstill> standstills; ///< Tasks that last and workflows, by their first task, that stand still at the moment.
    TimePoint nextWorkSampleAt;
    TimePoint checkedAt;            ///< When this process last executed the actions that were due.
    std::deque<FleetUse> recentUse; ///< Samples of about the last second, the newest at the end.
};

/// Starts the stand-ins, the proxies and the hosts.
absl::Status startWorld(SoakWorld &world);

/// Executes all actions that are due. To be called every few milliseconds.
void tick(SoakWorld &world);

/// Ends the host processes that this run has started, by their process ids.
void endHosts(SoakWorld &world);

void startProcess(SoakWorld &world, SoakHost &host);
void sendSignal(SoakHost &host, int signal);

/// Writes the configuration under the next version, as operators do.
void writeConfiguration(SoakWorld &world);
void writeRegistration(SoakWorld &world, const TargetId &target);

/// The host that owns the domain according to the store, or null.
SoakHost *findOwner(SoakWorld &world);

int drawNumber(SoakWorld &world, int least, int most);

/// Schedules the action for the given time.
void runAt(SoakWorld &world, TimePoint time, std::function<void()> action);

}
