#include "workflowprogress.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::array<std::string_view, 5> stateNames{"queued", "running", "completed", "failed", "cancelled"};

}

bool hasEnded(WorkflowState state)
{
    return state != WorkflowState::Queued && state != WorkflowState::Running;
}

std::string_view name(WorkflowState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::optional<WorkflowState> workflowStateFromName(std::string_view text)
{
    const auto found = std::ranges::find(stateNames, text);
    if (found == stateNames.end()) {
        return std::nullopt;
    }
    return static_cast<WorkflowState>(found - stateNames.begin());
}

OccurrenceProgress newOccurrence(const WorkflowSpecification &specification)
{
    OccurrenceProgress occurrence;
    occurrence.steps.reserve(specification.steps.size());
    std::ranges::transform(specification.steps, std::back_inserter(occurrence.steps), [](const StepSpecification &step) {
        return StepProgress(static_cast<std::size_t>(step.taskCount));
    });
    return occurrence;
}

bool isFinished(const StepProgress &step)
{
    return std::ranges::all_of(step, &TaskProgress::isFinished);
}

bool isFinished(const OccurrenceProgress &occurrence)
{
    return std::ranges::all_of(occurrence.steps, [](const StepProgress &step) { return isFinished(step); });
}

bool isOccurrenceFinished(const WorkflowProgress &progress, int occurrence)
{
    return occurrence < progress.finishedOccurrences || std::ranges::binary_search(progress.finishedOutOfOrder, occurrence);
}

WorkflowProgress withFinishedOccurrence(WorkflowProgress progress, int occurrence)
{
    progress.occurrences.erase(occurrence);
    std::erase_if(progress.lostRuns, [&](const LostRun &lost) { return lost.occurrence == occurrence; });
    if (isOccurrenceFinished(progress, occurrence)) {
        return progress;
    }
    auto &laterOccurrences = progress.finishedOutOfOrder;
    laterOccurrences.insert(std::ranges::upper_bound(laterOccurrences, occurrence), occurrence);
    while (!laterOccurrences.empty() && laterOccurrences.front() == progress.finishedOccurrences) {
        laterOccurrences.erase(laterOccurrences.begin());
        ++progress.finishedOccurrences;
    }
    return progress;
}

bool isStepReady(const WorkflowSpecification &specification, const OccurrenceProgress &occurrence, int step)
{
    const auto &requiredSteps = specification.steps.at(static_cast<std::size_t>(step)).after;
    return std::ranges::all_of(requiredSteps, [&](int earlier) { return isFinished(occurrence.steps.at(static_cast<std::size_t>(earlier))); });
}

const StepProgress *findStepProgress(const WorkflowProgress &progress, const StepId &step)
{
    const auto found = progress.occurrences.find(step.occurrence);
    if (found == progress.occurrences.end() || !std::cmp_less(step.step, found->second.steps.size())) {
        return nullptr;
    }
    return &found->second.steps[static_cast<std::size_t>(step.step)];
}

const TaskProgress *findTask(const WorkflowProgress &progress, const TaskId &task)
{
    const auto *step = findStepProgress(progress, task.step);
    if (step == nullptr || !std::cmp_less(task.index, step->size())) {
        return nullptr;
    }
    return &(*step)[static_cast<std::size_t>(task.index)];
}

}
