#pragma once

#include "attempt.h"
#include "attemptindex.h"
#include "call.h"
#include "clusterview.h"
#include "configuration.h"
#include "counters.h"
#include "event.h"
#include "hostsettings.h"
#include "job.h"
#include "jobupdatestate.h"
#include "ledger.h"
#include "logentry.h"
#include "message.h"
#include "peer.h"
#include "permit.h"
#include "plan.h"
#include "planbasis.h"
#include "storesession.h"
#include "table.h"
#include "target.h"
#include "timerservice.h"
#include "zoneclaim.h"

#include <map>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// The whole state of one host. Controllers read every section and write only those that docs/design.md assigns to them. Rows are replaced, not modified.
struct Blackboard
{
    HostSettings self;
    TimePoint now;
    WallTime wallNow;
    std::vector<Event> inbox; ///< Events of the present round.
    std::vector<OutgoingMessage> outbox;
    Configuration configuration;
    StartPermit permit;
    Table<HostId, Peer> peers;
    Table<TargetId, Target> targets;
    Table<TargetId, TargetLease> leases;
    Epoch epoch = 0;            ///< Epoch under which this host owns its zone, or zero. Written by updateOwnership.
    Epoch highestEpochSeen = 0; ///< Written by updateOwnership.
    ZoneClaim zoneClaim;        ///< Written by updateOwnership.
    Table<JobId, Job> jobs;
    JobUpdateState jobUpdateState; ///< Written by updateJobs.
    Table<AttemptId, Attempt> attempts;
    AttemptIndex attemptIndex; ///< Written by driveAttempts.
    Plan plan;
    PlanProgress planProgress;                                 ///< Written by updatePlan.
    LedgerProgress ledger;                                     ///< Written by updateLedger.
    std::map<AvailabilityZoneId, ZoneCapacity> zoneCapacities; ///< Written by updateMembership.
    Table<CallId, OpenCall> calls;
    CallIndex callIndex; ///< Written by answerCallers.
    Table<CommandId, CommandProgress> commands;
    StoreSession store;
    TimerTable timers;
    Counters counters;
    std::vector<LogEntry> log;
    TimePoint membershipCheckedAt;                          ///< Time of the last check by updateMembership; a long gap means that this host was paused.
    std::optional<TimePoint> configurationRequestedAt;      ///< Time of the last configuration request. Written by updateMembership.
    std::map<long long, ConfigurationChange> recentChanges; ///< Changes by version, to explain version conflicts; written by updateCommands.
    /// For each zone, the time until which hosts may still start work under a previous, longer `isolatedStartPeriod`. Written by updateConfiguration.
    std::map<AvailabilityZoneId, TimePoint> isolatedStartsUntil;
    bool isStopping = false; ///< Written by step() when it handles StopRequested.
    unsigned long long nextCallId = 1;
    unsigned long long randomState = 1;
};

/// Returns a call id that this process has not used before.
CallId takeCallId(Blackboard &board);

/// Returns the next pseudo-random number of the board's seeded sequence.
unsigned long long takeRandom(Blackboard &board);

/// Returns a uniformly distributed duration between zero and the bound (full jitter).
Duration takeJitter(Blackboard &board, Duration bound);

/// Events of one type in the inbox, in the order of arrival.
template<typename EventType>
std::vector<EventType> eventsOf(const Blackboard &board)
{
    std::vector<EventType> found;
    for (const auto &event : board.inbox) {
        if (const auto *match = std::get_if<EventType>(&event)) {
            found.push_back(*match);
        }
    }
    return found;
}

}
