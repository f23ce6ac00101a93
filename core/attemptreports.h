#pragma once

#include "attemptedits.h"

namespace sequoiastand
{

/// Returns the member as changed by a report of its target; `task` is null if the report does not list the task. `isFresh` is true if the report was
/// requested after the member's last change; in this case, a task that the report does not list no longer exists.
AttemptMember withReportedTask(AttemptMember member, const ReportedTask *task, bool isFresh, TimePoint now);

/// Applies the reports of targets that changed in this step, and adopts or stops tasks that belong to no attempt on the board.
void applyReports(AttemptEdits &work);

/// True if this host has been without the lease on the target for so long that the target's tasks count as lost.
bool isLeaseLapsed(const Blackboard &board, const TargetId &target);

/// Ends members on targets whose lease has lapsed. Work that is not idempotent stays in doubt as long as the target may still keep its task.
void applyLapsedLeases(AttemptEdits &work, const AttemptId &id);

}
