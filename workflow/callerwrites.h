#pragma once

#include "callerchecks.h"
#include "workflowboard.h"

namespace sequoiastand
{

/// Sends the write of the call's workflow, on the condition that neither the workflow nor a tombstone of it exists.
void submit(WorkflowBoard &board, const OpenCallerCall &call, const RoutedCall &routed);

/// Sends the write of the call's cancellation.
void cancel(WorkflowBoard &board, const OpenCallerCall &call, const RoutedCall &routed);

/// Handles the cancelling of a workflow that does not exist. A submission of it may still be on its way to the store, so the caller is answered once a tombstone
/// keeps that submission from taking effect.
void excludeSubmission(WorkflowBoard &board, const OpenCallerCall &call, const RoutedCall &routed);

/// Sends the write of the tombstone, or waits for the lease that it needs.
void writeTombstone(WorkflowBoard &board, OpenCallerCall call, const RoutedCall &routed);

/// True if the call has to wait for a proof beyond a fresh one: its last write failed without a cause that is known, or its write would most likely fail because
/// the configuration is changing.
bool awaitsProof(const WorkflowBoard &board, const OpenCallerCall &call);

/// True while the call writes a workflow, a cancellation or a tombstone.
bool isWriting(const OpenCallerCall &call);

/// Handles the store's answer to the call's write.
void handleWriteReply(WorkflowBoard &board, OpenCallerCall call, const StoreReply &reply);

}
