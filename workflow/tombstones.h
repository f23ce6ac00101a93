#pragma once

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

/// The write of the workflow's tombstone, which takes effect only if the workflow does not exist.
StoreTransaction tombstoneTransaction(const WorkflowBoard &board, const RequestId &id);

}
