#pragma once

#include "attemptedits.h"

namespace sequoiastand
{

/// The member after a report of its target; `task` is null if the target does not list it. `isFresh` is true if the report was asked for after the member's last change, so that a missing task is gone.
AttemptMember withReportedTask(AttemptMember member, const ReportedTask *task, bool isFresh, TimePoint now);

/// Applies the reports of targets that changed in this step and adopts or stops tasks that no attempt on the board has.
void applyReports(AttemptEdits &work);

/// True if the target is out of this host's hands for so long that its tasks no longer count.
bool isLeaseLapsed(const Blackboard &board, const TargetId &target);

/// Ends members whose target this host lost hold of; work that is not idempotent stays in doubt as long as the target may keep it.
void applyLapsedLeases(AttemptEdits &work, const AttemptId &id);

}
