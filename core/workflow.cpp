#include "workflow.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>

namespace sequoiastand
{

namespace
{

// These limits keep sums over all tasks of a workflow within 32 bits, and a record within the maximum value size of the store.
constexpr int maxTasksPerWorkflow = 10'000;
constexpr int maxOccurrences = 10'000;

std::optional<std::string> findStepError(const StepSpecification &step, int number)
{
    if (step.taskCount < 1) {
        return absl::StrCat("step ", number, " has no tasks");
    }
    const auto isEarlier = [number](int other) { return other >= 0 && other < number; };
    if (!std::ranges::all_of(step.after, isEarlier)) {
        return absl::StrCat("step ", number, " depends on a step that is not an earlier one");
    }
    if (step.perTask.milliCpu < 0 || step.perTask.memoryMb < 0 || step.perTask.accelerators < 0) {
        return absl::StrCat("step ", number, " requests a negative amount of a resource");
    }
    return std::nullopt;
}

}

std::string toString(const StepId &step)
{
    return absl::StrCat(step.workflow.value, ".", step.occurrence, ".", step.step);
}

std::string toString(const TaskId &task)
{
    return absl::StrCat(toString(task.step), ".", task.index);
}

std::optional<TaskId> taskIdFromText(std::string_view text)
{
    const std::vector<std::string> parts = absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
    std::array<int, 3> numbers{};
    if (parts.size() != numbers.size() + 1 || parts.front().empty()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < numbers.size(); ++index) {
        if (!absl::SimpleAtoi(parts[index + 1], &numbers.at(index)) || numbers.at(index) < 0) {
            return std::nullopt;
        }
    }
    return TaskId{{{parts.front()}, numbers[0], numbers[1]}, numbers[2]};
}

Resources reservedResources(const StepSpecification &step)
{
    return step.isFiller ? Resources{0, step.perTask.memoryMb, step.perTask.accelerators} : step.perTask;
}

int occurrenceCount(const OccurrenceSchedule &schedule)
{
    return std::max(1, schedule.count);
}

WallTime dueTime(const Workflow &workflow, int occurrence)
{
    const auto &schedule = workflow.specification.schedule;
    return schedule.count == 0 ? workflow.acceptedAt : schedule.firstDue + occurrence * schedule.interval;
}

bool isLasting(const WorkflowSpecification &specification)
{
    return std::ranges::any_of(specification.steps, &StepSpecification::isLasting);
}

std::optional<std::string> findSpecificationError(const WorkflowSpecification &specification)
{
    if (specification.steps.empty() || specification.steps.size() > maxWorkflowSteps) {
        return absl::StrCat("a workflow must have 1 to ", maxWorkflowSteps, " steps");
    }
    if (specification.schedule.count < 0 || specification.schedule.count > maxOccurrences || specification.schedule.interval < Duration{0}) {
        return absl::StrCat("a schedule may have up to ", maxOccurrences, " times");
    }
    long long tasks = 0;
    for (std::size_t number = 0; number < specification.steps.size(); ++number) {
        const auto &step = specification.steps[number];
        if (auto error = findStepError(step, static_cast<int>(number))) {
            return error;
        }
        tasks += step.taskCount;
    }
    if (tasks > maxTasksPerWorkflow) {
        return absl::StrCat("a workflow may have up to ", maxTasksPerWorkflow, " tasks");
    }
    return std::nullopt;
}

Duration criticalPathLength(const WorkflowSpecification &specification)
{
    std::vector<Duration> ends;
    for (const auto &step : specification.steps) {
        Duration begin{0};
        for (const int earlier : step.after) {
            begin = std::max(begin, ends.at(static_cast<std::size_t>(earlier)));
        }
        ends.push_back(begin + step.estimate);
    }
    return ends.empty() ? Duration{0} : std::ranges::max(ends);
}

}
