#pragma once

#include "faultplan.h"
#include "hostprocess.h"
#include "net/httpclient.h"
#include "platform/standin/platformstore.h"
#include "platform/standin/platformtargets.h"
#include "proxy.h"
#include "soakhistory.h"

#include <absl/status/status.h>

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
    Stopping, ///< SIGTERM was sent.
    Killed,   ///< SIGKILL was sent.
};

/// A host of the soak with its process and the proxies on its connections.
struct SoakHost
{
    HostPlace place;
    std::unique_ptr<Proxy> storeLink;
    std::unique_ptr<Proxy> callerLink;
    ProcessStep step = ProcessStep::Down;
    pid_t process = 0;
    TimePoint startedAt;
    TimePoint stopSentAt;
    bool isHeldDown = false; ///< Not to be started again yet.
};

/// A target of the soak and what the store is told of it.
struct SoakTarget
{
    std::unique_ptr<Proxy> link;
    bool isDraining = false;
    bool isRegistered = true;
    std::optional<TimePoint> cutSince; ///< Its heartbeats do not arrive either.
};

/// A workflow and how its caller gets on with it.
struct SoakWorkflow
{
    Workflow workflow;
    std::string key;
    bool isAccepted = false;
    bool isGivenUp = false; ///< The caller has used up its tries, or was told that it cannot run.
    bool isCallOpen = false;
    int tries = 0;
    TimePoint nextCallAt;
    std::optional<WorkflowState> state;
};

struct SoakOptions
{
    std::string program; ///< The binary under test.
    std::string folder;  ///< For settings and logs.
    unsigned seed = 1;
    int hosts = 4;
    int targets = 12;
    Duration length{20'000};
    std::vector<FaultKind> kinds = allFaultKinds();

    friend bool operator==(const SoakOptions &, const SoakOptions &) = default;
};

/// All state of one soak run. Only the loop's thread touches it.
struct SoakWorld
{
    explicit SoakWorld(const SoakOptions &options);

    SoakOptions options;
    EventLoop loop;
    std::mt19937 random;
    PlatformStore store;
    PlatformTargets targets;
    HttpClient http;
    QueueConfiguration configuration;
    std::vector<SoakHost> hosts;
    std::map<TargetId, SoakTarget> targetStates;
    std::map<RequestId, SoakWorkflow> workflows;
    std::multimap<TimePoint, std::function<void()>> timeline;
    SoakHistory history;
    std::map<FaultKind, int> injected; ///< How often each kind of fault was injected.
    long long heartbeats = 0;
    TimePoint nextHeartbeatAt;
    int settingsRevision = 0;
    bool sendsWork = true;
    TimePoint nextWorkAt;
};

/// Starts the stand-ins, the proxies and the hosts.
absl::Status startWorld(SoakWorld &world);

/// Lets everything that is due happen. To be called every few milliseconds.
void tick(SoakWorld &world);

/// Ends the processes that this run has started, by their ids.
void endHosts(SoakWorld &world);

void startProcess(SoakWorld &world, SoakHost &host);
void sendSignal(SoakHost &host, int signal);

/// Writes the configuration as the operators do, under the next version.
void writeConfiguration(SoakWorld &world);
void writeRegistration(SoakWorld &world, const TargetId &target);

/// The host that owns the domain as the store knows it, or null.
SoakHost *findOwner(SoakWorld &world);

int drawNumber(SoakWorld &world, int least, int most);

/// Calls back at that time.
void runAt(SoakWorld &world, TimePoint time, std::function<void()> action);

}
