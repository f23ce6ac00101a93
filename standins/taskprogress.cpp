#include "taskprogress.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sequoiastand
{

namespace
{

/// Run time of a task whose job declares no run time.
constexpr Duration defaultRunTime{1'000};

Duration workAt(const ModelTask &task, TimePoint now)
{
    return std::min(task.runTime, task.workDone + (now - task.workingSince) * task.percent / 100);
}

void endTask(ModelTask &task, TaskState state, const std::string &result, TimePoint at)
{
    task.workDone = workAt(task, at);
    task.workingSince = at;
    task.reported.state = state;
    task.reported.result = result;
    task.checkpointDone = std::nullopt;
    task.endedAt = at;
}

/// Time at which the work is complete at the current speed.
std::optional<TimePoint> workDoneAt(const ModelTask &task)
{
    if (task.percent <= 0) {
        return std::nullopt;
    }
    // Rounded up, so that the work is complete at that time.
    return task.workingSince + ((task.runTime - task.workDone) * 100 + Duration{task.percent - 1}) / task.percent;
}

}

void startTask(ModelTask &task, const JobSpecification &specification, Duration checkpointedWork, bool failsAtOnce, TimePoint now)
{
    task.reported.state = TaskState::Running;
    task.reported.specification = specification;
    task.reported.checkpointedWork = checkpointedWork;
    task.reservationExpiry = std::nullopt;
    task.runTime = specification.declaredRunTime > Duration{0} ? specification.declaredRunTime : defaultRunTime;
    task.result = "done";
    const auto payload = nlohmann::json::parse(specification.payload, nullptr, false);
    if (payload.is_object()) {
        const auto runMs = payload.find("runMs");
        if (runMs != payload.end() && runMs->is_number_unsigned()) {
            task.runTime = Duration{std::min<std::uint64_t>(runMs->get<std::uint64_t>(), 1'000'000'000'000)};
        }
        const auto text = [&payload](const char *field, const std::string &otherwise) {
            const auto found = payload.find(field);
            return found != payload.end() && found->is_string() ? found->get<std::string>() : otherwise;
        };
        task.isFailing = text("outcome", "finish") == "fail";
        task.result = text("result", task.isFailing ? "failed" : "done");
    }
    if (failsAtOnce) {
        task.isFailing = true;
        task.result = "worker fails everything";
        task.runTime = Duration{0};
    }
    task.workDone = std::min(checkpointedWork, task.runTime);
    task.workingSince = now;
}

void stopTask(ModelTask &task, Duration checkpointDuration, TimePoint now)
{
    const bool takesCheckpoint = checkpointDuration > Duration{0} && task.reported.specification && task.reported.specification->isCheckpointable;
    if (!takesCheckpoint) {
        endTask(task, TaskState::Stopped, "stopped", now);
    } else if (!task.checkpointDone) {
        throttleTask(task, 0, now);
        task.checkpointDone = now + checkpointDuration;
    }
}

void throttleTask(ModelTask &task, int percent, TimePoint now)
{
    if (task.checkpointDone) {
        return;
    }
    task.workDone = workAt(task, now);
    task.workingSince = now;
    task.percent = percent;
}

void resumeTask(ModelTask &task, Duration pause)
{
    if (task.endedAt) {
        return;
    }
    task.workingSince += pause;
    if (task.checkpointDone) {
        *task.checkpointDone += pause;
    }
}

void advanceTask(ModelTask &task, TimePoint now)
{
    if (task.endedAt || task.reported.state != TaskState::Running) {
        return;
    }
    if (task.checkpointDone) {
        if (*task.checkpointDone <= now) {
            task.reported.checkpointedWork = task.workDone;
            endTask(task, TaskState::Stopped, "stopped with a checkpoint", *task.checkpointDone);
        }
        return;
    }
    if (const auto end = workDoneAt(task); end && *end <= now) {
        endTask(task, task.isFailing ? TaskState::Failed : TaskState::Finished, task.result, *end);
    }
}

ReportedTask reportOf(const ModelTask &task)
{
    auto reported = task.reported;
    if (task.endedAt && !task.isEndReported) {
        reported.state = TaskState::Running;
        reported.result.clear();
    }
    return reported;
}

std::optional<TimePoint> nextChange(const ModelTask &task, Duration lag)
{
    if (task.endedAt) {
        return task.isEndReported ? std::nullopt : std::optional{*task.endedAt + lag};
    }
    if (task.reported.state == TaskState::Reserved) {
        return task.reservationExpiry;
    }
    return task.checkpointDone ? task.checkpointDone : workDoneAt(task);
}

}
