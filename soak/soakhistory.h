#pragma once

#include "core/identifier.h"
#include "core/time.h"
#include "core/workflow.h"
#include "core/workflowprogress.h"
#include "platform/standin/observedstart.h"
#include "workflow/callermessage.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// A caller's call to a host and what came back.
struct ObservedCall
{
    CallerAction action = CallerAction::Query;
    RequestId workflow;
    HostId host;
    std::string key;
    TimePoint sentAt;
    std::optional<TimePoint> endedAt; ///< None: still open.
    int status = 0;                   ///< HTTP status; zero: the connection ended without an answer, or the caller gave up.
    bool isNotSent = false;           ///< The host has not read a byte.
    std::optional<WorkflowState> state;
    bool hasUnfinishedTasks = false; ///< When the answer came, some task had not finished on any target.

    friend bool operator==(const ObservedCall &, const ObservedCall &) = default;
};

/// A workflow that a caller has sent.
struct SentWorkflow
{
    bool mayFail = false;                  ///< A task, or a gang, has failed as often as its queue allows, by its own fault or that of targets.
    std::optional<TimePoint> cancelledAt;  ///< When a cancellation was sent first.
    bool isUrgent = false;                 ///< Of priority 0 and within its organisation's guarantee.
    std::optional<WorkflowState> endState; ///< As callers were told at the end; none: not known there.

    friend bool operator==(const SentWorkflow &, const SentWorkflow &) = default;
};

/// A time in which something was withdrawn: a zone, a target or a key.
struct Withdrawal
{
    std::string subject;
    TimePoint from;
    std::optional<TimePoint> until;

    friend bool operator==(const Withdrawal &, const Withdrawal &) = default;
};

/// A fault and its time. Faults of hosts and of their connections name the host; others concern everyone.
struct Disturbance
{
    HostId host;
    TimePoint from;
    TimePoint until;

    friend bool operator==(const Disturbance &, const Disturbance &) = default;
};

/// A planned stop by SIGTERM.
struct PlannedStop
{
    HostId host;
    TimePoint at;
    std::optional<TimePoint> endedAt;
    int exitStatus = 0;

    friend bool operator==(const PlannedStop &, const PlannedStop &) = default;
};

/// A process that ended although nobody had told it to.
struct UnaskedEnd
{
    HostId host;
    TimePoint at;
    int exitStatus = 0;

    friend bool operator==(const UnaskedEnd &, const UnaskedEnd &) = default;
};

/// What callers, targets and the operators saw.
struct SoakHistory
{
    std::vector<ObservedCall> calls;
    std::map<RequestId, SentWorkflow> workflows;
    std::vector<ObservedStart> starts;
    std::vector<Withdrawal> zonesOut;
    std::vector<Withdrawal> targetsLeaving;
    std::vector<Withdrawal> keysRemoved;
    std::vector<Disturbance> disturbances;
    std::vector<PlannedStop> plannedStops;
    std::vector<UnaskedEnd> unaskedEnds;
    std::vector<std::string> targetViolations; ///< Of the targets: two runs at a time, too little room, wrong order, too many tries, nobody asked.
    std::vector<HostId> hostsNotReadyAtEnd;    ///< After the faults had ended.

    friend bool operator==(const SoakHistory &, const SoakHistory &) = default;
};

/// Bounds of the platform's pages and of the soak's settings.
struct SoakBounds
{
    Duration contact{3'000};        ///< A host without a disturbance for so long has to keep the bounds below.
    Duration revoke{5'000};         ///< From a key's removal until no host serves it.
    Duration evacuation{5'000};     ///< From a zone's evacuation until nothing starts there.
    Duration drain{2'000};          ///< From a target's notice until nothing starts there.
    Duration cancellation{3'000};   ///< From the answer to a cancellation until nothing of it starts.
    Duration gracePeriod{6'000};    ///< From SIGTERM to the end of the process.
    Duration lossSlack{200};        ///< A request that was sent no longer ago may be cut off unread at a planned stop.
    Duration reclaim{2'700};        ///< From acceptance until guaranteed urgent work begins.
    Duration callerPatience{3'000}; ///< After which a caller gives up by itself.

    friend bool operator==(const SoakBounds &, const SoakBounds &) = default;
};

/// The promises that the history breaks, each as one line. Empty: none.
std::vector<std::string> checkHistory(const SoakHistory &history, const SoakBounds &bounds = {});

}
