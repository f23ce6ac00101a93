#include "controllers.h"
#include "eligibility.h"
#include "progresschange.h"
#include "restartpause.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Extra time for which the records of an ended workflow are kept after its state can no longer be queried.
constexpr Duration retentionMargin{30'000};

// Limit on the tasks of all open occurrences of a workflow, which keeps the progress record of a workflow with thousands of occurrences far below the store's
// maximum value size. An occurrence that has more tasks than this on its own begins only while no other occurrence is open.
constexpr int maxOpenTasks = 2'000;

// Time per run between two searches for runs of ended workflows. Checking one run takes about 0.1 us, so the searches take about a thousandth of a core. The runs
// of a workflow that ends are stopped at once; the search finds those that a former owner left running.
constexpr std::chrono::microseconds scanPausePerRun{100};

Duration runScanPause(const WorkflowBoard &board)
{
    return std::chrono::duration_cast<Duration>(scanPausePerRun * static_cast<int>(board.runs.size()));
}

int taskCount(const WorkflowSpecification &specification)
{
    const auto counts = specification.steps | std::views::transform(&StepSpecification::taskCount);
    return std::accumulate(counts.begin(), counts.end(), 0);
}

void endWorkflow(WorkflowBoard &board, const RequestId &id, WorkflowState state, const std::string &reason)
{
    changeProgress(board, id, [&](WorkflowProgress &progress) {
        progress.state = state;
        progress.endedAt = board.wallNow;
    });
    board.workflows.update(id, [&](WorkflowEntry &entry) { entry.endKnownAt = board.now; });
    const auto workflow = board.workflows.find(id)->workflow;
    const auto &queue = queueOf(board, *workflow);
    logDecision(board,
                "endWorkflow",
                queue.id.value,
                id.value,
                std::string(name(state)) + ": " + reason + ", " + std::to_string((board.wallNow - workflow->acceptedAt).count())
                    + " ms after acceptance, objective " + std::to_string(objectiveOf(*workflow, queue).count()) + " ms, priority "
                    + std::to_string(queue.priority));
    count(board.counters, "workflowsEnded", std::string(name(state)));
    stopRuns(board, runsOf(board, id), RunStopCause::WorkflowEnded, std::string(name(state)));
    forgetRestartPauses(board, id);
}

/// Adds the occurrences that are due. They are not stored at this point, because the next owner can derive them again.
void beginOccurrences(WorkflowBoard &board, const RequestId &id)
{
    const auto *present = board.workflows.find(id);
    const auto &workflow = *present->workflow;
    const int occurrences = occurrenceCount(workflow.specification.schedule);
    const int tasks = taskCount(workflow.specification);
    std::optional<WorkflowEntry> changed;
    for (int occurrence = present->progress.finishedOccurrences; occurrence < occurrences; ++occurrence) {
        const auto due = dueTime(workflow, occurrence) - board.self.limits.maxStartLead;
        const bool isTimed = workflow.specification.schedule.count > 0;
        if (isTimed && due > board.wallNow) {
            subscribeNoLaterThan(board.timers, "occurrence", board.now + (due - board.wallNow));
            break;
        }
        if (present->progress.occurrences.contains(occurrence) || isOccurrenceFinished(present->progress, occurrence)) {
            continue;
        }
        const auto open = static_cast<int>((changed ? *changed : *present).progress.occurrences.size());
        if (open > 0 && (open + 1) * tasks > maxOpenTasks) {
            break; // The occurrence begins once another one has finished.
        }
        if (!changed) {
            changed = *present;
        }
        changed->progress.occurrences.emplace(occurrence, newOccurrence(workflow.specification));
    }
    if (changed) {
        board.workflows.put(id, *std::move(changed));
        board.isPlanWanted = true;
    }
}

void finishOccurrences(WorkflowBoard &board, const RequestId &id)
{
    std::vector<int> finished;
    for (const auto &[number, occurrence] : board.workflows.find(id)->progress.occurrences) {
        if (isFinished(occurrence)) {
            finished.push_back(number);
        }
    }
    for (const int number : finished) {
        changeProgress(board, id, [&](WorkflowProgress &progress) { progress = withFinishedOccurrence(std::move(progress), number); });
    }
    const auto *entry = board.workflows.find(id);
    if (entry->progress.finishedOccurrences >= occurrenceCount(entry->workflow->specification.schedule)) {
        endWorkflow(board, id, WorkflowState::Completed, "all tasks have finished");
    }
}

bool hasFailedTooOften(const WorkflowEntry &entry, int maxAttempts)
{
    const auto &steps = entry.workflow->specification.steps;
    return std::ranges::any_of(entry.progress.occurrences, [&](const auto &row) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            const bool hasFailed = std::ranges::any_of(row.second.steps[step], [&](const TaskProgress &task) { return task.failedRuns >= maxAttempts; });
            if (hasFailed && !steps[step].isLasting) {
                return true;
            }
        }
        return false;
    });
}

void advance(WorkflowBoard &board, const RequestId &id)
{
    const auto *entry = board.workflows.find(id);
    if (entry == nullptr || hasEnded(entry->progress.state)) {
        return;
    }
    if (entry->isCancelRequested) {
        endWorkflow(board, id, WorkflowState::Cancelled, "its caller has cancelled it");
        return;
    }
    if (hasFailedTooOften(*entry, queueOf(board, *entry->workflow).maxAttempts)) {
        endWorkflow(board, id, WorkflowState::Failed, "a task has failed as often as its queue allows");
        return;
    }
    finishOccurrences(board, id);
    entry = board.workflows.find(id);
    if (!hasEnded(entry->progress.state)) {
        beginOccurrences(board, id);
    }
}

/// Stops runs of ended workflows that a former owner left running, or that were recorded while the workflow ended.
void stopOrphanedRuns(WorkflowBoard &board)
{
    std::vector<TaskRun> orphaned;
    for (const auto &[task, run] : board.runs.rows()) {
        const auto *entry = board.workflows.find(task.step.workflow);
        if (!run.isStopWanted && run.step != RunStep::Ending && entry != nullptr && hasEnded(entry->progress.state)) {
            orphaned.push_back(run);
        }
    }
    for (const auto &run : orphaned) {
        stopRuns(board, {run}, RunStopCause::WorkflowEnded, "the run outlived its workflow");
    }
}

void removeOldWorkflows(WorkflowBoard &board)
{
    for (const auto &[id, entry] : board.workflows.rows()) {
        const auto retention = board.self.limits.statusRetention + retentionMargin;
        if (entry.endKnownAt && board.now - *entry.endKnownAt > retention && entry.storedVersion == entry.version && runsOf(board, id).empty()) {
            board.chain.forgotten.insert(id);
        }
    }
}

}

void advanceWorkflows(WorkflowBoard &board)
{
    if (!hasAuthority(board) || !board.load.hasIntake) {
        return;
    }
    const auto &source = isDue(board.timers, "occurrence") ? board.workflows.open() : board.workflows.changes();
    const std::vector<RequestId> ids(source.begin(), source.end());
    std::ranges::for_each(ids, [&](const RequestId &id) { advance(board, id); });
    if (board.now >= board.nextRunScanAt) {
        board.nextRunScanAt = board.now + runScanPause(board);
        stopOrphanedRuns(board);
    }
    if (isDue(board.timers, "forget")) {
        removeOldWorkflows(board);
    }
    subscribeNoLaterThan(board.timers, "forget", board.now + retentionMargin);
}

}
