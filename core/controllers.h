#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Reads inbox, store results; writes configuration. Applies only versions that are higher than the present one.
void updateConfiguration(Blackboard &board);

/// Reads inbox, timers; writes peers and zoneCapacities. Sends and answers heartbeats and configuration requests.
void updateMembership(Blackboard &board);

/// Reads store, peers, configuration; writes permit.
void updatePermit(Blackboard &board);

/// Reads inbox, leases; writes targets.
void updateFleet(Blackboard &board);

/// Reads peers, targets, configuration; writes leases, epoch and highestEpochSeen. Acquires, renews and releases target leases.
void updateOwnership(Blackboard &board);

/// Reads inbox, attempts, plan, store results; writes jobs. Admits submissions, applies changes of the store, and records the outcomes of attempts.
void updateJobs(Blackboard &board);

/// Reads targets, leases, jobs, attempts, configuration, permit; writes plan.
void updatePlan(Blackboard &board);

/// Reads plan, inbox, targets, permit; writes attempts. Reserves, starts and stops the members of gangs.
void driveAttempts(Blackboard &board);

/// Reads inbox, peers, store results; writes commands. Writes operators' changes to the store and follows their confirmation by the hosts.
void updateCommands(Blackboard &board);

/// Reads jobs, epoch, store results; writes ledger. Moves the records of ended jobs of the zone into the ledger.
void updateLedger(Blackboard &board);

/// Reads inbox, peers, timers; writes store. Groups writes, resolves lost replies, maintains the host's lease and watch, and relays calls
/// through peers and for peers.
void syncStore(Blackboard &board);

/// Reads inbox, jobs, commands; writes calls. Answers callers.
void answerCallers(Blackboard &board);

}
