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
#include <utility>
#include <vector>

namespace sequoiastand
{

/// A caller's call to a host and its answer.
struct ObservedCall
{
    CallerAction action = CallerAction::Query;
    RequestId workflow;
    HostId host;
    std::string key;
    TimePoint sentAt;
    std::optional<TimePoint> endedAt; ///< End of the call; empty while it is open.
    int status = 0;                   ///< HTTP status; zero if the connection ended without an answer or the caller timed out.
    bool isNotSent = false;           ///< True if the host has not read any byte of the request.
    std::optional<WorkflowState> state;
    bool hasUnfinishedTasks = false; ///< True if, when the answer arrived, some task had not finished on any target.
    std::string error;               ///< Why the call has no answer.

    friend bool operator==(const ObservedCall &, const ObservedCall &) = default;
};

/// True if the caller cannot tell from the answer, or from its absence, whether the request took effect.
bool isUncertain(const ObservedCall &call);

/// True if the answer to a cancellation says that the workflow will not start any more. A host answers 410 only if the workflow has ended, or if it is
/// unknown and will never be accepted.
bool isCancelConfirmed(const ObservedCall &call);

/// A workflow that a caller has submitted.
struct SentWorkflow
{
    bool mayFail = false;                  ///< True if a task or gang has failed as often as its queue allows, due to its own faults or those of targets.
    std::optional<TimePoint> cancelledAt;  ///< When a cancellation was first sent.
    bool isUrgent = false;                 ///< True for priority 0 within the organisation's guarantee.
    std::optional<WorkflowState> endState; ///< State that hosts reported to callers at the end; empty if they did not know the workflow.
    bool isLasting = false;                ///< True if its tasks last until the workflow is cancelled at the end of the soak, however often their runs end.
    int firstStepTasks = 0;                ///< Number of tasks of the first step; zero unless the workflow is urgent and was accepted.
    bool isBeyondGuarantee = false; ///< True if, before it began, its organisation's urgent work needed more than its guarantee or than sound targets have.
    bool wasAtWorkAtEnd = false;    ///< True if, once all faults had ended, its tasks were at work within the time allowed for a restart.

    friend bool operator==(const SentWorkflow &, const SentWorkflow &) = default;
};

/// A period in which a zone, a target or a key was withdrawn.
struct Withdrawal
{
    std::string subject;
    TimePoint from;
    std::optional<TimePoint> until;

    friend bool operator==(const Withdrawal &, const Withdrawal &) = default;
};

struct Period
{
    TimePoint from;
    TimePoint until;

    friend bool operator==(const Period &, const Period &) = default;
};

/// The period of a fault. Faults of a host or its connections name the host; others affect all hosts.
struct Disturbance
{
    HostId host;
    TimePoint from;
    TimePoint until;
    bool excusesAnswers = false; ///< True if the affected hosts need not answer the requests that are open meanwhile.

    friend bool operator==(const Disturbance &, const Disturbance &) = default;
};

/// A request that had arrived at a host when the host ended its connection without an answer.
struct CutRequest
{
    HostId host;
    std::string request; ///< Method and path.
    TimePoint arrivedAt;
    TimePoint cutAt;
    bool wasRead = false; ///< True if the host had read all bytes that had arrived on the connection.

    friend bool operator==(const CutRequest &, const CutRequest &) = default;
};

/// A planned stop of a host by SIGTERM.
struct PlannedStop
{
    HostId host;
    TimePoint at;
    std::optional<TimePoint> endedAt;
    int exitStatus = 0;

    friend bool operator==(const PlannedStop &, const PlannedStop &) = default;
};

/// A host process that ended without a signal from the soak.
struct UnexpectedExit
{
    HostId host;
    TimePoint at;
    int exitStatus = 0;

    friend bool operator==(const UnexpectedExit &, const UnexpectedExit &) = default;
};

/// A period in which an accepted workflow had nothing running although one of its tasks could run.
struct Standstill
{
    TaskId task;
    OrganisationId organisation;
    TimePoint from;
    TimePoint until;
    HostId owner;        ///< Owner of the domain at the end of the period; empty if there was none.
    Duration allowed{0}; ///< Time at the beginning of the period that does not count.

    friend bool operator==(const Standstill &, const Standstill &) = default;
};

/// A run of a workflow whose cancellation was confirmed.
struct CancelledRun
{
    TargetId target;
    TimePoint from; ///< The confirmation, or the start of the run if that was later.
    TimePoint until;

    friend bool operator==(const CancelledRun &, const CancelledRun &) = default;
};

/// Events that callers, targets and operators have observed.
struct SoakHistory
{
    std::vector<ObservedCall> calls;
    std::map<RequestId, SentWorkflow> workflows;
    std::vector<ObservedStart> starts;
    std::vector<Withdrawal> zonesOut;
    std::vector<Withdrawal> targetsLeaving;
    std::vector<Withdrawal> keysRemoved;
    std::vector<Disturbance> disturbances;
    std::vector<CutRequest> cutRequests;
    std::vector<Period> observerGaps; ///< Periods in which the soak itself did not run, so that it has seen answers late.
    std::vector<PlannedStop> plannedStops;
    std::vector<UnexpectedExit> unexpectedExits;
    std::vector<Standstill> standstills;
    std::map<std::pair<TaskId, int>, CancelledRun> cancelledRuns; ///< By task and number of the run.
    std::vector<std::string> targetViolations; ///< Found by the targets: parallel runs, exceeded capacity, wrong order, too many attempts, unsubmitted tasks.
    std::vector<HostId> hostsNotReadyAtEnd;    ///< Hosts that were not ready after all faults had ended.

    friend bool operator==(const SoakHistory &, const SoakHistory &) = default;
};

/// Time bounds from the platform's documentation and the soak's settings.
struct SoakBounds
{
    Duration contact{3'000};                        ///< Time without a disturbance after which a host must keep the other bounds.
    Duration revoke{5'000};                         ///< Time from a key's removal until no host accepts it.
    Duration evacuation{5'000};                     ///< Time from a zone's evacuation until no task starts there.
    Duration drain{2'000};                          ///< Time from a target's leave notice until no task starts there.
    Duration cancellation{3'000};                   ///< Time from the answer to a cancellation until no task of the workflow starts.
    Duration cancelledRuns{3'200};                  ///< Time from the answer to a cancellation until no task of the workflow is at work.
    Duration gracePeriod{6'000};                    ///< Time from SIGTERM to the end of the process.
    Duration maxDroppedRequestAge{200};             ///< Age up to which an unread request may be dropped by a planned stop.
    Duration reclaim{2'700};                        ///< Time from acceptance until guaranteed urgent work starts.
    Duration urgentStart{2'900};                    ///< Time from acceptance until all tasks of the first step of urgent work within the guarantee have begun.
    Duration callerTimeout{3'000};                  ///< Time after which a caller abandons a call.
    Duration answerPassage{20};                     ///< Time after a gap of the soak until the answers that have arrived meanwhile have been seen.
    Duration standstill{3'000};                     ///< Time for which a workflow may stand still while all is calm.
    Duration calmBefore{4'000};                     ///< Time without a disturbance before a standstill counts.
    Duration standstillBesideFaultsOfHosts{14'000}; ///< Time for which a workflow may stand still while only single hosts are disturbed.

    friend bool operator==(const SoakBounds &, const SoakBounds &) = default;
};

/// One line for each guarantee that the history violates.
std::vector<std::string> checkHistory(const SoakHistory &history, const SoakBounds &bounds = {});

}
