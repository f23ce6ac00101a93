#include "placementinput.h"

#include "eligibility.h"
#include "guaranteeshare.h"
#include "progresschange.h"
#include "urgentreserve.h"

#include <algorithm>
#include <map>
#include <set>
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

// A placed task's record has to be stored, and its start has to arrive, before the ticket expires; some 20 ms, and a store that answers slowly.
constexpr Duration ticketMargin{300};

// A new owner stops no work for urgent steps before it has looked at all but this share of its targets, on which there may be room, or this time has passed.
constexpr double unknownShare = 0.1;
constexpr Duration lookPatience{1'500};

// A lasting task loses no work when it is stopped, but is away until it is at work elsewhere.
constexpr Duration restartTime{3'000};

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
        use.all = use.all + run.occupiedResources;
        if (run.isStopWanted || run.step == RunStep::Ending) {
            use.stopping = use.stopping + run.occupiedResources;
        }
    }
    const auto silent = unresponsiveZones(board);
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
        target.freeAfterStops = target.free + use.stopping;
        target.acceptsWork = acceptsWork(board, row) && !silent.contains(row.registration.availabilityZone);
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
    return due + objectiveOf(workflow, queue) - criticalPathLength(workflow.specification) - board.wallNow;
}

/// What the adviser has said of the step, for the present lives of the targets.
StepPermission permissionOf(const WorkflowBoard &board, const StepId &step)
{
    StepPermission permission;
    const auto advice = board.advice.steps.find(step);
    if (advice == board.advice.steps.end()) {
        return permission;
    }
    for (const auto &[id, target] : board.targets.rows()) {
        const auto &instance = target.registration.instance;
        if (findTicket(board.advice, step, instance, board.now + ticketMargin) != nullptr) {
            permission.allowed.insert(id);
        } else if (advice->second.allowed.contains(instance)) {
            permission.expired.insert(id);
        } else if (advice->second.refused.contains(instance)) {
            permission.refused.insert(id);
        }
    }
    return permission;
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
            ++waiting.tasksOnTarget[run->place.target];
        } else if (!progress[index].isFinished) {
            waiting.tasks.push_back(static_cast<int>(index));
        }
    }
    if (waiting.tasks.empty()) {
        return std::nullopt;
    }
    const auto &queue = queueOf(board, *entry.workflow);
    waiting.specification = specification;
    waiting.specification.perTask = reservedResources(specification);
    waiting.service = queue.service;
    waiting.organisation = entry.workflow->organisation;
    waiting.priority = queue.priority;
    waiting.waited = std::max(Duration{0}, board.wallNow - std::max(dueTime(*entry.workflow, id.occurrence), entry.workflow->acceptedAt));
    waiting.remaining = specification.estimate;
    waiting.slack = slackOf(board, entry, queue, id.occurrence);
    if (queue.advice) {
        waiting.advice = permissionOf(board, id);
    }
    return waiting;
}

bool needsExplanation(const WorkflowBoard &board, const WaitingStep &waiting)
{
    const auto explained = board.explainedWaits.find(waiting.step);
    const bool isOverdue = explained == board.explainedWaits.end() || board.now - explained->second >= explanationPeriod;
    return waiting.waited >= firstExplanationAfter && isOverdue;
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
                    waiting->needsExplanation = needsExplanation(board, *waiting);
                    found.push_back(*std::move(waiting));
                }
            }
        }
    }
    return found;
}

/// True if this owner has heard from nearly all of the targets that are registered, or has waited for them long enough.
bool isFleetKnown(const WorkflowBoard &board)
{
    const auto unknown = std::ranges::count_if(board.targets.rows(), [](const auto &row) { return row.second.isRegistered && !row.second.hasAnsweredOwner; });
    return board.now - board.ownership.ownedSince >= lookPatience || static_cast<double>(unknown) <= unknownShare * static_cast<double>(board.targets.size());
}

double cores(const Resources &resources)
{
    return resources.milliCpu / milliPerCore + coresPerAccelerator * resources.accelerators;
}

/// Core-seconds that a stop throws away: all of the run, or with checkpoints the work since the last one and the restart.
double lostWork(const WorkflowBoard &board, const TaskRun &run, const StepSpecification &step)
{
    if (step.isLasting) {
        return cores(run.occupiedResources) * std::chrono::duration<double>(restartTime).count();
    }
    const Duration ran = run.firstListedAt ? board.now - *run.firstListedAt : Duration{0};
    const Duration lost = step.isCheckpointable ? std::min(ran, board.self.limits.checkpointPeriod + board.self.limits.restoreTime) : ran;
    return cores(run.occupiedResources) * std::chrono::duration<double>(lost).count();
}

/// Lasting tasks of the step that may be stopped now. Tasks that are away for any reason count, also those whose stop is under way.
int stoppableTasks(const WorkflowBoard &board, const StepId &id, const StepSpecification &step)
{
    constexpr int atWork = 100; // Percent, of a lasting task.
    const auto runs = runsOf(board, id);
    const auto present = std::ranges::count_if(
        runs, [](const TaskRun &run) { return run.step == RunStep::Running && run.percent == atWork && !run.isStopWanted && !run.stoppedAt; });
    return std::max(0, step.maxUnavailable - (step.taskCount - static_cast<int>(present)));
}

/// True if stopping it is one of the interruptions that the caller allows.
bool mayBeStopped(const WorkflowBoard &board, const TaskRun &run, const StepSpecification &step, std::map<StepId, int> &stoppable)
{
    if (!step.isLasting) {
        return true;
    }
    if (step.isGang || step.maxUnavailable == 0) {
        return false;
    }
    const auto [left, isNew] = stoppable.try_emplace(run.task.step, 0);
    if (isNew) {
        left->second = stoppableTasks(board, run.task.step, step);
    }
    return left->second-- > 0;
}

std::vector<RunningUnit> runningUnits(const WorkflowBoard &board, const std::set<RequestId> &guaranteed)
{
    std::vector<RunningUnit> units;
    std::map<StepId, int> stoppable; ///< Left of each lasting step.
    for (const auto &[task, run] : board.runs.rows()) {
        const auto *entry = board.workflows.find(task.step.workflow);
        const auto *step = findStep(board, task.step);
        if (entry == nullptr || step == nullptr || run.isStopWanted || run.step == RunStep::Ending || run.step == RunStep::Unconfirmed
            || !mayBeStopped(board, run, *step, stoppable)) {
            continue;
        }
        const bool joins = step->isGang && !units.empty() && units.back().step == task.step;
        if (!joins) {
            const auto &workflow = *entry->workflow;
            units.push_back(
                {task.step, queueOf(board, workflow).priority, guaranteed.contains(workflow.id), workflow.organisation, run.occupiedResources, {}, 0});
        }
        units.back().tasks.emplace(task.index, run.place.target);
        units.back().lostWork += lostWork(board, run, *step);
    }
    return units;
}

}

PlacementInput placementInput(const WorkflowBoard &board)
{
    const auto guaranteed = guaranteedWorkflows(board);
    const auto &limits = board.self.limits;
    PlacementInput input;
    input.waiting = waitingSteps(board, guaranteed);
    if (input.waiting.empty()) {
        return input;
    }
    input.targets = targetsOf(board);
    input.running = runningUnits(board, guaranteed);
    input.held = board.heldRoom;
    input.remoteFactor = limits.remoteFactor;
    input.maxLocalityWait = limits.reclaimBound - limits.stopGrace - reclaimMargin;
    input.mayPreempt = isFleetKnown(board);
    input.urgentReserves = urgentReserves(board);
    return input;
}

}
