#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// Measures the time in which the store answers calls.
/// Reads the events; writes `storeAnswers` and `storeCalls`.
void measureStoreAnswers(WorkflowBoard &board);

/// Mirrors the prefixes of the store that this host needs by a complete read followed by a watch. A watch that is lost or reports nothing is replaced by a new
/// read.
/// Reads the events, `ownership` and `view`; writes `mirrors` and `updates`.
void followStore(WorkflowBoard &board);

/// Applies updates of the configuration and asks the store once a period to confirm that the known configuration is current. Such a confirmation is a proof.
/// After a change it goes on proving, with pauses, until the store confirms a proof.
/// Reads the events and `updates`; writes `view`, and `updates` if the store's answer shows changes.
void proveConfiguration(WorkflowBoard &board);

/// Closes the watch of the configuration from a change until a proof is confirmed or not answered. The watch would bring each version in between in full, beside
/// the newest one that the proofs bring.
/// Reads `view`; writes `mirrors`.
void pauseConfigurationWatch(WorkflowBoard &board);

/// Claims a domain without an owner, renews the owner's lease, and releases the domain when the host's authority ends or the host stops.
/// Reads the events, `updates` and `view`; writes `ownership`, and clears the owner's sections on a release.
void claimDomain(WorkflowBoard &board);

/// Releases the domain if a host with clearly more processor time is ready, if this host has become too slow and a host that is at least as strong is ready, or
/// if this host fails at a duty and any other host is ready.
/// Reads the events, `directory`, `lag` and `overdueDuties`; writes `ownership`, and clears the owner's sections on a release.
void handOver(WorkflowBoard &board);

/// Keeps this host's record in the store, follows the records of the other hosts, and processes their answers to readiness checks.
/// Reads the events, `updates` and `view`; writes `directory`.
void followHosts(WorkflowBoard &board);

/// Follows the access fence, and replaces it as the owner once the known configuration has withdrawn keys.
/// Reads the events, `updates`, `view` and `ownership`; writes `accessFence`.
void followAccessFence(WorkflowBoard &board);

/// Reads the records that a new owner needs, and adds new workflows and cancellations.
/// Reads the events, `updates` and `ownership`; writes `load`, and rows of `workflows` and `runs`.
void loadDomain(WorkflowBoard &board);

/// Follows the registrations of targets in the store.
/// Reads `updates` and `ownership`; writes rows of `targets`, and ends runs of former instances of targets.
void followTargets(WorkflowBoard &board);

/// Processes the answers of targets: their lists of runs and the outcomes of orders.
/// Reads the events; writes rows of `targets`, `runs` and `workflows`.
void followRuns(WorkflowBoard &board);

/// Stops unanswered starts on targets that have restarted since, until the new instance confirms the stop or the start can no longer arrive.
/// Reads the events and `targets`; writes `lateStarts`.
void stopLateStarts(WorkflowBoard &board);

/// Begins the due occurrences of workflows, ends workflows that were cancelled, have failed or are complete, and removes workflows that ended long ago.
/// Reads `view`; writes rows of `workflows` and `runs`, and `chain`.
void advanceWorkflows(WorkflowBoard &board);

/// Processes the adviser's answers and discards its advice on steps that have ended.
/// Reads the events and `workflows`; writes `advice`.
void followAdvice(WorkflowBoard &board);

/// Decides which waiting tasks start on which targets and which runs are preempted for them, and asks the adviser if a step has too few allowed targets.
/// Reads `view`, `workflows` and `targets`; writes rows of `runs` and `workflows`, and the call of `advice`.
void planWork(WorkflowBoard &board);

/// Slows fillers down on targets where they disturb serving tasks, and speeds them up again.
/// Reads rows of `runs` and `targets`; writes `fillerPaces` and the pace in rows of `runs`.
void paceFillers(WorkflowBoard &board);

/// Sends start and stop orders, and repeats those without an answer.
/// Reads `workflows` and `targets`; writes rows of `runs` and `targets`.
void driveRuns(WorkflowBoard &board);

/// Logs why workflows that are due have nothing running, unless placement passes do.
/// Reads the owner's sections; writes `waitingJobs`.
void explainWaits(WorkflowBoard &board);

/// Sends holds, which keep the runs of targets going and ask for the targets' lists.
/// Reads `workflows`; writes rows of `targets`, and ends runs of targets whose lease has certainly ended.
void holdTargets(WorkflowBoard &board);

/// Writes changed progress to the store in a chain of transactions, one at a time.
/// Reads `workflows`; writes `chain` and the stored versions in `workflows`.
void commitProgress(WorkflowBoard &board);

/// Notes which duties of the owner are overdue, and reports them in the log when that begins, repeatedly, and when it ends.
/// Reads `view`, `load`, `mirrors`, `chain` and `targets`; writes `overdueDuties`.
void checkDuties(WorkflowBoard &board);

/// Answers callers: checks the key and the queue, then reads or writes the records that the answer needs.
/// Reads `view` and the events; writes `calls`, `callerReads` and `summary`.
void answerCallers(WorkflowBoard &board);

}
