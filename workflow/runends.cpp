#include "runends.h"

#include "progresschange.h"
#include "restartpause.h"
#include "targetlease.h"
#include "targetorders.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// The stop of a stray run is repeated after this time if the target still lists the run.
constexpr Duration strayRetry{300};

// Time from the end of one member of a gang until the targets of the other members end these members and list them as broken.
constexpr Duration gangBreakTime{200};

// Extra time that the targets get to end the other members by themselves. Members that still run after it get stop orders; this happens, for instance, if the
// targets cannot reach each other.
constexpr Duration gangBreakMargin{100};

/// Delay before stop orders are sent to the members of a broken gang. A member takes up to the stop grace to end after a stop order. The orders are sent at
/// once if the grace is no longer than the time in which the targets end the members by themselves; otherwise they are delayed.
Duration brokenGangPause(const WorkflowBoard &board)
{
    return board.self.limits.stopGrace > gangBreakTime ? gangBreakTime + gangBreakMargin : Duration{0};
}

std::string runText(int run)
{
    return "run " + std::to_string(run);
}

/// The last change of the run before the list that lacks it, with its age.
std::string lastChange(const WorkflowBoard &board, const TaskRun &run)
{
    const auto ago = [&](TimePoint at) { return std::to_string((board.now - at).count()) + " ms ago"; };
    if (run.stoppedAt) {
        return "its stop was answered " + ago(*run.stoppedAt);
    }
    if (run.step == RunStep::Unconfirmed) {
        return "it was adopted " + ago(run.stepSince);
    }
    return (run.isStopWanted ? "its stop was requested " : "its start was confirmed ") + ago(run.stepSince);
}

void recordOutcomeOnTarget(WorkflowBoard &board, const TargetId &id, RunEnd end)
{
    if (end != RunEnd::Finished && end != RunEnd::Failed) {
        return;
    }
    board.targets.update(id, [&](DomainTarget &target) {
        if (end == RunEnd::Finished) {
            target.recentFailures = 0;
            ++target.finishedRuns;
        } else {
            ++target.recentFailures;
            target.lastFailureAt = board.now;
        }
    });
}

/// Stops later runs of the same task or gang, because an earlier run has finished.
void stopLaterRuns(WorkflowBoard &board, const std::vector<TaskRun> &runs, int finished)
{
    std::vector<TaskRun> later;
    std::ranges::copy_if(runs, std::back_inserter(later), [&](const TaskRun &run) { return run.number > finished; });
    stopRuns(board, later, RunStopCause::FinishedBefore, runText(finished) + " has finished");
}

/// Finishes the whole gang when its first member is listed as finished; the targets of the other members list their ends a little later.
void finishGang(WorkflowBoard &board, const TaskRun &run)
{
    changeStep(board, run.task.step, [](StepProgress &step) {
        for (auto &task : step) {
            task.isFinished = true;
            task.place.reset();
        }
    });
    const auto members = runsOf(board, run.task.step);
    for (auto member : members) {
        if (member.task != run.task && member.number == run.number) {
            member.step = RunStep::Ending;
            member.stoppedAt = board.now;
            putRun(board, member);
        }
    }
    stopLaterRuns(board, members, run.number);
}

void finishTask(WorkflowBoard &board, const TaskRun &run, bool isGang)
{
    const auto *entry = board.workflows.find(run.task.step.workflow);
    const auto *task = entry == nullptr ? nullptr : findTask(entry->progress, run.task);
    if (task == nullptr) {
        return;
    }
    if (isGang) {
        finishGang(board, run);
        return;
    }
    changeTask(board, run.task, [](TaskProgress &progress) {
        progress.isFinished = true;
        progress.place.reset();
    });
    if (const auto *present = board.runs.find(run.task)) {
        stopLaterRuns(board, {*present}, run.number);
    }
}

void keepCheckpoint(WorkflowBoard &board, const TaskRun &run, const std::string &checkpoint, bool isGang)
{
    if (checkpoint.empty()) {
        return;
    }
    if (!isGang) {
        changeTask(board, run.task, [&](TaskProgress &task) { task.checkpoint = checkpoint; });
        return;
    }
    // The checkpoint of any member is valid for the whole gang, and all members must resume from the same one.
    changeStep(board, run.task.step, [&](StepProgress &step) { std::ranges::for_each(step, [&](TaskProgress &task) { task.checkpoint = checkpoint; }); });
}

void countFailure(WorkflowBoard &board, const TaskRun &run, bool isGang)
{
    if (isGang && run.isGangBroken) {
        return;
    }
    // A gang's failures are counted on its first task.
    TaskId counted = run.task;
    counted.index = isGang ? 0 : run.task.index;
    // Once an earlier run has finished the task, the failure of a later run does not count.
    changeTask(board, counted, [](TaskProgress &task) { task.failedRuns += task.isFinished ? 0 : 1; });
}

/// Removes the records of the gang's other members that are presumed lost, because a gang that fails counts once.
void forgetLostGang(WorkflowBoard &board, const TaskRun &run)
{
    const auto *entry = board.workflows.find(run.task.step.workflow);
    const auto lostRuns = entry->progress.lostRuns;
    for (const auto &lost : lostRuns) {
        if (lost.occurrence == run.task.step.occurrence && lost.step == run.task.step.step && lost.run == run.number) {
            takeLostRun(board, {run.task.step, lost.index}, lost.run);
        }
    }
}

/// Handles the end of a run that the board does not follow: the run was presumed lost, or a former owner has already handled its end.
void applyUnknownEnd(WorkflowBoard &board, const TargetId &target, const EndedRun &ended)
{
    const bool isLost = takeLostRun(board, ended.task, ended.run);
    const auto *entry = board.workflows.find(ended.task.step.workflow);
    const auto *task = entry == nullptr ? nullptr : findTask(entry->progress, ended.task);
    // A run that was presumed lost because its target was cut off may have finished on that target, even while a later run of the task is running elsewhere.
    // A lasting task is never finished.
    const auto *step = findStep(board, ended.task.step);
    const bool canFinish = step != nullptr && !step->isLasting;
    const bool isStillWanted = ended.end == RunEnd::Finished && canFinish && task != nullptr && !task->isFinished && ended.run <= task->lastRun;
    logDecision(board,
                "endRun",
                target.value,
                toString(ended.task),
                runText(ended.run) + " ended as " + std::string(name(ended.end))
                    + (isStillWanted || isLost ? ", although it had been presumed lost" : ", which was already known or no longer matters"));
    TaskRun run;
    run.task = ended.task;
    run.number = ended.run;
    if (isStillWanted) {
        finishTask(board, run, step->isGang);
    } else if (isLost && ended.end == RunEnd::Failed) {
        if (step->isGang) {
            forgetLostGang(board, run);
        }
        countFailure(board, run, step->isGang);
    }
}

}

void failGangOf(WorkflowBoard &board, const TaskRun &run, GangBreakCause fault, const std::string &reason)
{
    const auto *step = findStep(board, run.task.step);
    if (step == nullptr || !step->isGang) {
        return;
    }
    std::vector<TaskRun> others;
    for (auto member : runsOf(board, run.task.step)) {
        if (member.task == run.task || member.number != run.number) {
            continue;
        }
        member.isGangBroken = member.isGangBroken || fault == GangBreakCause::MemberFailed;
        putRun(board, member);
        others.push_back(std::move(member));
    }
    stopRuns(board, others, RunStopCause::GangBroken, reason, fault == GangBreakCause::MemberNotStarted ? Duration{0} : brokenGangPause(board));
}

void applyRunEnd(WorkflowBoard &board, const TargetId &target, const EndedRun &ended)
{
    noteBegun(board, ended.task.step.workflow);
    fenceLateStart(board, ended.task, ended.run);
    const auto *present = board.runs.find(ended.task);
    if (present == nullptr || present->number != ended.run || present->place.target != target) {
        applyUnknownEnd(board, target, ended);
        return;
    }
    const TaskRun run = *present;
    const auto *step = findStep(board, run.task.step);
    const bool isGang = step != nullptr && step->isGang;
    const bool isLasting = step != nullptr && step->isLasting;
    const bool hasFinished = ended.end == RunEnd::Finished && !isLasting; // A lasting task is restarted however its runs end.
    const bool hasGangFinished = isGang && hasFinished && run.step == RunStep::Ending;
    if (!hasGangFinished) { // A gang that finishes is logged only once, for its first member.
        logDecision(board, "endRun", target.value, toString(run.task), runText(run.number) + " ended as " + std::string(name(ended.end)));
    }
    count(board.counters, "runsEnded", std::string(name(ended.end)));
    recordOutcomeOnTarget(board, target, ended.end);
    if (hasFinished) {
        finishTask(board, run, isGang);
    } else {
        keepCheckpoint(board, run, ended.checkpoint, isGang);
    }
    if (ended.end == RunEnd::Failed) {
        countFailure(board, run, isGang);
    }
    if (isLasting && (ended.end == RunEnd::Finished || ended.end == RunEnd::Failed)) {
        noteLastingEnd(board, run, isGang);
    }
    removeRun(board, run);
    if (!hasFinished) {
        failGangOf(board,
                   run,
                   ended.end == RunEnd::Failed ? GangBreakCause::MemberFailed : GangBreakCause::MemberEnded,
                   "a member ended as " + std::string(name(ended.end)));
    }
}

void dropUnlistedRun(WorkflowBoard &board, const TaskRun &run)
{
    logDecision(board, "loseRun", run.place.target.value, toString(run.task), runText(run.number) + " is not listed by the target, " + lastChange(board, run));
    count(board.counters, "runsEnded", "unlisted");
    removeRun(board, run);
    failGangOf(board, run, GangBreakCause::MemberEnded, "a member is not listed by its target");
}

CallId sendStrayStop(WorkflowBoard &board, const DomainTarget &target, const TaskId &task, int run)
{
    auto order = makeOrder(board, target, StopRun{task, run}, board.self.limits.orderTimeout);
    const auto call = order.id;
    board.outbox.emplace_back(std::move(order));
    return call;
}

void stopStray(WorkflowBoard &board, const TargetId &id, const ListedRun &row)
{
    const auto *present = board.targets.find(id);
    if (present == nullptr) {
        return;
    }
    DomainTarget target = *present;
    target.hasStrays = true;
    target.strays.push_back(row.task);
    board.targets.put(id, target);
    const auto [stop, isNew] = board.strayStops.try_emplace(row.task, board.now);
    if (!isNew && board.now < stop->second + strayRetry) {
        return;
    }
    stop->second = board.now;
    logDecision(board, "stopStray", id.value, toString(row.task), runText(row.run) + " is running but is not the newest run of its task", true);
    count(board.counters, "straysStopped", "");
    sendStrayStop(board, target, row.task, row.run);
}

}
