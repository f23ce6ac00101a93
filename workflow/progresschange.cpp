#include "progresschange.h"

#include "runprogress.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <utility>

namespace sequoiastand
{

namespace
{

std::vector<TaskRun> runsBetween(const WorkflowBoard &board, const TaskId &first, const TaskId &last)
{
    const auto &rows = board.runs.rows();
    std::vector<TaskRun> found;
    for (auto row = rows.lower_bound(first); row != rows.end() && row->first <= last; ++row) {
        found.push_back(row->second);
    }
    return found;
}

constexpr int anyNumber = std::numeric_limits<int>::max();

/// The progress of a step that is known to be in `progress`.
StepProgress &stepOf(WorkflowProgress &progress, const StepId &step)
{
    return progress.occurrences.at(step.occurrence).steps.at(static_cast<std::size_t>(step.step));
}

LostRun lostRunOf(const TaskId &task, int run)
{
    return {task.step.occurrence, task.step.step, task.index, run};
}

/// Writes a change of the workflow's progress and marks it for the next commit.
void writeProgress(WorkflowBoard &board, const RequestId &workflow, const std::function<void(WorkflowProgress &)> &change)
{
    board.workflows.update(workflow, [&](WorkflowEntry &entry) {
        change(entry.progress);
        ++entry.version;
    });
    enqueue(board.chain.dirty, workflow, board.now);
}

}

void changeProgress(WorkflowBoard &board, const RequestId &workflow, const std::function<void(WorkflowProgress &)> &change)
{
    const auto *present = board.workflows.find(workflow);
    if (present == nullptr) {
        return;
    }
    WorkflowProgress progress = present->progress;
    change(progress);
    if (progress != present->progress) {
        writeProgress(board, workflow, [&](WorkflowProgress &changed) { changed = std::move(progress); });
    }
}

void changeStep(WorkflowBoard &board, const StepId &step, const std::function<void(StepProgress &)> &change)
{
    const auto *entry = board.workflows.find(step.workflow);
    const auto *present = entry == nullptr ? nullptr : findStepProgress(entry->progress, step);
    if (present == nullptr) {
        return;
    }
    StepProgress progress = *present;
    change(progress);
    if (progress != *present) {
        writeProgress(board, step.workflow, [&](WorkflowProgress &changed) { stepOf(changed, step) = std::move(progress); });
    }
}

void changeTask(WorkflowBoard &board, const TaskId &task, const std::function<void(TaskProgress &)> &change)
{
    const auto *entry = board.workflows.find(task.step.workflow);
    const auto *present = entry == nullptr ? nullptr : findTask(entry->progress, task);
    if (present == nullptr) {
        return;
    }
    TaskProgress progress = *present;
    change(progress);
    if (progress != *present) {
        writeProgress(board, task.step.workflow, [&](WorkflowProgress &changed) {
            stepOf(changed, task.step).at(static_cast<std::size_t>(task.index)) = std::move(progress);
        });
    }
}

void noteBegun(WorkflowBoard &board, const RequestId &workflow)
{
    const auto *entry = board.workflows.find(workflow);
    if (entry == nullptr || entry->progress.state != WorkflowState::Queued) {
        return;
    }
    board.workflows.update(workflow, [](WorkflowEntry &changed) {
        changed.progress.state = WorkflowState::Running;
        ++changed.version;
    });
    enqueue(board.chain.begun, workflow, board.now);
}

unsigned long long progressVersion(const WorkflowBoard &board, const RequestId &workflow)
{
    const auto *entry = board.workflows.find(workflow);
    return entry == nullptr ? 0 : entry->version;
}

bool isStored(const WorkflowBoard &board, const RequestId &workflow, unsigned long long version)
{
    const auto *entry = board.workflows.find(workflow);
    return entry == nullptr || entry->storedVersion >= version;
}

const StepSpecification *findStep(const WorkflowBoard &board, const StepId &step)
{
    const auto *entry = board.workflows.find(step.workflow);
    if (entry == nullptr || !std::cmp_less(step.step, entry->workflow->specification.steps.size())) {
        return nullptr;
    }
    return &entry->workflow->specification.steps[static_cast<std::size_t>(step.step)];
}

std::vector<TaskRun> runsOf(const WorkflowBoard &board, const StepId &step)
{
    return runsBetween(board, {step, 0}, {step, anyNumber});
}

std::vector<TaskRun> runsOf(const WorkflowBoard &board, const RequestId &workflow)
{
    return runsBetween(board, {{workflow, 0, 0}, 0}, {{workflow, anyNumber, anyNumber}, anyNumber});
}

std::vector<TaskRun> startedRunsOn(const WorkflowBoard &board, const TargetId &target)
{
    std::vector<TaskRun> started;
    for (const auto &task : board.runs.useOf(target).tasks) {
        const auto *run = board.runs.find(task);
        if (run->step != RunStep::Recording) {
            started.push_back(*run);
        }
    }
    return started;
}

void putRun(WorkflowBoard &board, const TaskRun &run)
{
    board.runs.put(run);
}

void removeRun(WorkflowBoard &board, const TaskRun &run)
{
    board.runs.erase(run.task);
    board.isPlanWanted = true;
    changeTask(board, run.task, [&](TaskProgress &task) {
        if (task.lastRun == run.number) {
            task.place.reset();
        }
    });
}

void noteLostRun(WorkflowBoard &board, const TaskRun &run)
{
    const auto *step = findStep(board, run.task.step);
    if (step != nullptr && !step->isLasting) {
        writeProgress(board, run.task.step.workflow, [&](WorkflowProgress &progress) { progress.lostRuns.insert(lostRunOf(run.task, run.number)); });
    }
}

bool takeLostRun(WorkflowBoard &board, const TaskId &task, int run)
{
    const auto *entry = board.workflows.find(task.step.workflow);
    if (entry == nullptr || !entry->progress.lostRuns.contains(lostRunOf(task, run))) {
        return false;
    }
    writeProgress(board, task.step.workflow, [&](WorkflowProgress &progress) { progress.lostRuns.erase(lostRunOf(task, run)); });
    return true;
}

std::string_view name(RunStopCause cause)
{
    static constexpr std::array<std::string_view, 5> names{"workflowEnded", "preempted", "gangBroken", "startUnanswered", "finishedBefore"};
    return names.at(static_cast<std::size_t>(cause));
}

void stopRuns(WorkflowBoard &board, const std::vector<TaskRun> &runs, RunStopCause cause, const std::string &detail, Duration delay)
{
    std::vector<TaskRun> stopped;
    std::ranges::copy_if(runs, std::back_inserter(stopped), [](const TaskRun &run) { return !run.isStopWanted && !run.stoppedAt; });
    if (stopped.empty()) {
        return;
    }
    const auto &first = stopped.front();
    const auto *step = findStep(board, first.task.step);
    double discarded = 0;
    for (const auto &run : stopped) {
        discarded += step == nullptr ? 0 : lostWork(board, run, *step);
    }
    const auto coreSeconds = static_cast<long long>(discarded);
    logDecision(board,
                "stopRuns",
                first.place.target.value,
                stopped.size() == 1 ? toString(first.task) : toString(first.task.step),
                std::string(name(cause)) + ", run " + std::to_string(first.number) + ", " + std::to_string(stopped.size()) + " tasks, discards "
                    + std::to_string(coreSeconds) + " core-seconds: " + detail);
    count(board.counters, "runsStopped", std::string(name(cause)), static_cast<long long>(stopped.size()));
    count(board.counters, "coreSecondsDiscarded", std::string(name(cause)), coreSeconds);
    for (auto &run : stopped) {
        if (run.step == RunStep::Recording) {
            removeRun(board, run);
            continue;
        }
        run.isStopWanted = true;
        run.stepSince = board.now;
        run.retryAt = board.now + delay;
        putRun(board, run);
    }
}

}
