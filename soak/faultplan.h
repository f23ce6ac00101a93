#pragma once

#include "core/time.h"

#include <optional>
#include <string_view>
#include <vector>

namespace sequoiastand
{

enum class FaultKind
{
    KillHost,     ///< SIGKILL; the host starts again at the end.
    KillOwner,    ///< The same for the host that owns the domain.
    KillAllHosts, ///< The same for all of them at once.
    PauseHost,    ///< SIGSTOP, SIGCONT at the end.
    PauseOwner,
    StopHost,       ///< SIGTERM; the host starts again once it has ended.
    StopAllInTurn,  ///< SIGTERM to one host after the other.
    ReloadHost,     ///< A changed settings file and SIGHUP.
    DelayStoreLink, ///< Of one host to the store, `figure` ms each way.
    ResetStoreLink,
    CutStoreLink,    ///< Both ways.
    CutStoreAnswers, ///< Calls arrive, answers do not.
    SilenceStoreLink,
    CutStoreCalls, ///< Calls are held up, as far as their sender keeps the connection.
    ResetCallers,  ///< Connections of callers to one host.
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
    FailingTarget, ///< It fails everything that it starts.
    StuckTarget,   ///< What it runs stands still.
    SlowTarget,
    LeavingTarget, ///< It drains; at the end it is ready again.
    LostOrderAnswers,
    LateOrders,
    ZoneOut,             ///< The operators take a zone out and return it.
    RemoveKey,           ///< The operators take a key away and give it back.
    ChangeConfiguration, ///< Several versions in a row.
    CancelWave,
    CallerBurst,
};

std::string_view name(FaultKind kind);

/// One fault of a plan.
struct PlannedFault
{
    FaultKind kind = FaultKind::KillHost;
    Duration at{0}; ///< From the begin of the plan.
    Duration length{0};
    int subject = 0; ///< Number of a host, target, zone or key; taken modulo how many there are.
    int figure = 0;  ///< Of a delay in ms, or a share in percent.

    friend bool operator==(const PlannedFault &, const PlannedFault &) = default;
};

std::optional<FaultKind> faultKindFromName(std::string_view text);

/// All kinds, in the order of the enumeration.
std::vector<FaultKind> allFaultKinds();

/// Faults of these kinds in series and overlapping, in order of time. The same seed gives the same plan.
std::vector<PlannedFault> makeFaultPlan(unsigned seed, Duration length, const std::vector<FaultKind> &kinds = allFaultKinds());

}
