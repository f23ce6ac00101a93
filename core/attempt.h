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
    InDoubt, ///< A call's answer was lost; the target's next report decides.
    Running,
    Stopping,
    Ended,
};

/// One task of a gang on its target.
struct AttemptMember
{
    int index = 0;
    TargetId target;
    AcceleratorMask accelerators = 0;
    MemberStep step = MemberStep::Reserving;
    std::optional<CallId> callInFlight;
    TimePoint changedAt;     ///< When the step or the call in flight last changed.
    bool mayHaveRun = false; ///< A start was sent and not certainly refused.
    Duration checkpointedWork{0};
    bool isLost = false;          ///< Ended without a report of how.
    std::optional<TaskState> end; ///< Finished, Failed or Stopped once the target reported it.
    std::string result;

    friend bool operator==(const AttemptMember &, const AttemptMember &) = default;
};

enum class AttemptStep
{
    Reserving,
    Recording, ///< Waits until the store holds the record that must precede the start.
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

/// A gang on its way to running, running, or on its way out, in this host's zone.
struct Attempt
{
    AttemptId id;
    AttemptStep step = AttemptStep::Reserving;
    StopCause stopCause = StopCause::None;
    bool skipsCheckpoint = false;       ///< The stop does not wait for a new checkpoint.
    std::vector<AttemptMember> members; ///< In order of target id, the order of reservation.
    TimePoint stepDeadline;
    std::optional<TimePoint> runningSince;
    Duration checkpointedWork{0};
    bool isBorrowed = false;
    bool isAdopted = false; ///< Built from targets' reports after a change of owner.
    int throttlePercent = 100;

    friend bool operator==(const Attempt &, const Attempt &) = default;
};

}
