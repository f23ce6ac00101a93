#include "advicequestion.h"
#include "controllers.h"
#include "eligibility.h"
#include "placement.h"
#include "placementinput.h"
#include "progresschange.h"
#include "restartpause.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

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
    const auto waited = board.wallNow - std::max(dueTime(*entry.workflow, step.occurrence), entry.workflow->acceptedAt);
    addSample(board.counters, entry.workflow->queue.priority == 0 ? "urgentPlacementMs" : "placementMs", static_cast<double>(waited.count()));
    logDecision(board,
                "placeStep",
                tasks.front().target.value,
                toString(step),
                "run " + std::to_string(findTask(entry.progress, tasks.front().task)->lastRun) + " of " + std::to_string(tasks.size()) + " tasks on "
                    + std::to_string(targets.size()) + " targets in " + std::to_string(racks.size()) + " racks"
                    + (isSpread ? " although a single rack was requested, " : ", ") + std::to_string((board.wallNow - entry.workflow->acceptedAt).count())
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
            auto &rows = progress.occurrences.at(step.occurrence).steps.at(static_cast<std::size_t>(step.step));
            // The members of a gang share one run number, which must be new for each of them.
            const int newest = std::ranges::max(rows, {}, &TaskProgress::lastRun).lastRun;
            for (const auto &start : tasks) {
                auto &task = rows.at(static_cast<std::size_t>(start.task.index));
                task.lastRun = specification->isGang ? newest + 1 : task.lastRun + 1;
                task.place = board.targets.find(start.target)->registration.instance;
            }
        });
        const auto *entry = board.workflows.find(step.workflow);
        for (const auto &start : tasks) {
            const auto *progress = findTask(entry->progress, start.task);
            TaskRun run;
            run.task = start.task;
            run.number = progress->lastRun;
            run.place = *progress->place;
            run.occupiedResources = reservedResources(*specification);
            run.isFiller = specification->isFiller;
            run.responseTimeTarget = specification->latencyTarget;
            run.orderedPercent = 100; // Every run begins at full speed.
            run.stepSince = board.now;
            run.recordedInVersion = entry->version;
            run.resumedFrom = progress->checkpoint;
            run.checkpoint = progress->checkpoint;
            putRun(board, run);
        }
        logPlacement(board, *entry, *specification, tasks);
    }
}

/// The numbers of the service's targets that a step cannot use at the moment, by the reason.
std::string unusableTargets(const WorkflowBoard &board, const ServiceId &service)
{
    int all = 0;
    int outOfService = 0;
    int silent = 0;
    int avoided = 0;
    for (const auto &[id, target] : board.targets.rows()) {
        if (target.registration.service != service) {
            continue;
        }
        ++all;
        const bool isAnswering = target.hasAnsweredOwner && target.failures == 0 && !target.orderUnansweredAt;
        if (!isInService(board, target)) {
            ++outOfService;
        } else if (!isAnswering) {
            ++silent;
        } else if (!acceptsWork(board, target)) {
            ++avoided;
        }
    }
    return "of " + std::to_string(all) + " targets " + std::to_string(outOfService) + " are out of service, " + std::to_string(silent) + " do not answer, "
           + std::to_string(avoided) + " are avoided";
}

std::string reasonText(const WaitingStep &step, const WaitExplanation &explanation)
{
    const auto reason = std::string(name(explanation.reason));
    return explanation.detail.empty() ? reason : reason + ", " + step.organisation.value + " may still start " + explanation.detail + ",";
}

void logWaits(WorkflowBoard &board, const std::vector<WaitingStep> &waiting, const PlacementPlan &plan)
{
    std::erase_if(board.explainedWaits, [&](const auto &row) { return board.now - row.second > 2 * explanationPeriod; });
    std::map<ServiceId, std::string> unusable; ///< Counted once for all steps of a service.
    for (const auto &step : waiting) {
        const auto explanation = plan.waits.find(step.step);
        if (explanation == plan.waits.end()) {
            continue;
        }
        board.explainedWaits.insert_or_assign(step.step, board.now);
        if (!unusable.contains(step.service)) {
            unusable.emplace(step.service, unusableTargets(board, step.service));
        }
        logDecision(board,
                    "waitStep",
                    step.service.value,
                    toString(step.step),
                    reasonText(step, explanation->second) + " for " + std::to_string(step.tasks.size()) + " tasks of "
                        + std::to_string(step.specification.perTask.accelerators) + " accelerators after " + std::to_string(step.waited.count())
                        + " ms: " + std::to_string(explanation->second.freeAccelerators) + " accelerators are free, " + std::to_string(explanation->second.kept)
                        + " reserved for urgent work; " + unusable.at(step.service));
    }
}

void stopPlanned(WorkflowBoard &board, const std::vector<PreemptedTask> &stops)
{
    std::map<std::pair<StepId, StepId>, std::vector<TaskRun>> bySteps;
    for (const auto &stop : stops) {
        if (const auto *run = board.runs.find(stop.task)) {
            bySteps[{stop.task.step, stop.inFavourOf}].push_back(*run);
        }
    }
    for (const auto &[steps, runs] : bySteps) {
        stopRuns(board, runs, RunStopCause::Preempted, "for " + toString(steps.second));
    }
}

// A pass checks each target several times, which takes about 2 us of a core for each target. With this pause, passes take at most two fifths of the time on
// half a core.
constexpr std::chrono::microseconds planPausePerTarget{10};

/// Time that is added to the shortest time between two passes, in proportion to the size of the fleet.
Duration planPause(const WorkflowBoard &board)
{
    return std::chrono::duration_cast<Duration>(planPausePerTarget * static_cast<int>(board.targets.size()));
}

// Time allowed for the adviser's answer in addition to the time that the queue's terms with the adviser state.
constexpr Duration adviceMargin{500};

/// Notes since when each of the steps could have started, and forgets the steps that no longer wait.
void noteWaiting(WorkflowBoard &board, const std::vector<WaitingStep> &waiting)
{
    const auto former = std::exchange(board.waitingSince, {});
    for (const auto &step : waiting) {
        const auto since = former.find(step.step);
        board.waitingSince.emplace(step.step, since == former.end() ? board.now - step.waited : since->second);
    }
}

/// Sends the next question to the adviser, unless a question is under way or the last one failed recently.
void askAdviser(WorkflowBoard &board, const PlacementInput &input)
{
    auto &state = board.advice;
    const auto question = state.call || board.now < state.retryAt ? std::nullopt : nextQuestion(input);
    if (!question) {
        return;
    }
    const auto &terms = *queueOf(board, *board.workflows.find(question->step.workflow)->workflow).advice;
    AdviceCall call{takeCallId(board), question->step, {}, board.now};
    std::ranges::transform(
        question->targets, std::back_inserter(call.targets), [&](const TargetId &id) { return board.targets.find(id)->registration.instance; });
    const auto expected = terms.perCall + terms.perTarget * static_cast<int>(question->targets.size());
    board.outbox.emplace_back(AdviceRequest{call.id, call.step, question->targets, expected + timeoutWithLag(board, adviceMargin)});
    state.call = std::move(call);
}

}

void planWork(WorkflowBoard &board)
{
    // A request is kept while no pass can be made, because the events that it follows from do not come again.
    board.isPlanWanted = board.isPlanWanted || !board.workflows.changes().empty() || isDue(board.timers, "plan");
    if (!hasAuthority(board) || !isProofFresh(board) || !board.load.hasIntake || !board.load.hasTargets || !board.load.hasCommitMark) {
        return;
    }
    if (!board.isPlanWanted) {
        return;
    }
    if (board.now < board.nextPlanAt) {
        subscribeNoLaterThan(board.timers, "plan", board.nextPlanAt);
        return;
    }
    board.isPlanWanted = false;
    board.nextPlanAt = board.now + board.self.limits.planPeriod + planPause(board);
    if (const auto restart = nextRestart(board)) {
        subscribeNoLaterThan(board.timers, "plan", *restart);
    }
    auto input = placementInput(board);
    noteWaiting(board, input.waiting);
    board.lastPlanAt = board.now;
    board.heldRoom.clear();
    board.organisationCapWaits = 0;
    if (!input.waiting.empty()) {
        std::vector<WaitingStep> unexplained;
        std::ranges::copy_if(input.waiting, std::back_inserter(unexplained), &WaitingStep::needsExplanation);
        askAdviser(board, input);
        auto plan = planPlacements(std::move(input), [&board] { return runningUnits(board); });
        logWaits(board, unexplained, plan);
        board.organisationCapWaits = plan.capWaits.size();
        if (!plan.capStops.empty()) {
            count(board.counters, "organisationCapStops", "", static_cast<long long>(plan.capStops.size()));
        }
        stopPlanned(board, plan.stops);
        startPlanned(board, plan.starts);
        board.heldRoom = std::move(plan.held);
        // The next pass follows soon even if nothing changes on the board: steps that wait for a single rack or for the rack of their data may be placed
        // elsewhere after a while, and targets may answer again.
        subscribeNoLaterThan(board.timers, "plan", board.now + Duration{200});
    }
}

}
