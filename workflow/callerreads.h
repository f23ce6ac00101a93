#pragma once

#include "callerchecks.h"
#include "workflowboard.h"

namespace sequoiastand
{

/// Lets the call wait until the progress record that its answer needs may be read.
void readProgress(WorkflowBoard &board, OpenCallerCall call, const RoutedCall &routed);

/// Notes which reads of progress records have ended.
void followCallerReads(WorkflowBoard &board);

/// Sends reads for the waiting calls, in the order of the times by which they have to be answered, up to `maxCallerReads` under way. A read serves all calls
/// that wait for the same record when it is sent. A call that arrives later needs a read of its own, because the record may have changed.
void sendCallerReads(WorkflowBoard &board);

/// Number of calls whose read is due and has to wait for the end of another.
std::size_t waitingCallerReads(const WorkflowBoard &board);

}
