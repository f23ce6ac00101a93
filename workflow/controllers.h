#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// Follows the prefixes of the store that this host needs: a whole read, then a watch; a lost or silent watch is replaced by a read.
/// Reads the events, `ownership` and `view`; writes `mirrors` and `updates`.
void followStore(WorkflowBoard &board);

/// Applies news of the configuration and asks the store once a period whether all that is known of it still holds.
/// Reads the events and `updates`; writes `view`, and `updates` where the store's answer brings news.
void proveConfiguration(WorkflowBoard &board);

/// Claims a domain without an owner, renews the owner's lease, and gives the domain up when its authority ends or the host stops.
/// Reads the events, `updates` and `view`; writes `ownership`, and clears the owner's sections when it gives up.
void claimDomain(WorkflowBoard &board);

/// Gives the domain up if another host is ready that has clearly more processor time, or if this one has become too slow for it.
/// Reads the events, `directory` and `lag`; writes `ownership`, and clears the owner's sections when it gives up.
void handOver(WorkflowBoard &board);

/// Keeps this host's record in the store, follows those of the other hosts, and takes in whether they are ready.
/// Reads the events, `updates` and `view`; writes `directory`.
void followHosts(WorkflowBoard &board);

/// Reads what a new owner needs and takes in new workflows and cancellations.
/// Reads the events, `updates` and `ownership`; writes `load`, and rows of `workflows` and `runs`.
void loadDomain(WorkflowBoard &board);

/// Follows the registrations of targets.
/// Reads `updates` and `ownership`; writes rows of `targets`, and ends runs of a target's former life.
void followTargets(WorkflowBoard &board);

/// Takes in targets' answers: their lists, and whether orders were carried out.
/// Reads the events; writes rows of `targets`, `runs` and `workflows`.
void followRuns(WorkflowBoard &board);

/// Begins occurrences, notes cancellations, failures and completions, and forgets what ended long ago.
/// Reads `view`; writes rows of `workflows` and `runs`, and `chain`.
void advanceWorkflows(WorkflowBoard &board);

/// Takes in what the adviser has answered and forgets what it said of steps that have ended.
/// Reads the events and `workflows`; writes `advice`.
void followAdvice(WorkflowBoard &board);

/// Decides which waiting tasks start where and which runs make room for them, and asks the adviser where a step is short of targets.
/// Reads `view`, `workflows`, `targets`; writes rows of `runs` and `workflows`, and the call of `advice`.
void planWork(WorkflowBoard &board);

/// Slows tasks that fill down where they disturb tasks that serve, and lets them go again.
/// Reads rows of `runs` and `targets`; writes `fillerPaces` and the pace in rows of `runs`.
void paceFillers(WorkflowBoard &board);

/// Sends starts and stops, again where an answer is missing.
/// Reads `workflows` and `targets`; writes rows of `runs` and `targets`.
void driveRuns(WorkflowBoard &board);

/// Keeps targets' runs going and asks for their lists.
/// Reads `workflows`; writes rows of `targets`, and ends runs of targets whose lease has surely ended.
void holdTargets(WorkflowBoard &board);

/// Writes changed progress to the store in a chain of transactions.
/// Reads `workflows`; writes `chain` and the stored versions in `workflows`.
void commitProgress(WorkflowBoard &board);

/// Answers callers: checks key and queue, then reads or writes the records that the answer needs.
/// Reads `view` and the events; writes `calls` and `summary`.
void answerCallers(WorkflowBoard &board);

}
