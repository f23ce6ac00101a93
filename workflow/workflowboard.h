#pragma once

#include "advice.h"
#include "callermessage.h"
#include "core/counters.h"
#include "core/event.h"
#include "core/logentry.h"
#include "core/storerecord.h"
#include "core/table.h"
#include "core/timerservice.h"
#include "domainsettings.h"
#include "fillerpace.h"
#include "placement.h"
#include "targetorder.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// The settings file has changed. The host's id and incarnation stay.
struct SettingsChanged
{
    DomainSettings settings;

    friend bool operator==(const SettingsChanged &, const SettingsChanged &) = default;
};

/// Asks another host whether it is ready to serve callers.
struct ReadinessCheck
{
    CallId id;
    HostId host;
    std::string address;
    Duration timeout{0};

    friend bool operator==(const ReadinessCheck &, const ReadinessCheck &) = default;
};

/// The answer; a host that does not answer is not ready.
struct ReadinessReply
{
    CallId id;
    bool isReady = false;

    friend bool operator==(const ReadinessReply &, const ReadinessReply &) = default;
};

using WorkflowEvent = std::variant<CallerRequest,
                                   CallAbandoned,
                                   StoreReply,
                                   StoreWatchEvent,
                                   StoreWatchLost,
                                   TargetOrderReply,
                                   AdviceReply,
                                   ReadinessReply,
                                   StopRequested,
                                   SettingsChanged>;
using WorkflowMessage = std::variant<StoreCall, TargetOrder, AdviceRequest, ReadinessCheck, CallerAnswer>;

enum class MirrorStep
{
    Off,
    Reading,
    Watching,
};

/// A prefix of the store that this host follows: one whole read, then a watch from there. The front end keeps a watch open while the step is `Watching` and
/// opens a new one when `generation` has changed.
struct StoreMirror
{
    MirrorStep step = MirrorStep::Off;
    CallId read;
    Revision revision = 0; ///< Up to which the watch has reported, or the read of which it begins.
    int generation = 0;
    TimePoint retryAt;
    TimePoint lastReceivedAt; ///< When the read or the watch brought something last.

    friend bool operator==(const StoreMirror &, const StoreMirror &) = default;
};

/// News of one prefix, on the board for the present step.
struct MirrorUpdate
{
    std::string prefix;
    bool isSnapshot = false; ///< Everything below the prefix; what is not named does not exist.
    std::vector<StoreEntry> put;
    std::vector<StoreKey> deleted;
    Revision revision = 0;

    friend bool operator==(const MirrorUpdate &, const MirrorUpdate &) = default;
};

/// The operators' configuration as this host knows it, and how fresh that knowledge is.
struct ConfigurationView
{
    QueueConfiguration configuration;
    Revision revision = 0; ///< Of the configuration's key; zero: never read.
    std::map<AvailabilityZoneId, Revision> evacuated;
    bool isRead = false;               ///< All of it has been read once.
    bool isLoaded = false;             ///< And the operators have written a configuration.
    std::optional<TimePoint> provenAt; ///< When the last question was sent whose answer confirmed all of this.
    std::optional<CallId> proof;
    TimePoint proofSentAt;
    TimePoint nextProofAt;
    std::optional<TimePoint> invalidatedAt; ///< The store has shown that something changed; earlier proofs no longer count.
    int failedProofs = 0;                   ///< In a row.
    bool isStoreReachable = false;          ///< The store answers proofs; single answers may be missing.

    friend bool operator==(const ConfigurationView &, const ConfigurationView &) = default;
};

enum class OwnershipStep
{
    Follower,
    Granting, ///< Asks the store for a lease.
    Claiming, ///< Tries to create the owner key.
    Checking, ///< The answer to the claim was lost; reads the key.
    Owner,
};

/// Who owns the domain, and this host's own claim.
struct Ownership
{
    OwnershipStep step = OwnershipStep::Follower;
    bool isKnown = false; ///< The owner key has been read.
    std::optional<DomainOwner> holder;
    Revision holderRevision = 0;
    std::optional<TimePoint> claimAt; ///< When this host claims a vacant domain.
    TimePoint noClaimBefore;          ///< It has handed the domain over and gives the successor time.
    std::optional<CallId> call;
    TimePoint callSentAt;
    long long lease = 0;
    Duration leaseDuration{0};
    TimePoint authorityUntil; ///< Orders and writes as owner end here.
    std::optional<CallId> renewal;
    TimePoint renewalSentAt;
    TimePoint nextRenewalAt;
    Revision token = 0; ///< Fencing token while this host is the owner.
    TimePoint ownedSince;
    std::vector<TimePoint> recentOwnerChanges; ///< When the domain got another owner lately, as this host has heard.
    std::map<CallId, HostId> successorChecks;  ///< Hosts that could own the domain better and have been asked whether they are ready.
    TimePoint nextSuccessorCheckAt;

    friend bool operator==(const Ownership &, const Ownership &) = default;
};

/// Reads that a new owner makes before it decides anything.
struct DomainLoad
{
    std::optional<CallId> progressRead;
    std::optional<CallId> commitMarkRead;
    TimePoint retryAt;
    bool hasProgress = false;
    bool hasCommitMark = false;
    bool hasIntake = false;
    bool hasTargets = false;
    std::map<RequestId, WorkflowProgress> progress; ///< Read before the workflows they belong to.

    friend bool operator==(const DomainLoad &, const DomainLoad &) = default;
};

/// A workflow that has not been forgotten, as its owner sees it.
struct WorkflowEntry
{
    std::shared_ptr<const Workflow> workflow;
    WorkflowProgress progress;
    bool isCancelRequested = false;
    unsigned long long version = 0;       ///< Of `progress`; rises with every change.
    unsigned long long storedVersion = 0; ///< Newest version that the store holds.

    friend bool operator==(const WorkflowEntry &, const WorkflowEntry &) = default;
};

enum class RunStep
{
    Recording,   ///< Waits until the store holds the run.
    Starting,    ///< The order may have reached the target.
    Running,     ///< The target has confirmed it.
    Unconfirmed, ///< Recorded by a former owner; the target's lists decide.
    Ending,      ///< Its end is known or wanted; the target has yet to list it, or to confirm that it is gone.
};

/// The newest run of a task, from its plan until its target certainly does not run it.
struct TaskRun
{
    TaskId task;
    int number = 0;
    TargetInstance place;
    Resources occupiedResources;
    RunStep step = RunStep::Recording;
    TimePoint stepSince;                      ///< Of the step.
    unsigned long long recordedInVersion = 0; ///< Version of the progress that must be stored before the order goes out.
    std::optional<CallId> call;               ///< Start or stop under way.
    TimePoint startSentAt;                    ///< Of the newest start order.
    TimePoint retryAt;
    int starts = 0;               ///< Start orders sent.
    int unansweredOrders = 0;     ///< Orders without an answer since the last one that was answered.
    bool mayArriveLate = false;   ///< A start was not answered, so the target may carry it out even in its next life.
    TargetClock startDeadline{0}; ///< Latest deadline given to the target with a start.
    bool isStopCall = false;      ///< `call` is a stop.
    bool isStopWanted = false;
    bool isGangBroken = false;          ///< Another member's end has already been counted for the gang.
    std::optional<TimePoint> stoppedAt; ///< When the target answered the stop.
    std::string resumedFrom;            ///< Checkpoint given with the start.
    std::string checkpoint;
    int percent = 0;
    std::optional<TimePoint> firstListedAt;
    bool isListed = false;             ///< The lists of this life of the target have named it.
    bool isFiller = false;             ///< Works with what others leave, and is paced where it disturbs them.
    Duration responseTimeTarget{0};    ///< Below which the tail of its response times must stay; zero: it serves nobody.
    int load = 0;                      ///< As listed last.
    std::optional<int> orderedPercent; ///< The share last ordered; none: not known to this owner.
    std::optional<CallId> paceCall;
    TimePoint paceRetryAt;

    friend bool operator==(const TaskRun &, const TaskRun &) = default;
};

/// An end that the target may forget once the store holds the progress that it led to.
struct PendingEnd
{
    long long number = 0;
    RequestId workflow;
    unsigned long long version = 0;

    friend bool operator==(const PendingEnd &, const PendingEnd &) = default;
};

/// A start that was not answered and may still be carried out.
struct LateStart
{
    TaskId task;
    int run = 0;
    TargetId target;
    TimePoint until; ///< It does not arrive later.

    friend bool operator==(const LateStart &, const LateStart &) = default;
};

/// What is known of a target's own clock: what it showed when an answer arrived.
struct ClockSample
{
    TargetClock clock{0};
    TimePoint receivedAt;

    friend bool operator==(const ClockSample &, const ClockSample &) = default;
};

/// A target of the domain: its registration, this owner's contact with it, and how it has done.
struct DomainTarget
{
    TargetRegistration registration;
    bool isRegistered = true;
    bool hasAnsweredOwner = false; ///< It has answered under this owner's token.
    std::optional<ClockSample> clock;
    TargetClock heldUntil{0};                   ///< Latest deadline sent to it, on its clock.
    std::optional<TimePoint> formerRunsLapseAt; ///< From then on nothing of a former owner runs there, if it cannot be asked.
    std::optional<CallId> hold;
    TimePoint holdSentAt;
    TimePoint nextHoldAt;
    std::optional<TimePoint> answeredAt;
    int failures = 0;                           ///< Holds without an answer in a row.
    std::optional<TimePoint> orderUnansweredAt; ///< When an order was not answered, unless the target has answered since.
    long long acknowledgedEnd = 0;
    long long newestEnd = 0;
    std::deque<PendingEnd> pendingEnds;
    bool hasStrays = false;              ///< It runs something whose size is not known.
    std::optional<TimePoint> avoidUntil; ///< It refused an order for a reason of its own.
    int recentFailures = 0;              ///< Runs that failed there since the last one that finished.
    std::optional<TimePoint> lastFailureAt;
    int finishedRuns = 0;

    friend bool operator==(const DomainTarget &, const DomainTarget &) = default;
};

/// One transaction of the owner's chain.
struct CommitBatch
{
    CallId call;
    StoreTransaction transaction;
    TimePoint sentAt;
    std::map<RequestId, unsigned long long> versions; ///< Of the progress that it stores.
    std::set<RequestId> forgotten;
    bool isSummary = false;

    friend bool operator==(const CommitBatch &, const CommitBatch &) = default;
};

struct CommitChain
{
    std::set<RequestId> dirty;     ///< Workflows whose progress is newer than the store's.
    std::set<RequestId> forgotten; ///< Ended workflows whose records are to be removed.
    std::optional<CommitBatch> batch;
    bool isOutcomeUnknown = false; ///< The batch's answer was lost; it is sent again unchanged.
    TimePoint retryAt;
    Revision commitMarkRevision = 0;
    long long batches = 0;
    std::optional<DomainSummary> storedSummary;
    TimePoint nextSummaryAt;

    friend bool operator==(const CommitChain &, const CommitChain &) = default;
};

enum class CallerStep
{
    Proving,  ///< Waits for a fresh proof of the configuration.
    Reading,  ///< Reads the record that the answer needs.
    Writing,  ///< Creates the workflow or the cancellation.
    Refusing, ///< Waits for other hosts' word on whether they could serve the caller.
};

/// A caller's request that has not been answered.
struct OpenCallerCall
{
    CallerRequest request;
    CallerStep step = CallerStep::Proving;
    TimePoint receivedAt;
    TimePoint answerBy;
    std::optional<CallId> call;
    TimePoint retryAt;
    std::optional<Refusal> refusal; ///< Held back until other hosts have said whether they are ready.
    bool mayBeStored = false;       ///< A write was sent whose outcome is not known.
    int unansweredWrites = 0;       ///< Sendings of the write without an answer.
    bool hasRereadState = false;    ///< The state has been read a second time.

    friend bool operator==(const OpenCallerCall &, const OpenCallerCall &) = default;
};

/// An accepting host's copy of the owner's summary.
struct SummaryCopy
{
    std::optional<DomainSummary> summary;
    std::optional<TimePoint> readAt;
    std::optional<CallId> read;
    TimePoint refreshAt; ///< When it is read again although no caller asks for a count.

    friend bool operator==(const SummaryCopy &, const SummaryCopy &) = default;
};

enum class RecordStep
{
    Absent,
    Granting,
    Writing,
    Present,
};

/// The other hosts, as far as callers of this one may have to be sent there.
struct HostDirectory
{
    std::map<HostId, HostRecord> hosts; ///< Without this one.
    double largestProcessorShare = 0;   ///< Of all hosts that have ever been among them; records lapse with the store, hosts need not.
    RecordStep step = RecordStep::Absent;
    std::optional<CallId> call;
    long long lease = 0;
    TimePoint nextCallAt;
    std::set<CallId> checks;              ///< Hosts of the last round that have not said whether they are ready.
    std::optional<TimePoint> checkedAt;   ///< When the last round began.
    std::optional<TimePoint> lastReadyAt; ///< When a host said last that it is ready.

    friend bool operator==(const HostDirectory &, const HostDirectory &) = default;
};

/// How late this host's timers fire: a host without enough processor time does everything late.
struct LoopLag
{
    std::chrono::microseconds mean{0}; ///< Over about a second. In whole milliseconds a mean over short steps would never fall.
    TimePoint measuredAt;

    friend bool operator==(const LoopLag &, const LoopLag &) = default;
};

/// All state of one host in a service domain. The rows of tables are replaced as a whole; docs/design.md names the writer of each section.
struct WorkflowBoard
{
    DomainSettings self;
    TimePoint now; ///< On a clock that goes on while the host is suspended.
    WallTime wallNow;
    std::vector<WorkflowEvent> inbox; ///< Events of the present step.
    std::vector<WorkflowMessage> outbox;
    std::map<std::string, StoreMirror> mirrors; ///< By prefix. Written by followStore.
    std::vector<MirrorUpdate> updates;          ///< Of the present step. Written by followStore and proveConfiguration.
    ConfigurationView view;
    Ownership ownership;
    DomainLoad load;
    Table<RequestId, WorkflowEntry> workflows;
    Table<TaskId, TaskRun> runs;
    std::map<CallId, TaskId> runCalls;      ///< Tasks whose start or stop is under way.
    std::map<TaskId, TimePoint> strayStops; ///< When a run that is not the newest of its task was last told to stop.
    std::vector<LateStart> lateStarts;
    Table<TargetId, DomainTarget> targets;
    std::vector<TargetShape> shapes; ///< Each differing shape of targets once, also of those that left a while ago.
    CommitChain chain;
    Table<CallId, OpenCallerCall> calls;
    SummaryCopy summary;
    HostDirectory directory;
    AdviceState advice;                         ///< Written by askAdviser and planWork.
    std::map<TargetId, FillerPace> fillerPaces; ///< Of targets that fillers share with serving tasks. Written by paceFillers.
    std::map<StepId, TaskPlaces> heldRoom;      ///< Room that the last placement pass holds for urgent steps.
    std::map<StepId, TimePoint> explainedWaits; ///< When the log said last why the step waits.
    TimePoint nextPlanAt;
    TimePoint nextHoldScanAt;  ///< When holdTargets looks at all targets again. Written by holdTargets.
    TimePoint nextRunScanAt;   ///< When advanceWorkflows looks for runs of ended workflows again. Written by advanceWorkflows.
    TimePoint nextPaceAt;      ///< When paceFillers looks at all runs again. Written by paceFillers.
    bool isPlanWanted = false; ///< Something has changed that a placement pass should look at.
    TimerTable timers;
    LoopLag lag; ///< Written by step.
    Counters counters;
    std::vector<LogEntry> log;
    bool isStopping = false;
    unsigned long long nextCallId = 1;
    unsigned long long randomState = 1;
};

/// How long to wait for an answer that takes that long at most: a host that does everything late also reads answers late.
Duration timeoutWithLag(const WorkflowBoard &board, Duration timeout);

/// Adds a call to the outbox and returns its id.
CallId sendToStore(WorkflowBoard &board, StoreRequest request, long long lease = 0);

/// The reply to the call among the events of the present step, or null.
const StoreReply *findReply(const WorkflowBoard &board, const std::optional<CallId> &call);

CallId takeCallId(WorkflowBoard &board);

/// A uniformly distributed duration between zero and the bound.
Duration takeJitter(WorkflowBoard &board, Duration bound);

/// True while this host may decide and give orders as the owner.
bool hasAuthority(const WorkflowBoard &board);

/// True if the configuration was confirmed recently enough to act on it.
bool isProofFresh(const WorkflowBoard &board);

/// Asks some other hosts whether they are ready, unless that was done just now.
void askOtherHosts(WorkflowBoard &board);

/// True if the other hosts have been asked just now, and one is ready or all have answered.
bool areReadinessAnswersFresh(const WorkflowBoard &board);

bool isAnotherHostReady(const WorkflowBoard &board);

/// Adds a line to the log. `job` may be empty.
void logDecision(WorkflowBoard &board, std::string step, std::string peer, std::string job, std::string message, bool isError = false);

}
