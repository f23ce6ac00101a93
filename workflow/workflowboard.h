#pragma once

#include "advice.h"
#include "answertime.h"
#include "callermessage.h"
#include "commitqueue.h"
#include "core/civilclock.h"
#include "core/counters.h"
#include "core/event.h"
#include "core/logentry.h"
#include "core/storerecord.h"
#include "core/table.h"
#include "core/timerservice.h"
#include "domainsettings.h"
#include "estimateerror.h"
#include "fillerpace.h"
#include "ownerduties.h"
#include "placement.h"
#include "runtable.h"
#include "targetorder.h"
#include "targetspeed.h"
#include "urgentreserve.h"
#include "waitreport.h"
#include "workflowtable.h"

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

/// Reports that the settings file has changed. The host's id and incarnation stay the same.
struct SettingsChanged
{
    DomainSettings settings;

    friend bool operator==(const SettingsChanged &, const SettingsChanged &) = default;
};

/// A message that asks another host whether it is ready to serve callers, or fit to own the domain.
struct ReadinessCheck
{
    CallId id;
    HostId host;
    std::string address;
    bool isForOwnership = false;
    Duration timeout{0};

    friend bool operator==(const ReadinessCheck &, const ReadinessCheck &) = default;
};

/// The answer to a readiness check. A host that does not answer counts as not ready.
struct ReadinessReply
{
    CallId id;
    bool isReady = false;

    friend bool operator==(const ReadinessReply &, const ReadinessReply &) = default;
};

/// Reports that the requests of the watch on a prefix fail, or that they are answered again. The watch stays open in both cases.
struct StoreWatchCondition
{
    std::string prefix;
    bool isFailing = false;
    std::string error;

    friend bool operator==(const StoreWatchCondition &, const StoreWatchCondition &) = default;
};

/// Reports that a large answer of the store has begun to arrive. Its call ends by itself if no further part of it arrives.
struct StoreAnswerBegun
{
    CallId id;

    friend bool operator==(const StoreAnswerBegun &, const StoreAnswerBegun &) = default;
};

using WorkflowEvent = std::variant<CallerRequest,
                                   CallAbandoned,
                                   StoreReply,
                                   StoreAnswerBegun,
                                   StoreWatchEvent,
                                   StoreWatchLost,
                                   StoreWatchCondition,
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
    Paused, ///< The watch is closed while the proofs of the configuration bring the changes.
};

/// A prefix of the store that this host mirrors: it reads the prefix once as a whole and then watches it from the revision of that read. The front end keeps a
/// watch open while the step is `Watching` and opens a new one when `generation` has changed.
struct StoreMirror
{
    MirrorStep step = MirrorStep::Off;
    CallId read;
    Revision revision = 0; ///< Revision up to which the watch has reported; at first, the revision of the read.
    int generation = 0;
    int repeats = 0;                    ///< Grows whenever the watch has to report the newest changes once more.
    std::deque<Revision> repeatedAfter; ///< Newest revisions that any mirror had reported at the latest repeats; the present one begins at the first of them.
    TimePoint nextRepeatAt;
    TimePoint retryAt;
    TimePoint lastReceivedAt;              ///< When the read or the watch last brought data.
    std::optional<TimePoint> failingSince; ///< When the read or the watch began to fail.
    std::string error;                     ///< Error of the last failed read, or of the watch when it began to fail.

    friend bool operator==(const StoreMirror &, const StoreMirror &) = default;
};

/// Changes below one prefix of the store. An update stays on the board for the current step only.
struct MirrorUpdate
{
    std::string prefix;
    bool isSnapshot = false; ///< The update contains every entry below the prefix; an entry that it lacks does not exist in the store.
    std::vector<StoreEntry> put;
    std::vector<StoreKey> deleted;
    Revision revision = 0;
    Revision formerRevision = 0; ///< Revision up to which the mirror had reported before.

    friend bool operator==(const MirrorUpdate &, const MirrorUpdate &) = default;
};

/// A read of the store that confirms what this host knows if all conditions hold.
struct StoreProof
{
    CallId call;
    TimePoint sentAt;
    std::vector<StoreCondition> conditions;
    bool isArriving = false; ///< Its answer, which carries the configuration, has begun to arrive.

    friend bool operator==(const StoreProof &, const StoreProof &) = default;
};

/// The caps of a configuration that may still be in force beside a newer one, because another host may not have learned of the newer one yet.
struct FormerCaps
{
    std::map<OrganisationId, ResourceCap> caps;
    TimePoint until; ///< Time from which the newer configuration is in force everywhere.

    friend bool operator==(const FormerCaps &, const FormerCaps &) = default;
};

/// The operators' configuration as this host knows it, and when it was last confirmed to be current.
struct ConfigurationView
{
    QueueConfiguration configuration;
    Revision revision = 0;              ///< Revision of the configuration's key; zero if it has never been read.
    std::optional<TimePoint> adoptedAt; ///< When the host received the known configuration.
    Revision readRevision = 0;          ///< All changes of the configuration and the evacuations up to this revision are known.
    std::vector<FormerCaps> formerCaps; ///< Caps of former configurations that may still be in force. A host that starts knows none.
    std::map<AvailabilityZoneId, Revision> evacuated;
    bool isRead = false;                ///< The whole configuration has been read at least once.
    bool isLoaded = false;              ///< The configuration has been read, and the operators have written one.
    std::optional<TimePoint> provenAt;  ///< Send time of the newest proof whose answer confirmed the configuration.
    std::optional<TimePoint> currentAt; ///< At this time no configuration newer than the known one existed.
    std::optional<StoreProof> proof;    ///< The newest proof, until it is answered or counts as unanswered.
    std::vector<StoreProof> lateProofs; ///< Proofs that count as unanswered, but whose answers would still be read.
    TimePoint nextProofAt;
    Revision withdrawalRevision = 0; ///< Revision of the newest known configuration that may have withdrawn keys; at first, of the first one.
    bool isCatchingUp = false;       ///< The configuration has changed since the last confirmed proof, and may change faster than this host can receive it.
    int failedProofs = 0;            ///< Number of consecutive proofs without an answer.
    std::string proofError;          ///< Error of the last failed proof.
    bool isStoreReachable = false;   ///< The store answers proofs; a single missing answer does not change this.
    bool isUnreadable = false;       ///< The newest proof failed on an entry that cannot be decoded, so what this host knows may be out of date.

    friend bool operator==(const ConfigurationView &, const ConfigurationView &) = default;
};

enum class OwnershipStep
{
    Follower,
    Granting, ///< The host asks the store for a lease.
    Claiming, ///< The host tries to create the owner key.
    Checking, ///< The answer to the claim was lost, so the host reads the owner key.
    Owner,
};

/// The domain's current owner, and this host's own claim or ownership.
struct Ownership
{
    OwnershipStep step = OwnershipStep::Follower;
    bool isKnown = false; ///< The owner key has been read at least once.
    std::optional<DomainOwner> holder;
    Revision holderRevision = 0;
    std::optional<TimePoint> knownSince; ///< When this host learned of the present holder, or that there is none.
    std::optional<TimePoint> claimAt;    ///< When this host will claim the vacant domain.
    TimePoint unfitUntil;                ///< Time before which this host is not fit to own the domain, because it has failed at a duty of the owner.
    TimePoint noClaimBefore;             ///< Earliest time of a claim after this host has handed the domain over, so that the successor claims first.
    std::optional<CallId> call;
    TimePoint callSentAt;
    long long lease = 0;
    Duration leaseDuration{0};
    TimePoint authorityUntil;             ///< Time from which this host no longer sends orders or writes as owner.
    std::map<CallId, TimePoint> renewals; ///< Send times of the renewals under way.
    TimePoint nextRenewalAt;
    std::optional<TimePoint> suspendedSince; ///< When the authority ended without an answer to a renewal; the store may still hold the lease.
    TimePoint actingSince;                   ///< Since when this host has had its authority without a break.
    std::string releaseReason;               ///< Why the domain has to be released; empty if it has not.
    Revision token = 0;                      ///< Fencing token of this host's ownership.
    TimePoint ownedSince;
    std::vector<TimePoint> recentOwnerChanges; ///< Times of recent changes of owner that this host has seen.
    std::map<CallId, HostId> successorChecks;  ///< Readiness checks of hosts that are better suited to own the domain.
    TimePoint nextSuccessorCheckAt;

    friend bool operator==(const Ownership &, const Ownership &) = default;
};

/// Reads that a new owner has to finish before it decides anything.
struct DomainLoad
{
    std::optional<CallId> progressRead;
    std::optional<CallId> commitMarkRead;
    TimePoint retryAt;
    bool hasProgress = false;
    bool hasCommitMark = false;
    bool hasIntake = false;
    bool hasTargets = false;
    std::optional<TimePoint> failingSince;          ///< When the first of the failed reads since the last successful one failed.
    std::string error;                              ///< Error of the last failed read.
    std::map<RequestId, WorkflowProgress> progress; ///< Progress records that are read before the workflows they belong to.

    friend bool operator==(const DomainLoad &, const DomainLoad &) = default;
};

/// An ended run that the target may forget once the resulting progress is stored.
struct PendingEnd
{
    long long number = 0;
    RequestId workflow;
    unsigned long long version = 0;

    friend bool operator==(const PendingEnd &, const PendingEnd &) = default;
};

/// A start that was not answered and may still be executed.
struct LateStart
{
    TaskId task;
    int run = 0;
    TargetId target;
    TimePoint until;            ///< Latest time at which the start may arrive.
    bool isFenced = false;      ///< The target's present instance has shown that it will not execute the start.
    bool isStopWanted = false;  ///< The target has restarted since, and its new instance has not confirmed that it will not execute the start.
    std::optional<CallId> stop; ///< Stop order under way.
    TimePoint stopRetryAt;

    friend bool operator==(const LateStart &, const LateStart &) = default;
};

/// Runs of a lasting task that have ended by themselves soon after their starts.
struct RestartPause
{
    int quickEnds = 0; ///< Number of consecutive runs that ended soon.
    int lastRun = 0;   ///< Number of the last of these runs.
    TimePoint until;   ///< Time before which the task is not started again.

    friend bool operator==(const RestartPause &, const RestartPause &) = default;
};

/// The time on a target's clock when an answer arrived.
struct ClockSample
{
    TargetClock clock{0};
    TimePoint receivedAt;

    friend bool operator==(const ClockSample &, const ClockSample &) = default;
};

/// A target of the domain: its registration, its contact with this owner, and the outcomes of its runs.
struct DomainTarget
{
    TargetRegistration registration;
    bool isRegistered = true;
    bool hasAnsweredOwner = false; ///< The target has answered under this owner's fencing token, so it refuses orders of former owners.
    std::optional<ClockSample> clock;
    TargetClock heldUntil{0};                   ///< Latest deadline that was sent to the target, on the target's clock.
    std::optional<TimePoint> formerRunsLapseAt; ///< Time from which no run of a former owner is left on the target, even if it does not answer.
    std::optional<CallId> hold;
    long long holdStartTimeMs = 0; ///< Start time of the instance to which the hold was sent.
    TimePoint holdSentAt;
    TimePoint nextHoldAt;
    std::optional<TimePoint> answeredAt;
    int failures = 0;                           ///< Number of consecutive holds without an answer.
    std::optional<TimePoint> orderUnansweredAt; ///< When an order was last not answered; no value once the target has answered again.
    long long acknowledgedEnd = 0;              ///< Newest end whose effect on its workflow is stored.
    long long acknowledgementUnderWay = 0;      ///< Newest end that the hold under way acknowledges; zero if it acknowledges none.
    long long confirmedEnd = 0;                 ///< Newest end that an answered hold has acknowledged, so the target has discarded it.
    long long newestEnd = 0;
    std::deque<PendingEnd> pendingEnds;
    bool hasMoreEnds = false;            ///< The newest list of ends was full, so the target lists further ends once these have been acknowledged.
    bool hasStrays = false;              ///< The target runs stray tasks, whose resources are not accounted for.
    std::vector<TaskId> strays;          ///< The stray tasks in the newest list; they count against the caps of their organisations.
    std::optional<TimePoint> avoidUntil; ///< Time until which the target gets no work: its own state made it refuse a start.
    int recentFailures = 0;              ///< Runs that have failed on the target since the last one that finished.
    std::optional<TimePoint> lastFailureAt;
    int finishedRuns = 0;

    friend bool operator==(const DomainTarget &, const DomainTarget &) = default;
};

/// One transaction of the owner's commit chain.
struct CommitBatch
{
    CallId call;
    StoreTransaction transaction;
    TimePoint sentAt;
    std::map<RequestId, unsigned long long> versions; ///< Versions of the progress records in the batch.
    std::set<RequestId> forgotten;
    bool isSummary = false;

    friend bool operator==(const CommitBatch &, const CommitBatch &) = default;
};

struct CommitChain
{
    CommitQueue dirty;             ///< Workflows whose progress is newer than the stored one.
    CommitQueue begun;             ///< Workflows that are newer than the stored ones only because they have begun; any later batch may store them.
    std::set<RequestId> forgotten; ///< Ended workflows whose records are to be removed.
    std::optional<CommitBatch> batch;
    bool isOutcomeUnknown = false; ///< The answer to the batch was lost, so the batch is sent again unchanged.
    std::string error;             ///< Why the batch is sent again.
    TimePoint retryAt;
    Revision commitMarkRevision = 0;
    long long batches = 0;
    std::optional<DomainSummary> storedSummary;
    TimePoint nextSummaryAt;

    friend bool operator==(const CommitChain &, const CommitChain &) = default;
};

/// The access fence as this host knows it, and the owner's write of it.
struct AccessFenceView
{
    Revision revision = 0; ///< Revision of the fence's key; zero if it is not known, or does not exist.
    AccessFence fence;
    std::optional<CallId> write;
    AccessFence written; ///< The record in the write under way.
    TimePoint retryAt;

    friend bool operator==(const AccessFenceView &, const AccessFenceView &) = default;
};

enum class CallerStep
{
    Proving,          ///< The call waits for a fresh proof of the configuration.
    AwaitingRead,     ///< The call waits until the workflow's progress may be read.
    Reading,          ///< The record that the answer needs is being read.
    Writing,          ///< The workflow or the cancellation is being written.
    WritingTombstone, ///< The workflow to cancel does not exist, and a tombstone is being written, or waits for its lease.
    Refusing,         ///< The call waits for other hosts' answers on whether they could serve the caller.
};

/// A caller's request that has not been answered yet.
struct OpenCallerCall
{
    CallerRequest request;
    CallerStep step = CallerStep::Proving;
    TimePoint receivedAt;
    TimePoint provingSince;                ///< When the call began to wait for a fresh proof.
    TimePoint answerBy = TimePoint::max(); ///< Limit of the time of the answer, beside the one that the caller's deadline sets.
    std::optional<CallId> call;
    RequestId workflow;                   ///< The workflow whose progress is read.
    TimePoint sentAt;                     ///< When the newest write was sent.
    bool isFenced = false;                ///< That write is conditional on the access fence, and otherwise on the configuration.
    Revision requiredRevision = 0;        ///< Revision of that key which the write requires.
    std::optional<TimePoint> provenAfter; ///< The call needs a proof that was sent at this time or later.
    TimePoint retryAt;
    CallerStep refusedStep = CallerStep::Proving; ///< The step in which the call was refused.
    std::optional<Refusal> refusal;               ///< Refusal that is delayed until other hosts have answered whether they are ready.
    bool mayBeStored = false;                     ///< A write with an unknown outcome was sent.
    bool hasFencedCopy = false;                   ///< A write that was conditional on the access fence was not answered.
    bool hasUnfencedCopy = false;                 ///< A write that was conditional on the configuration was not answered.
    int unansweredWrites = 0;                     ///< Number of times that the write was sent and not answered.
    bool hasRereadState = false;                  ///< The state has been scheduled to be read a second time.

    friend bool operator==(const OpenCallerCall &, const OpenCallerCall &) = default;
};

/// This host's store lease for tombstones, and its limit on their number.
struct TombstoneWriter
{
    long long lease = 0;
    TimePoint useUntil; ///< Time from which tombstones are bound to a new lease.
    std::optional<CallId> grant;
    TimePoint grantSentAt;
    TimePoint nextAt; ///< Time at which the next tombstone would be due if they were written at equal intervals.

    friend bool operator==(const TombstoneWriter &, const TombstoneWriter &) = default;
};

/// An accepting host's copy of the owner's summary.
struct SummaryCopy
{
    std::optional<DomainSummary> summary;
    std::optional<TimePoint> readAt;
    std::optional<CallId> read;
    TimePoint refreshAt; ///< When the summary is read again even if no caller asks for a count.

    friend bool operator==(const SummaryCopy &, const SummaryCopy &) = default;
};

enum class RecordStep
{
    Absent,
    Granting,
    Writing,
    Present,
};

/// The other hosts, for handovers and for callers that this host cannot serve, and this host's own record in the store.
struct HostDirectory
{
    std::map<HostId, HostRecord> hosts; ///< Records of the other hosts.
    double largestProcessorShare = 0;   ///< Largest share of all hosts ever listed; a record may lapse in a store outage although its host still runs.
    RecordStep step = RecordStep::Absent;
    std::optional<CallId> call;
    long long lease = 0;
    TimePoint nextCallAt;
    std::set<CallId> checks;              ///< Unanswered readiness checks of the latest round.
    std::size_t asked = 0;                ///< Number of readiness checks in the latest round.
    std::size_t ready = 0;                ///< Number of hosts that have answered them that they are ready.
    std::optional<TimePoint> checkedAt;   ///< When the latest round of readiness checks began.
    std::optional<TimePoint> lastReadyAt; ///< When another host last answered that it is ready.

    friend bool operator==(const HostDirectory &, const HostDirectory &) = default;
};

/// Lag of this host's timers, which shows whether the host has enough processor time.
struct LoopLag
{
    std::chrono::microseconds mean{0}; ///< Mean over about a second. A mean in whole milliseconds would never fall, because the steps are short.
    std::chrono::microseconds peak{0}; ///< Largest lag, which fades within some seconds.
    TimePoint measuredAt;

    friend bool operator==(const LoopLag &, const LoopLag &) = default;
};

/// All state of one host in a service domain. The rows of tables are replaced as a whole; docs/design.md names the writer of each section.
struct WorkflowBoard
{
    DomainSettings self;
    TimePoint now;                    ///< Time on a clock that continues while the host is suspended.
    CivilClock civilClock;            ///< Written by step.
    WallTime wallNow;                 ///< Time of day by `civilClock`.
    std::vector<WorkflowEvent> inbox; ///< Events of the current step.
    std::vector<WorkflowMessage> outbox;
    std::map<std::string, StoreMirror> mirrors; ///< Mirrors by prefix. Written by followStore.
    std::vector<MirrorUpdate> updates;          ///< Updates of the current step. Written by followStore and proveConfiguration.
    ConfigurationView view;
    Ownership ownership;
    AccessFenceView accessFence; ///< Written by followAccessFence.
    DomainLoad load;
    WorkflowTable workflows;
    std::vector<UrgentArrival> urgentArrivals; ///< Recent arrivals of urgent work. Written by loadDomain.
    RunTable runs;
    std::map<CallId, TaskId> runCalls;      ///< Tasks with a start, stop or pace order under way, by call.
    AnswerTime startAnswers;                ///< Time in which targets answer starts. Written by followRuns.
    AnswerTime storeAnswers;                ///< Time in which the store answers calls. Written by measureStoreAnswers.
    std::map<CallId, TimePoint> storeCalls; ///< Send times of the store calls under way, except reads of prefixes.
    std::map<TaskId, TimePoint> strayStops; ///< When a stray run of the task was last ordered to stop.
    std::vector<LateStart> lateStarts;
    std::map<TaskId, RestartPause> restartPauses; ///< Lasting tasks whose runs end soon. Written by followRuns and advanceWorkflows.
    Table<TargetId, DomainTarget> targets;
    std::vector<TargetShape> shapes; ///< Distinct shapes of targets, including targets that left a while ago.
    CommitChain chain;
    std::map<OwnerDuty, OverdueDuty> overdueDuties; ///< Written by checkDuties.
    Table<CallId, OpenCallerCall> calls;
    std::set<CallId> callerReads; ///< Reads of progress records under way, also those whose callers have left. Written by answerCallers.
    SummaryCopy summary;
    TombstoneWriter tombstones; ///< Written by answerCallers.
    HostDirectory directory;
    AdviceState advice;                                  ///< Written by followAdvice, followRuns and planWork.
    std::map<TargetId, FillerPace> fillerPaces;          ///< Paces on targets that fillers share with serving tasks. Written by paceFillers.
    std::map<TargetId, TargetSpeed> targetSpeeds;        ///< Written by learnSpeeds.
    std::map<EstimateKey, EstimateError> estimateErrors; ///< Written by learnEstimates.
    std::map<StepId, TaskPlaces> heldRoom;               ///< Room that the latest placement pass holds for urgent steps.
    std::map<StepId, TimePoint> waitingSince;            ///< Since when each waiting step could have started, as far as this owner knows.
    std::map<StepId, TimePoint> explainedWaits;          ///< When the log last explained why the step waits.
    std::map<RequestId, WaitReport> waitingJobs;         ///< Workflows that are due and have nothing running. Written by explainWaits.
    std::size_t organisationCapWaits = 0;                ///< Steps that the latest placement pass kept back by a cap. Written by planWork.
    TimePoint lastPlanAt;                                ///< When the latest placement pass was made.
    TimePoint nextPlanAt;
    TimePoint nextHoldScanAt;  ///< When holdTargets checks all targets again. Written by holdTargets.
    TimePoint nextRunScanAt;   ///< When advanceWorkflows searches for runs of ended workflows again. Written by advanceWorkflows.
    TimePoint nextPaceAt;      ///< When paceFillers checks all runs again. Written by paceFillers.
    TimePoint nextWaitScanAt;  ///< When explainWaits checks all open workflows again. Written by explainWaits.
    bool isPlanWanted = false; ///< Something has changed that a placement pass has to consider.
    TimerTable timers;
    LoopLag lag; ///< Written by step.
    Counters counters;
    std::vector<LogEntry> log;
    bool isStopping = false;
    unsigned long long nextCallId = 1;
    unsigned long long randomState = 1;
};

/// The timeout of a call, extended by this host's timer lag, because a host with a lag also reads answers late.
Duration timeoutWithLag(const WorkflowBoard &board, Duration timeout);

/// Time within which the store is expected to answer a call.
Duration storeTimeout(const WorkflowBoard &board);

/// Adds a call to the outbox and returns its id. Without a value, the timeout is storeTimeout().
CallId sendToStore(WorkflowBoard &board, StoreRequest request, long long lease = 0, std::optional<Duration> timeout = {});

/// The reply to the call among the events of the current step, or null.
const StoreReply *findReply(const WorkflowBoard &board, const std::optional<CallId> &call);

CallId takeCallId(WorkflowBoard &board);

/// A uniformly distributed duration between zero and the bound.
Duration takeJitter(WorkflowBoard &board, Duration bound);

/// True while this host may decide and give orders as the owner.
bool hasAuthority(const WorkflowBoard &board);

/// True if a proof has confirmed the configuration recently enough to act on it.
bool isProofFresh(const WorkflowBoard &board);

/// Time from a readiness check to the last moment at which its answer is read.
Duration readinessTimeout(const WorkflowBoard &board);

/// When the latest round of readiness checks is no longer recent.
TimePoint nextReadinessRound(const WorkflowBoard &board);

/// Sends readiness checks to some other hosts, unless the latest round is recent.
void askOtherHosts(WorkflowBoard &board);

/// True if the latest round of readiness checks is recent, and one host is ready or all have answered.
bool areReadinessAnswersFresh(const WorkflowBoard &board);

bool isAnotherHostReady(const WorkflowBoard &board);

/// True if at least half of the hosts that were asked in a recent round are ready.
bool areMostOtherHostsReady(const WorkflowBoard &board);

/// Adds a line to the log. `job` may be empty.
void logDecision(WorkflowBoard &board, std::string step, std::string peer, std::string job, std::string message, bool isError = false);

}
