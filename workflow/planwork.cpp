#include "controllers.h"
#include "eligibility.h"
#include "guaranteeshare.h"
#include "placement.h"
#include "progresschange.h"
#include "urgentreserve.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// A target on which this many runs failed since the last one that finished is taken for bad, for this time after the last failure.
constexpr int suspectFailures = 2;
constexpr Duration suspicion{8'000};

// Of the time in which guaranteed work has to begin, for the start itself and for a store that answers slowly.
constexpr Duration reclaimMargin{600};

// What a core of work is worth beside an accelerator when the cost of a stop is weighed.
constexpr double coresPerAccelerator = 8;

constexpr double milliPerCore = 1'000;

std::vector<PlacementTarget> targetsOf(const WorkflowBoard &board)
{
    struct Use
    {
        Resources all;
        Resources stopping;
    };
    std::map<TargetId, Use> uses;
    for (const auto &[task, run] : board.runs.rows()) {
        auto &use = uses[run.place.target];
        use.all = use.all + run.uses;
        if (run.isStopWanted || run.step == RunStep::Ending) {
            use.stopping = use.stopping + run.uses;
        }
    }
    const auto silent = silentZones(board);
    std::vector<PlacementTarget> targets;
    targets.reserve(board.targets.size());
    for (const auto &[id, row] : board.targets.rows()) {
        PlacementTarget target;
        target.id = id;
        target.service = row.registration.service;
        target.rack = row.registration.rack;
        target.labels = row.registration.labels;
        target.capacity = row.registration.capacity;
        const auto &use = uses[id];
        target.free = row.registration.capacity - use.all;
        target.soon = target.free + use.stopping;
        target.takesWork = takesWork(board, row) && !silent.contains(row.registration.availabilityZone);
        target.isSuspect = row.recentFailures >= suspectFailures && row.lastFailureAt && board.now - *row.lastFailureAt < suspicion;
        targets.push_back(std::move(target));
    }
    return targets;
}

/// Accelerators of each service that are kept free for urgent work.
std::map<ServiceId, int> urgentReserves(const WorkflowBoard &board)
{
    std::map<ServiceId, UrgentArrivals> arrivals;
    for (const auto &[id, entry] : board.workflows.rows()) {
        const auto &queue = queueOf(board, *entry.workflow);
        if (queue.priority == 0 && board.wallNow - entry.workflow->acceptedAt <= arrivalWindow) {
            const auto &first = entry.workflow->specification.steps.front();
            auto &arrived = arrivals[queue.service];
            arrived.accelerators += first.taskCount * first.perTask.accelerators;
            ++arrived.steps;
        }
    }
    std::map<ServiceId, int> capacities;
    for (const auto &[id, target] : board.targets.rows()) {
        capacities[target.registration.service] += target.isRegistered ? target.registration.capacity.accelerators : 0;
    }
    std::map<ServiceId, int> reserves;
    for (const auto &[service, arrived] : arrivals) {
        reserves.emplace(service, urgentReserve(arrived, capacities[service], board.self.limits.stopGrace));
    }
    return reserves;
}

/// Time until the workflow must have ended to meet its objective, less the work that is left.
Duration slackOf(const WorkflowBoard &board, const WorkflowEntry &entry, const Queue &queue, int occurrence)
{
    const auto &workflow = *entry.workflow;
    const auto due = std::max(dueTime(workflow, occurrence), workflow.acceptedAt);
    return due + objectiveOf(workflow, queue) - longestChain(workflow.specification) - board.wallNow;
}

std::optional<WaitingStep> waitingStep(const WorkflowBoard &board, const WorkflowEntry &entry, const StepId &id, const StepProgress &progress)
{
    const auto &specification = entry.workflow->specification.steps.at(static_cast<std::size_t>(id.step));
    WaitingStep waiting;
    waiting.step = id;
    for (std::size_t index = 0; index < progress.size(); ++index) {
        const TaskId task{id, static_cast<int>(index)};
        waiting.hasFailed = waiting.hasFailed || progress[index].failedRuns > 0;
        if (const auto *run = board.runs.find(task)) {
            if (specification.isGang) {
                return std::nullopt;
            }
            ++waiting.taken[run->place.target];
        } else if (!progress[index].isFinished) {
            waiting.tasks.push_back(static_cast<int>(index));
        }
    }
    if (waiting.tasks.empty()) {
        return std::nullopt;
    }
    const auto &queue = queueOf(board, *entry.workflow);
    waiting.specification = specification;
    waiting.service = queue.service;
    waiting.organisation = entry.workflow->organisation;
    waiting.priority = queue.priority;
    waiting.waited = std::max(Duration{0}, board.wallNow - std::max(dueTime(*entry.workflow, id.occurrence), entry.workflow->acceptedAt));
    waiting.remaining = specification.estimate;
    waiting.slack = slackOf(board, entry, queue, id.occurrence);
    return waiting;
}

std::vector<WaitingStep> waitingSteps(const WorkflowBoard &board, const std::set<RequestId> &guaranteed)
{
    std::vector<WaitingStep> found;
    for (const auto &[id, entry] : board.workflows.rows()) {
        if (hasEnded(entry.progress.state) || entry.isCancelRequested) {
            continue;
        }
        for (const auto &[occurrence, progress] : entry.progress.occurrences) {
            for (int step = 0; std::cmp_less(step, progress.steps.size()); ++step) {
                const auto &tasks = progress.steps[static_cast<std::size_t>(step)];
                if (isFinished(tasks) || !isStepReady(entry.workflow->specification, progress, step)) {
                    continue;
                }
                if (auto waiting = waitingStep(board, entry, {id, occurrence, step}, tasks)) {
                    waiting->isGuaranteed = guaranteed.contains(id);
                    found.push_back(*std::move(waiting));
                }
            }
        }
    }
    return found;
}

double cores(const Resources &resources)
{
    return resources.milliCpu / milliPerCore + coresPerAccelerator * resources.accelerators;
}

/// Core-seconds that a stop throws away: all of the run, or with checkpoints the work since the last one and the restart.
double lostWork(const WorkflowBoard &board, const TaskRun &run, const StepSpecification &step)
{
    const Duration ran = run.firstSeenRunning ? board.now - *run.firstSeenRunning : Duration{0};
    const Duration lost = step.isCheckpointable ? std::min(ran, board.self.limits.checkpointPeriod + board.self.limits.restoreTime) : ran;
    return cores(run.uses) * std::chrono::duration<double>(lost).count();
}

std::vector<RunningUnit> runningUnits(const WorkflowBoard &board, const std::set<RequestId> &guaranteed)
{
    std::vector<RunningUnit> units;
    for (const auto &[task, run] : board.runs.rows()) {
        const auto *entry = board.workflows.find(task.step.workflow);
        const auto *step = findStep(board, task.step);
        if (entry == nullptr || step == nullptr || run.isStopWanted || run.step == RunStep::Ending || run.step == RunStep::Unconfirmed || step->isLasting) {
            continue;
        }
        const bool joins = step->isGang && !units.empty() && units.back().step == task.step;
        if (!joins) {
            const auto &workflow = *entry->workflow;
            units.push_back({task.step, queueOf(board, workflow).priority, guaranteed.contains(workflow.id), workflow.organisation, step->perTask, {}, 0});
        }
        units.back().tasks.emplace(task.index, run.place.target);
        units.back().lostWork += lostWork(board, run, *step);
    }
    return units;
}

void logPlacement(WorkflowBoard &board, const WorkflowEntry &entry, const StepSpecification &specification, const std::vector<PlannedStart> &tasks)
{
    std::set<TargetId> targets;
    std::set<RackId> racks;
    for (const auto &start : tasks) {
        targets.insert(start.target);
        racks.insert(board.targets.find(start.target)->registration.rack);
    }
    const bool isSpread = specification.isGang && specification.needsOneRack && racks.size() > 1;
    const auto &step = tasks.front().task.step;
    logDecision(board,
                "placeStep",
                tasks.front().target.value,
                toString(step),
                "run " + std::to_string(findTask(entry.progress, tasks.front().task)->lastRun) + " of " + std::to_string(tasks.size()) + " tasks on "
                    + std::to_string(targets.size()) + " targets in " + std::to_string(racks.size()) + " racks"
                    + (isSpread ? " although one rack is wanted, " : ", ") + std::to_string((board.wallNow - entry.workflow->acceptedAt).count())
                    + " ms after acceptance");
}

void startPlanned(WorkflowBoard &board, const std::vector<PlannedStart> &starts)
{
    std::map<StepId, std::vector<PlannedStart>> bySteps;
    for (const auto &start : starts) {
        bySteps[start.task.step].push_back(start);
    }
    for (const auto &[step, tasks] : bySteps) {
        const auto *specification = findStep(board, step);
        changeProgress(board, step.workflow, [&](WorkflowProgress &progress) {
            progress.state = WorkflowState::Running;
            auto &rows = progress.occurrences.at(step.occurrence).steps.at(static_cast<std::size_t>(step.step));
            // The members of a gang share one run number, which must be new for each of them.
            const int newest = std::ranges::max(rows, {}, &TaskProgress::lastRun).lastRun;
            for (const auto &start : tasks) {
                auto &task = rows.at(static_cast<std::size_t>(start.task.index));
                task.lastRun = specification->isGang ? newest + 1 : task.lastRun + 1;
                task.place = board.targets.find(start.target)->registration.life;
            }
        });
        const auto *entry = board.workflows.find(step.workflow);
        for (const auto &start : tasks) {
            const auto *progress = findTask(entry->progress, start.task);
            TaskRun run;
            run.task = start.task;
            run.number = progress->lastRun;
            run.place = *progress->place;
            run.uses = specification->perTask;
            run.since = board.now;
            run.recordedIn = entry->version;
            run.resumedFrom = progress->checkpoint;
            run.checkpoint = progress->checkpoint;
            putRun(board, run);
        }
        logPlacement(board, *entry, *specification, tasks);
    }
}

void stopPlanned(WorkflowBoard &board, const std::vector<PreemptedTask> &stops)
{
    for (const auto &stop : stops) {
        if (const auto *run = board.runs.find(stop.task)) {
            stopRun(board, *run, "preempted for " + toString(stop.inFavourOf));
        }
    }
}

}

void planWork(WorkflowBoard &board)
{
    if (!hasAuthority(board) || !isProofFresh(board) || !board.load.hasIntake || !board.load.hasTargets || !board.load.hasMark) {
        return;
    }
    const bool isRequested = board.isPlanWanted || !board.workflows.changes().empty() || isDue(board.timers, "plan");
    if (!isRequested) {
        return;
    }
    if (board.now < board.nextPlanAt) {
        subscribeNoLaterThan(board.timers, "plan", board.nextPlanAt);
        return;
    }
    board.isPlanWanted = false;
    board.nextPlanAt = board.now + board.self.limits.planPeriod;
    PlacementInput input;
    const auto guaranteed = guaranteedWorkflows(board);
    input.waiting = waitingSteps(board, guaranteed);
    if (!input.waiting.empty()) {
        input.targets = targetsOf(board);
        input.running = runningUnits(board, guaranteed);
        input.held = std::exchange(board.heldRoom, {});
        input.remoteFactor = board.self.limits.remoteFactor;
        input.urgentPatience = board.self.limits.reclaimBound - board.self.limits.stopGrace - reclaimMargin;
        input.urgentReserves = urgentReserves(board);
        auto plan = planPlacements(std::move(input));
        stopPlanned(board, plan.stops);
        startPlanned(board, plan.starts);
        board.heldRoom = std::move(plan.held);
        // What waits for its rack or its data may go elsewhere after a while, and targets come back into contact.
        subscribeNoLaterThan(board.timers, "plan", board.now + Duration{200});
    }
}

}
