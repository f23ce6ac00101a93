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

/// Faults that tests and the fault interface switch on and off.
struct TargetFaults
{
    bool failsEverything = false; ///< Every task that starts fails at once.
    bool isPaused = false;        ///< Tasks make no progress; calls are handled when the pause ends.
    bool isSilent = false;        ///< Calls take no effect and get no answer; tasks continue.
    bool losesAnswers = false;    ///< Calls take effect, but get no answer.
    bool isLeaving = false;       ///< The worker reports that it is leaving.
    Duration lag{0};              ///< Delay with which ends of tasks are reported; starts are reported at once.

    friend bool operator==(const TargetFaults &, const TargetFaults &) = default;
};

/// A task on the worker, with the state that its reports leave out.
struct ModelTask
{
    ReportedTask reported;
    int milliCpu = 0;
    int memoryMb = 0;
    std::optional<TimePoint> reservationExpiry;
    Duration runTime{0};    ///< Actual run time at full speed.
    Duration workDone{0};   ///< Work done up to `workingSince`.
    TimePoint workingSince; ///< Start of the current period of work at one speed.
    int percent = 100;      ///< Speed in percent of full speed.
    std::string result;     ///< Result that is reported at the end.
    bool isFailing = false;
    std::optional<TimePoint> checkpointDone; ///< When the checkpoint of a stop in progress is complete.
    std::optional<TimePoint> endedAt;
    bool isEndReported = false; ///< False while the lag delays the report of the end.

    friend bool operator==(const ModelTask &, const ModelTask &) = default;
};

/// A lease call whose answer is deferred until a task changes state or its wait ends.
struct PendingPoll
{
    TargetCall call;
    TimePoint answerBy;

    friend bool operator==(const PendingPoll &, const PendingPoll &) = default;
};

/// Key of a task: its attempt and the member's index.
using TaskKey = std::pair<AttemptId, int>;

/// Model of one worker of the platform.
struct TargetModel
{
    TargetId id;
    int acceleratorCount = 8;
    int milliCpu = 32'000;
    int memoryMb = 131'072;
    Duration checkpointDuration{200};
    Duration orphanPeriod{600'000}; ///< How long tasks continue after the lease has expired.
    HostId holder;                  ///< Host that holds the lease; empty after a release.
    long long tasksVersion = 0;     ///< Version of `reportedTasks`; zero before the first report. Kept across restarts.
    std::vector<ReportedTask> reportedTasks;
    Epoch epoch = 0; ///< Highest epoch ever granted; kept across restarts.
    TimePoint leaseExpiry;
    std::map<TaskKey, ModelTask> tasks;
    std::vector<PendingPoll> polls;
    std::vector<TargetCall> callsDuringPause;
    std::optional<TimePoint> pausedSince;
    long long changes = 0;         ///< Number of task changes that the holder did not cause.
    long long answeredChanges = 0; ///< Value of `changes` that the last lease answer reported.
    TargetFaults faults;

    friend bool operator==(const TargetModel &, const TargetModel &) = default;
};

/// An answer and its destination host; call ids are unique within one host only.
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

/// Handles one call. A lease call with a wait may be answered by a later step; a fault may suppress the answer.
TargetModelStep receiveCall(TargetModel model, const TargetCall &call, TimePoint now);

/// Advances the model to the given time: expires reservations, ends tasks and answers pending polls.
TargetModelStep advance(TargetModel model, TimePoint now);

/// Sets the faults. The end of a pause handles the calls that arrived during it.
TargetModelStep switchFaults(TargetModel model, const TargetFaults &faults, TimePoint now);

/// The worker after a crash and restart: tasks and lease are lost, the highest granted epoch is kept.
TargetModel restarted(TargetModel model);

/// Time of the next change that `advance` makes.
std::optional<TimePoint> nextChange(const TargetModel &model);

}
