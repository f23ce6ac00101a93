#pragma once

#include "core/time.h"

#include <optional>
#include <string_view>
#include <vector>

namespace sequoiastand
{

enum class FaultKind
{
    KillHost,     ///< Kills a host with SIGKILL; it restarts when the fault ends.
    KillOwner,    ///< Kills the host that owns the domain with SIGKILL; it restarts when the fault ends.
    KillAllHosts, ///< Kills all hosts at once with SIGKILL; they restart when the fault ends.
    PauseHost,    ///< Suspends a host with SIGSTOP until the fault ends.
    PauseOwner,
    StopHost,       ///< Stops a host with SIGTERM; it restarts once its process has ended.
    StopAllInTurn,  ///< Stops one host after the other with SIGTERM.
    ReloadHost,     ///< Changes a host's settings file and sends SIGHUP.
    DelayStoreLink, ///< Delays a host's link to the store in each direction, in proportion to `figure`.
    ResetStoreLink,
    CutStoreLink,    ///< Cuts a host's link to the store in both directions.
    CutStoreAnswers, ///< Cuts a host's link from the store: calls arrive, answers do not.
    SilenceStoreLink,
    CutStoreCalls, ///< Cuts a host's link to the store: calls are held up unless the sender closes the connection.
    ResetCallers,  ///< Resets the callers' connections to one host.
    DelayCallers,
    ResetTargetLinks,
    SilenceTargetLinks,
    CutTarget,
    CutTargetAnswers,
    DelayTarget,
    SilenceStore,
    BusyStore,
    SlowStore,
    LostStoreAnswers,
    LateStoreWrites,
    ForgetHistory,
    DeafWatches,
    CrashTarget,
    FailingTarget, ///< Makes every run on a target fail.
    StuckTarget,   ///< Makes the runs on a target stall.
    SlowTarget,
    LeavingTarget, ///< Drains a target; it is ready again when the fault ends.
    LostOrderAnswers,
    LateOrders,
    ZoneOut,             ///< Evacuates a zone and returns it to service when the fault ends.
    RemoveKey,           ///< Removes a key and restores it when the fault ends.
    ChangeConfiguration, ///< Writes several configuration versions in quick succession.
    CancelWave,
    CallerBurst,
    OrdersAcrossCrash,   ///< Delays a share of the orders and crashes a target meanwhile; its new instance executes the orders that are still to come.
    ForeignEntries,      ///< Writes unusable entries beside the targets' registrations and removes them when the fault ends.
    CancelUnanswered,    ///< Carries out a share of the writes that create workflows late, while callers cancel the submissions that are not answered.
    LastingWork,         ///< Submits a task that lasts and whose runs end by themselves; callers cancel it at the end of the soak.
    HalfCloseCallers,    ///< Ends the callers' sending side of a host's connections after each request, while the callers still read.
    ManyEnds,            ///< Submits more short tasks than one list of ends holds, and holds back the answers of a target of theirs until they have ended.
    RefuseOwnerWrites,   ///< The store refuses the transactions of the host that owns the domain and serves its reads, watches and renewals.
    TurnHostsAway,       ///< The store turns a third of the hosts away, the owner among them, with status 503, with status 429 or without an answer.
    StallStore,          ///< The store stands still for up to a second, again and again, and then executes what it has received. No host counts as disturbed.
    LapsedStore,         ///< The store is silent, and the targets' registrations and all leases end meanwhile.
    SilenceAllLinks,     ///< At one moment, a share of the open connections of all hosts to the store and to the targets goes silent; new ones work.
    ConfigurationSeries, ///< Writes large configurations in quick succession, and single changes before and after them.
    OverlappingSignals,  ///< Sends SIGTERM and SIGHUP to hosts in series, also to hosts that are stopping, while the configuration changes.
};

std::string_view name(FaultKind kind);

/// One fault of a plan.
struct PlannedFault
{
    FaultKind kind = FaultKind::KillHost;
    Duration at{0}; ///< Time from the start of the plan.
    Duration length{0};
    int subject = 0; ///< Index of a host, target, zone or key, modulo their number.
    int figure = 0;  ///< Magnitude of a delay, or a share in percent.

    friend bool operator==(const PlannedFault &, const PlannedFault &) = default;
};

std::optional<FaultKind> faultKindFromName(std::string_view text);

/// All kinds in the order of the enumeration.
std::vector<FaultKind> allFaultKinds();

/// The kinds that are injected unless others are named: all but `OrdersAcrossCrash`, under which a task can run twice (see KNOWN-RED.txt), and
/// those from `RefuseOwnerWrites` on, whose long disturbances would excuse most of what the other checks look at.
std::vector<FaultKind> defaultFaultKinds();

/// The faults of the plan that begin outside the calm times: six seconds with faults are followed by a calm time of the given length. Faults end by the middle
/// of the calm time at the latest.
std::vector<PlannedFault> withCalmTimes(std::vector<PlannedFault> plan, Duration calm);

/// The first faults of each kind, up to the given number; zero keeps all.
std::vector<PlannedFault> withCount(std::vector<PlannedFault> plan, int count);

/// Generates consecutive and overlapping faults of the given kinds in order of time. The same seed gives the same plan.
std::vector<PlannedFault> makeFaultPlan(unsigned seed, Duration length, const std::vector<FaultKind> &kinds = allFaultKinds());

}
