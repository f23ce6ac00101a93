#pragma once

#include "identifier.h"
#include "job.h"
#include "target.h"
#include "time.h"

#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

enum class MemberStep
{
    Reserving,
    Reserved,
    Starting,
    InDoubt, ///< The answer to a call was lost; the target's next report shows whether the call had an effect.
    Running,
    Stopping,
    Ended,
};

/// One task of an attempt's gang, on its target.
struct AttemptMember
{
    int index = 0;
    TargetId target;
    AcceleratorMask accelerators = 0;
    MemberStep step = MemberStep::Reserving;
    std::optional<CallId> callInFlight;
    TimePoint changedAt;     ///< Time of the last change of `step` or `callInFlight`.
    bool mayHaveRun = false; ///< True if a start was sent and has not certainly been refused.
    Duration checkpointedWork{0};
    bool isLost = false;          ///< True if the task has ended and no report says how.
    std::optional<TaskState> end; ///< Finished, Failed or Stopped, once the target has reported it.
    std::string result;

    friend bool operator==(const AttemptMember &, const AttemptMember &) = default;
};

enum class AttemptStep
{
    Reserving,
    Recording, ///< The start waits until the store holds the job record.
    Starting,
    Running,
    Stopping,
    Ended,
};

/// Why an attempt is being stopped.
enum class StopCause
{
    None,
    Cancelled,
    Preempted,
    Moved,
    MemberLost,
    ReservationFailed,
    ZoneOut,
};

/// One try to run the gang of a job in this host's zone, from the reservation of its targets until all its tasks have ended.
struct Attempt
{
    AttemptId id;
    AttemptStep step = AttemptStep::Reserving;
    StopCause stopCause = StopCause::None;
    bool skipsCheckpoint = false;       ///< True if the stop does not wait for a new checkpoint.
    std::vector<AttemptMember> members; ///< Members in order of target id, which is also the order of reservation.
    TimePoint stepDeadline;
    std::optional<TimePoint> runningSince;
    Duration checkpointedWork{0};
    bool isBorrowed = false;
    bool isAdopted = false; ///< True if the attempt was restored from reports of targets after a change of owner.
    int throttlePercent = 100;

    friend bool operator==(const Attempt &, const Attempt &) = default;
};

}
