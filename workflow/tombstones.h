#pragma once

#include "callerchecks.h"
#include "workflowboard.h"

namespace sequoiastand
{

/// Takes the store's answer to the request of a lease for tombstones.
/// Reads the events; writes `tombstones`.
void followTombstoneLease(WorkflowBoard &board);

/// Asks the store for a lease for tombstones, unless the present one can still be used or the request is under way.
void requestTombstoneLease(WorkflowBoard &board);

/// True if a tombstone that is written now lives long enough.
bool hasTombstoneLease(const WorkflowBoard &board);

/// Drops the lease, which the store may have ended.
void dropTombstoneLease(WorkflowBoard &board);

/// Time after which this host may write another tombstone; zero if it may write one now, which counts against its limit.
Duration takeTombstone(WorkflowBoard &board);

/// Key of the tombstone of the call's workflow. A submission and a cancelling have the same key if the cancelling may reach the workflow of the submission, so that
/// one organisation's cancelling does not exclude another's submission.
StoreKey tombstoneKey(const RoutedCall &routed);

/// The write of the tombstone of the call's workflow, which takes effect only if the workflow does not exist.
StoreTransaction tombstoneTransaction(const WorkflowBoard &board, const RoutedCall &routed);

}
