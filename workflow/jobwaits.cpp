#include "jobwaits.h"

#include "eligibility.h"
#include "progresschange.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

// While a step waits for room, placement passes follow one another within 200 ms, or a few times as long on an owner with little processor time.
constexpr Duration longestPlanPause{1'000};

std::string text(Duration duration)
{
    return std::to_string(duration.count()) + " ms";
}

auto runsInTable(const WorkflowBoard &board, const RequestId &workflow)
{
    const auto &rows = board.runs.rows();
    return std::ranges::subrange(rows.lower_bound({{workflow, 0, 0}, 0}), rows.end()) | std::views::values
           | std::views::take_while([workflow](const TaskRun &run) { return run.task.step.workflow == workflow; });
}

WallTime dueOf(const Workflow &workflow, int occurrence)
{
    return std::max(dueTime(workflow, occurrence), workflow.acceptedAt);
}

std::string commitState(const WorkflowBoard &board)
{
    const auto &chain = board.chain;
    if (chain.batch) {
        return "a batch has had no answer for " + text(board.now - chain.batch->sentAt) + (chain.error.empty() ? "" : ", last error: " + chain.error);
    }
    const auto since = waitingSince(chain.dirty);
    return since ? "the first of " + std::to_string(chain.dirty.places.size()) + " workflows has waited for a batch for " + text(board.now - *since)
                 : "no batch is under way";
}

std::string recordedState(const WorkflowBoard &board, const TaskRun &run)
{
    if (!isStored(board, run.task.step.workflow, run.recordedInVersion)) {
        return "its record is not stored: " + commitState(board);
    }
    if (run.blockedSince) {
        return "its target has not answered for " + text(board.now - *run.blockedSince);
    }
    const auto block = placementBlock(board);
    return "its start is not sent" + (block.empty() ? ", " + std::to_string(board.runCalls.size()) + " orders are under way" : ": " + block);
}

std::string stateOf(const WorkflowBoard &board, const TaskRun &run)
{
    if (run.isStopWanted && !run.stoppedAt) {
        return "its stop has not been answered, " + std::to_string(run.unansweredOrders) + " orders failed";
    }
    switch (run.step) {
    case RunStep::Recording:
        return recordedState(board, run);
    case RunStep::Starting:
        return "its start has not been answered, " + std::to_string(run.starts) + " sent";
    case RunStep::Running:
    case RunStep::Ending:
        return "it has ended or was stopped, and its target has not listed it";
    case RunStep::Unconfirmed:
        return "a former owner recorded it, and its target has not said whether it runs";
    }
    return {};
}

std::string describeRun(const WorkflowBoard &board, const TaskRun &run)
{
    return "run " + std::to_string(run.number) + " of " + toString(run.task) + " on " + run.place.target.value + " for " + text(board.now - run.stepSince)
           + ": " + stateOf(board, run);
}

/// Earliest time at which a task of the step may start; no value if one of them may start now.
std::optional<TimePoint> pausedUntil(const WorkflowBoard &board, const StepId &id, const StepProgress &tasks)
{
    std::optional<TimePoint> earliest;
    for (int index = 0; std::cmp_less(index, tasks.size()); ++index) {
        const bool isGang = findStep(board, id)->isGang;
        const auto pause = board.restartPauses.find({id, isGang ? 0 : index});
        if (tasks[static_cast<std::size_t>(index)].isFinished) {
            continue;
        }
        if (pause == board.restartPauses.end() || pause->second.until <= board.now) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(pause->second.until), pause->second.until);
    }
    return earliest;
}

/// The wait of a step that is ready and has no runs.
JobWait readyStepWait(const WorkflowBoard &board, const StepId &id, const StepProgress &tasks)
{
    if (const auto paused = pausedUntil(board, id, tasks)) {
        return {"step " + std::to_string(id.step) + " starts again in " + text(*paused - board.now) + " because its runs ended soon after their starts"};
    }
    if (const auto block = placementBlock(board); !block.empty()) {
        return {block};
    }
    const auto lastPlanAt = std::max(board.lastPlanAt, board.ownership.actingSince);
    const bool isConsidered = board.now - lastPlanAt < longestPlanPause;
    return {"last placement pass " + text(board.now - lastPlanAt) + " ago", isConsidered};
}

/// The wait of a workflow without runs.
JobWait waitWithoutRuns(const WorkflowBoard &board, const WorkflowEntry &entry)
{
    const auto &specification = entry.workflow->specification;
    std::string blocked;
    std::optional<JobWait> wait;
    for (const auto &[occurrence, progress] : entry.progress.occurrences) {
        for (int step = 0; std::cmp_less(step, progress.steps.size()); ++step) {
            const auto &tasks = progress.steps[static_cast<std::size_t>(step)];
            if (isFinished(tasks)) {
                continue;
            }
            if (!isStepReady(specification, progress, step)) {
                blocked = "step " + std::to_string(step) + " of occurrence " + std::to_string(occurrence) + " waits for an earlier step";
                continue;
            }
            auto found = readyStepWait(board, {entry.workflow->id, occurrence, step}, tasks);
            if (found.isInPlacement || !wait) {
                wait = std::move(found);
            }
        }
    }
    if (wait || !blocked.empty()) {
        return wait ? *std::move(wait) : JobWait{blocked};
    }
    const std::string reason =
        entry.progress.occurrences.empty() ? "the occurrence that is due has not begun" : "its tasks have finished and its end is not decided";
    const auto block = placementBlock(board);
    return {block.empty() ? reason : reason + ", " + block};
}

}

std::string placementBlock(const WorkflowBoard &board)
{
    if (!hasAuthority(board)) {
        return "the owner has had no authority for " + text(board.now - board.ownership.suspendedSince.value_or(board.ownership.authorityUntil));
    }
    const auto &load = board.load;
    if (!load.hasProgress || !load.hasIntake || !load.hasTargets || !load.hasCommitMark) {
        return "the owner has not read the domain for " + text(board.now - board.ownership.ownedSince)
               + (load.error.empty() ? "" : ", last error: " + load.error);
    }
    if (!isProofFresh(board)) {
        const auto &view = board.view;
        return "the configuration has not been proved for " + text(board.now - view.provenAt.value_or(board.ownership.ownedSince))
               + (view.proofError.empty() ? "" : ", last error: " + view.proofError);
    }
    return {};
}

std::optional<JobWait> findJobWait(const WorkflowBoard &board, const RequestId &workflow)
{
    const auto &entry = *board.workflows.find(workflow);
    const int first = entry.progress.finishedOccurrences;
    const bool isOver = hasEnded(entry.progress.state) || first >= occurrenceCount(entry.workflow->specification.schedule);
    if (isOver || dueOf(*entry.workflow, first) > board.wallNow) {
        return std::nullopt;
    }
    const auto runs = runsInTable(board, workflow);
    if (std::ranges::any_of(runs, isRunning)) {
        return std::nullopt;
    }
    if (entry.isCancelRequested) {
        return JobWait{"its caller has cancelled it"};
    }
    const auto oldest = std::ranges::min_element(runs, {}, &TaskRun::stepSince);
    return oldest == runs.end() ? waitWithoutRuns(board, entry) : JobWait{describeRun(board, *oldest)};
}

std::optional<TimePoint> waitsSince(const WorkflowBoard &board, const WorkflowEntry &entry)
{
    if (entry.progress.state != WorkflowState::Queued) {
        return std::nullopt;
    }
    return board.now - std::max(Duration{0}, board.wallNow - dueOf(*entry.workflow, entry.progress.finishedOccurrences));
}

Duration oldestJobWait(const WorkflowBoard &board)
{
    const auto since = board.waitingJobs | std::views::values | std::views::transform(&WaitReport::since);
    return since.empty() ? Duration{0} : board.now - std::ranges::min(since);
}

}
