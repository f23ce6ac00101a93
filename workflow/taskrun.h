#pragma once

#include "core/event.h"
#include "core/resources.h"
#include "core/workflowprogress.h"
#include "targetorder.h"

#include <optional>
#include <string>

namespace sequoiastand
{

enum class RunStep
{
    Recording,   ///< The run waits until its record is stored.
    Starting,    ///< The start order has been sent and may have reached the target.
    Running,     ///< The target has confirmed that the run was started.
    Unconfirmed, ///< A former owner has recorded the run; the target's lists show whether it runs.
    Ending,      ///< The run has ended or was stopped; the target has yet to list the end or to confirm that the run is gone.
};

/// The newest run of a task, from its planning until it is certain that its target does not run it.
struct TaskRun
{
    TaskId task;
    int number = 0;
    TargetInstance place;
    Resources occupiedResources;
    RunStep step = RunStep::Recording;
    TimePoint stepSince;                      ///< When the run entered its step, or when its stop was requested.
    unsigned long long recordedInVersion = 0; ///< Version of the progress that must be stored before the start order is sent.
    std::optional<CallId> call;               ///< Start or stop order under way.
    std::optional<TimePoint> blockedSince;    ///< Since when the start of a recorded run waits for its target to answer.
    std::optional<TimePoint> firstBlockedAt;  ///< When the start of the recorded run first had to wait for its target.
    TimePoint startSentAt;                    ///< Send time of the newest start order.
    TimePoint retryAt;
    int starts = 0;             ///< Number of start orders sent.
    int unansweredOrders = 0;   ///< Number of consecutive orders without an answer.
    bool mayArriveLate = false; ///< A start was not answered, so even the target's next instance may execute it.
    /// Latest deadline that this owner sent with a start, on the clock of `place`; no value if a start with another deadline may be under way.
    std::optional<TargetClock> startDeadline;
    bool isStopCall = false; ///< `call` is a stop order.
    bool isStopWanted = false;
    bool isGangBroken = false;          ///< The failure of another member has already been counted for the gang.
    std::optional<TimePoint> stoppedAt; ///< When the target answered the stop order.
    std::string resumedFrom;            ///< Checkpoint that was sent with the start.
    std::string checkpoint;
    int percent = 0;
    std::optional<TimePoint> firstListedAt;
    int firstPercent = 0;              ///< Progress at `firstListedAt`.
    TimePoint listedAt;                ///< When the target last listed the run.
    bool isListed = false;             ///< This instance of the target has listed the run.
    bool isFiller = false;             ///< The task uses what other work leaves free, and is slowed down where it disturbs serving tasks.
    Duration responseTimeTarget{0};    ///< Upper bound for the tail of the task's response times; zero if it is not a serving task.
    int load = 0;                      ///< Load from the newest list that names the run.
    std::optional<int> orderedPercent; ///< Pace in percent that was ordered last; no value if this owner does not know it.
    std::optional<CallId> paceCall;
    TimePoint paceRetryAt;
    TimePoint paceUncertainUntil;          ///< Until then, a pace order that was not answered may still take effect and replace a newer one.
    std::optional<TimePoint> paceRepeatAt; ///< When the ordered pace is ordered again because of that.

    friend bool operator==(const TaskRun &, const TaskRun &) = default;
};

}
