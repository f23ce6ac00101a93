#pragma once

#include "core/message.h"
#include "core/target.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// Faults that are switched on and off from outside.
struct TargetFaults
{
    bool failsEverything = false; ///< Every task that starts fails at once.
    bool isPaused = false;        ///< Tasks stand still; calls are handled when the pause ends.
    bool isSilent = false;        ///< Calls have no effect and get no answer; tasks go on.
    bool losesAnswers = false;    ///< Calls have their effect, but get no answer.
    bool isLeaving = false;       ///< The worker reports that it is about to go.
    Duration lag{0};              ///< Ends of tasks are reported that much later. Starts are listed at once.

    friend bool operator==(const TargetFaults &, const TargetFaults &) = default;
};

/// A task on the worker, with what only the worker knows.
struct ModelTask
{
    ReportedTask reported;
    int milliCpu = 0;
    int memoryMb = 0;
    std::optional<TimePoint> reservationExpiry;
    Duration runTime{0};    ///< True run time.
    Duration workDone{0};   ///< Up to `workingSince`.
    TimePoint workingSince; ///< Start of the present stretch of work at one speed.
    int percent = 100;      ///< Speed.
    std::string result;     ///< To be reported at the end.
    bool isFailing = false;
    std::optional<TimePoint> checkpointDone; ///< A stop with a checkpoint is under way until then.
    std::optional<TimePoint> endedAt;
    bool isEndReported = false; ///< False while the end is hidden by the lag.

    friend bool operator==(const ModelTask &, const ModelTask &) = default;
};

/// A lease call whose answer is held back until a task changes state or the wait is over.
struct PendingPoll
{
    TargetCall call;
    TimePoint answerBy;

    friend bool operator==(const PendingPoll &, const PendingPoll &) = default;
};

/// Attempt and member.
using TaskKey = std::pair<AttemptId, int>;

/// One worker of the platform.
struct TargetModel
{
    TargetId id;
    int acceleratorCount = 8;
    int milliCpu = 32'000;
    int memoryMb = 131'072;
    Duration checkpointDuration{200};
    Duration orphanPeriod{600'000}; ///< How long tasks run on after the lease expired.
    HostId holder;                  ///< Empty after a release.
    long long tasksVersion = 0;     ///< Of `reportedTasks`; zero before the first report. Survives a restart.
    std::vector<ReportedTask> reportedTasks;
    Epoch epoch = 0; ///< Highest ever granted; survives a restart.
    TimePoint leaseExpiry;
    std::map<TaskKey, ModelTask> tasks;
    std::vector<PendingPoll> polls;
    std::vector<TargetCall> callsDuringPause;
    std::optional<TimePoint> pausedSince;
    long long changes = 0;         ///< Changes of tasks that the holder did not make itself.
    long long answeredChanges = 0; ///< Those that the last lease answer has shown.
    TargetFaults faults;

    friend bool operator==(const TargetModel &, const TargetModel &) = default;
};

/// An answer and the host that it goes to; call ids are unique within one host only.
struct TargetAnswer
{
    HostId to;
    TargetReply reply;

    friend bool operator==(const TargetAnswer &, const TargetAnswer &) = default;
};

struct TargetModelStep
{
    TargetModel model;
    std::vector<TargetAnswer> answers;

    friend bool operator==(const TargetModelStep &, const TargetModelStep &) = default;
};

/// Handles one call. A lease call with a wait may be answered by a later step, a call under a fault never.
TargetModelStep receiveCall(TargetModel model, const TargetCall &call, TimePoint now);

/// Lets the time pass: reservations expire, tasks end, held polls are answered.
TargetModelStep advance(TargetModel model, TimePoint now);

/// Switches the faults. The end of a pause handles the calls that came meanwhile.
TargetModelStep switchFaults(TargetModel model, const TargetFaults &faults, TimePoint now);

/// The worker after a crash and restart: tasks and lease are gone, the highest granted epoch is kept.
TargetModel restarted(TargetModel model);

/// When `advance` has something to do next.
std::optional<TimePoint> nextChange(const TargetModel &model);

}
