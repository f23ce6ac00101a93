#include "placementinput.h"

#include "eligibility.h"
#include "guaranteeshare.h"
#include "organisationcap.h"
#include "organisationshare.h"
#include "progresschange.h"
#include "restartpause.h"
#include "runprogress.h"
#include "urgentreserve.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace sequoiastand
{

namespace
{

// A target counts as suspect if at least `suspectFailures` runs have failed on it since the last one that finished, until `suspectTime` after the last failure.
constexpr int suspectFailures = 2;
constexpr Duration suspectTime{8'000};

// Part of the reclaim bound that is left for the start itself and for a store that answers slowly.
constexpr Duration reclaimMargin{600};

// A job without a run counts as lost after 3 s if there is room for it twice over. Half of that is left for placement, the record and the start order.
constexpr Duration maxAvoidableWait{1'500};

// Remaining validity that a ticket must have at placement, because the run must be recorded and its start order must arrive before the ticket expires. Both
// together take about 20 ms, or longer if the store answers slowly.
constexpr Duration ticketMargin{300};

// A new owner preempts no work until all but `unknownShare` of its targets have answered, because the targets without an answer may have room. It waits for
// them for at most `fleetContactTimeout`.
constexpr double unknownShare = 0.1;
constexpr Duration fleetContactTimeout{1'500};

std::vector<PlacementTarget> targetsOf(const WorkflowBoard &board)
{
    const auto unresponsive = unresponsiveZones(board);
    std::vector<PlacementTarget> targets;
    targets.reserve(board.targets.size());
    for (const auto &[id, row] : board.targets.rows()) {
        PlacementTarget target;
        target.id = id;
        target.service = row.registration.service;
        target.rack = row.registration.rack;
        target.labels = row.registration.labels;
        target.capacity = row.registration.capacity;
        const auto &use = board.runs.useOf(id);
        target.free = row.registration.capacity - use.occupied;
        target.freeAfterStops = target.free + use.stopping;
        target.isInService = isInService(board, row);
        target.acceptsWork = acceptsWork(board, row) && !unresponsive.contains(row.registration.availabilityZone);
        target.isSuspect = row.recentFailures >= suspectFailures && row.lastFailureAt && board.now - *row.lastFailureAt < suspectTime;
        targets.push_back(std::move(target));
    }
    return targets;
}

/// Accelerators of each service that are reserved for urgent work.
std::map<ServiceId, int> urgentReserves(const WorkflowBoard &board)
{
    const auto arrivals = arrivalsByService(board.urgentArrivals, board.wallNow);
    std::map<ServiceId, int> reserves;
    for (const auto &[service, arrived] : arrivals) {
        int capacity = 0;
        for (const auto &[id, target] : board.targets.rows()) {
            capacity += target.isRegistered && target.registration.service == service ? target.registration.capacity.accelerators : 0;
        }
        reserves.emplace(service, urgentReserve(arrived, capacity, board.self.limits.stopGrace));
    }
    return reserves;
}

/// Time until the occurrence must start to meet its objective: the time until its objective less the length of its critical path.
Duration slackOf(const WorkflowBoard &board, const WorkflowEntry &entry, const Queue &queue, int occurrence)
{
    const auto &workflow = *entry.workflow;
    const auto due = std::max(dueTime(workflow, occurrence), workflow.acceptedAt);
    return due + objectiveOf(workflow, queue) - criticalPathLength(workflow.specification) - board.wallNow;
}

/// The adviser's decisions on the step for the current instances of the targets.
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

/// Time since the step could first have started. A step that a pass of this owner has not seen waiting could start when its occurrence was due or accepted if
/// no other step or run of it came first; otherwise its turn has just come, unless this is the owner's first pass, which cannot tell.
Duration waitedTime(const WorkflowBoard &board, const Workflow &workflow, const StepId &id, const StepProgress &progress)
{
    if (const auto seen = board.waitingSince.find(id); seen != board.waitingSince.end()) {
        return board.now - seen->second;
    }
    const auto &step = workflow.specification.steps.at(static_cast<std::size_t>(id.step));
    const bool isFirst = step.after.empty() && std::ranges::all_of(progress, [](const TaskProgress &task) { return task.lastRun == 0; });
    const bool isOwnersFirstPass = board.lastPlanAt < board.ownership.ownedSince;
    const auto sinceDue = std::max(Duration{0}, board.wallNow - std::max(dueTime(workflow, id.occurrence), workflow.acceptedAt));
    return isFirst || isOwnersFirstPass ? sinceDue : Duration{0};
}

std::optional<WaitingStep> waitingStep(const WorkflowBoard &board, const WorkflowEntry &entry, const StepId &id, const StepProgress &progress)
{
    const auto &specification = entry.workflow->specification.steps.at(static_cast<std::size_t>(id.step));
    WaitingStep waiting;
    waiting.step = id;
    // The runs of the step follow one another in the table, in the order of its tasks.
    auto run = board.runs.rows().lower_bound({id, 0});
    const auto lastRun = board.runs.rows().end();
    for (std::size_t index = 0; index < progress.size(); ++index) {
        // Lasting tasks have any number of attempts. They use a suspect target if no other one has room, because it may be the only one that they may use.
        waiting.avoidsSuspects = waiting.avoidsSuspects || (!specification.isLasting && progress[index].failedRuns > 0);
        if (run != lastRun && run->first.index == static_cast<int>(index) && run->first.step == id) {
            if (specification.isGang) {
                return std::nullopt;
            }
            ++waiting.tasksOnTarget[run->second.place.target];
            ++run;
        } else if (!progress[index].isFinished && !isRestartPaused(board, {id, static_cast<int>(index)}, specification.isGang)) {
            waiting.tasks.push_back(static_cast<int>(index));
        }
    }
    if (waiting.tasks.empty()) {
        return std::nullopt;
    }
    const auto &queue = queueOf(board, *entry.workflow);
    waiting.specification = specification;
    waiting.specification.perTask = reservedResources(specification);
    waiting.unreservedMilliCpu = specification.perTask.milliCpu - waiting.specification.perTask.milliCpu;
    waiting.service = queue.service;
    waiting.organisation = entry.workflow->organisation;
    waiting.priority = queue.priority;
    waiting.waited = waitedTime(board, *entry.workflow, id, progress);
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
    for (const auto &id : board.workflows.open()) {
        const auto &entry = *board.workflows.find(id);
        if (entry.isCancelRequested) {
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

/// True if nearly all registered targets have answered this owner, or if it has waited for them long enough.
bool isFleetKnown(const WorkflowBoard &board)
{
    const auto unknown = std::ranges::count_if(board.targets.rows(), [](const auto &row) { return row.second.isRegistered && !row.second.hasAnsweredOwner; });
    return board.now - board.ownership.ownedSince >= fleetContactTimeout
           || static_cast<double>(unknown) <= unknownShare * static_cast<double>(board.targets.size());
}

/// Number of tasks of a lasting step that may be stopped now. All unavailable tasks count against `maxUnavailable`, including those that are being stopped.
int stoppableTasks(const WorkflowBoard &board, const StepId &id, const StepSpecification &step)
{
    constexpr int fullyAvailable = 100; // Percent that a lasting task reports while it is available.
    const auto runs = runsOf(board, id);
    const auto present = std::ranges::count_if(
        runs, [](const TaskRun &run) { return run.step == RunStep::Running && run.percent == fullyAvailable && !run.isStopWanted && !run.stoppedAt; });
    return std::max(0, step.maxUnavailable - (step.taskCount - static_cast<int>(present)));
}

/// True if the run may be preempted without more interruptions than the caller allows. The run then counts as stopped in `stoppable`.
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

}

std::vector<RunningUnit> runningUnits(const WorkflowBoard &board)
{
    const auto guaranteed = guaranteedWorkflows(board);
    std::vector<RunningUnit> units;
    std::map<StepId, int> stoppable; ///< Remaining number of tasks of each lasting step that may be stopped.
    // The runs of a step follow one another, so what the runs have in common is looked up once per step.
    const StepSpecification *step = nullptr;
    RunningUnit common;
    for (const auto &[task, run] : board.runs.rows()) {
        if (common.step != task.step) {
            common.step = task.step;
            step = findStep(board, task.step);
            if (step != nullptr) {
                const auto &workflow = *board.workflows.find(task.step.workflow)->workflow;
                common.priority = queueOf(board, workflow).priority;
                common.isGuaranteed = guaranteed.contains(workflow.id);
                common.organisation = workflow.organisation;
            }
        }
        if (step == nullptr || isStopping(run) || run.step == RunStep::Unconfirmed || !mayBeStopped(board, run, *step, stoppable)) {
            continue;
        }
        const bool belongsToLastUnit = step->isGang && !units.empty() && units.back().step == task.step;
        if (!belongsToLastUnit) {
            units.push_back(common);
            units.back().perTask = run.occupiedResources;
            units.back().unreservedMilliCpu = step->perTask.milliCpu - run.occupiedResources.milliCpu;
        }
        auto &unit = units.back();
        // A gang ends when its last member does. A lasting task never ends by itself.
        const auto remaining = step->isLasting ? Duration::max() : remainingTime(run, board.now);
        unit.remaining = unit.tasks.empty() ? remaining : std::max(unit.remaining, remaining);
        unit.tasks.emplace(task.index, run.place.target);
        unit.lostWork += lostWork(board, run, *step);
    }
    return units;
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
    input.held = board.heldRoom;
    input.stopTime = limits.stopGrace + stopOverhead;
    input.remoteFactor = limits.remoteFactor;
    input.maxLocalityWait = limits.reclaimBound - limits.stopGrace - reclaimMargin;
    input.maxAvoidableWait = maxAvoidableWait;
    input.mayPreempt = isFleetKnown(board);
    input.urgentReserves = urgentReserves(board);
    if (const auto caps = capsInForce(board.view, board.now); !caps.empty()) {
        const auto use = organisationUse(board);
        input.organisationRoom = roomOfOrganisations(caps, use);
        input.organisationRoomAfterStops = roomAfterStops(caps, use);
    }
    markBeyondShare(input.waiting, shareTerms(board));
    return input;
}

}
