#include "controllers.h"
#include "holdpacing.h"
#include "progresschange.h"
#include "runends.h"
#include "targetlease.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// Delay before a target that has not answered a hold is sent another one; the first repetition opens a new connection.
constexpr Duration silentRetry{250};

// A target that refused a start because of its own state gets no work for this time.
constexpr Duration refusalPause{1'000};

// Longest delay before an order is repeated, so that a target that is reachable again gets it within a second.
constexpr Duration maxOrderDelay{1'000};
constexpr int maxDoublings = 8;

// Delay before the next hold while run ends that the target has reported still have to be stored.
constexpr Duration pendingEndPause{500};

void handleFencedOrder(WorkflowBoard &board, const TargetId &target)
{
    logDecision(board, "obeyFence", target.value, "", "the target has accepted a higher fencing token than " + std::to_string(board.ownership.token), true);
    board.ownership.authorityUntil = board.now;
    board.ownership.releaseReason = "a target has accepted a higher fencing token";
    subscribeNoLaterThan(board.timers, "authority", board.now);
}

/// True if no start of the run can take effect any more, because the target's clock had passed the deadline of the newest one when the hold was sent. A
/// target's clock may be slow but is never fast, so it has advanced by no more than the time since then.
bool hasStartExpired(const WorkflowBoard &board, const TaskRun &run, std::optional<TargetClock> clock, TimePoint holdSentAt)
{
    const bool isStartUnderWay = run.call && !run.isStopCall;
    return !isStartUnderWay && clock && run.startDeadline && *clock - (board.now - holdSentAt) > *run.startDeadline;
}

/// True if the lists show that the run is neither on the target nor has an end there that is still to be read.
bool isCertainlyAbsent(const WorkflowBoard &board, const TaskRun &run, const TargetOrderReply &reply, TimePoint holdSentAt)
{
    if (reply.lists->isEndListFull) {
        return false; // The run may have ended, and its end follows in a later list.
    }
    // The list may be older than an order that arrived in the meantime, so a run that is missing in the list counts as absent only if the hold was sent after
    // the run's last change. Times are in whole milliseconds, so at equal times it is unknown which came first, and the run does not count as absent.
    const bool wasRunning = run.step == RunStep::Unconfirmed || run.step == RunStep::Running;
    const bool hasBeenStopped = (run.stoppedAt && holdSentAt > *run.stoppedAt) || (run.isStopWanted && hasStartExpired(board, run, reply.clock, holdSentAt));
    return (wasRunning && holdSentAt > run.stepSince) || hasBeenStopped;
}

void updateListedRun(WorkflowBoard &board, TaskRun run, const ListedRun &row)
{
    run.isListed = true;
    run.percent = row.percent;
    run.load = row.load;
    run.checkpoint = row.checkpoint.empty() ? run.checkpoint : row.checkpoint;
    run.listedAt = board.now;
    if (!run.firstListedAt) {
        run.firstListedAt = board.now;
        run.firstPercent = run.percent;
    }
    if (run.step == RunStep::Starting || run.step == RunStep::Unconfirmed) {
        run.step = RunStep::Running;
        run.stepSince = board.now;
        noteBegun(board, run.task.step.workflow);
    }
    putRun(board, run);
}

/// Compares the board's runs on the target with the target's list of running runs.
void compareRuns(WorkflowBoard &board, const TargetId &id, const TargetOrderReply &reply, TimePoint holdSentAt)
{
    std::map<TaskId, const ListedRun *> listed;
    for (const auto &row : reply.lists->running) {
        listed.emplace(row.task, &row);
    }
    for (const auto &run : startedRunsOn(board, id)) {
        const auto found = listed.find(run.task);
        if (found != listed.end() && found->second->run == run.number) {
            updateListedRun(board, run, *found->second);
        } else if (board.runs.contains(run.task) && isCertainlyAbsent(board, run, reply, holdSentAt)) {
            if (hasStartExpired(board, run, reply.clock, holdSentAt)) {
                fenceLateStart(board, run.task, run.number);
            }
            dropUnlistedRun(board, run);
        }
    }
    for (const auto &[task, row] : listed) {
        const auto *run = board.runs.find(task);
        if (run == nullptr || run->number != row->run || run->place.target != id) {
            stopStray(board, id, *row);
        }
    }
}

void applyLists(WorkflowBoard &board, const TargetId &id, const TargetOrderReply &reply, TimePoint holdSentAt)
{
    for (const auto &ended : reply.lists->ended) {
        if (ended.number <= board.targets.find(id)->newestEnd) {
            continue;
        }
        applyRunEnd(board, id, ended);
        board.targets.update(id, [&](DomainTarget &target) {
            target.newestEnd = ended.number;
            target.pendingEnds.push_back({ended.number, ended.task.step.workflow, progressVersion(board, ended.task.step.workflow)});
        });
    }
    compareRuns(board, id, reply, holdSentAt);
}

/// Delay before the next hold. A target with runs gets its next hold at once, so that it can report the next end of a run, and so does a target of which it is
/// not known what has become of a run; the hold of a target without runs can wait.
Duration delayOfNextHold(const WorkflowBoard &board, const DomainTarget &target, const TargetLists &lists)
{
    if (!target.pendingEnds.empty()) {
        return pendingEndPause;
    }
    const bool isIdle = lists.running.empty() && startedRunsOn(board, target.registration.instance.target).empty();
    return isIdle ? holdPace(board).idlePause : Duration{0};
}

void handleHoldReply(WorkflowBoard &board, const TargetId &id, const TargetOrderReply &reply)
{
    DomainTarget target = *board.targets.find(id);
    const TimePoint sentAt = target.holdSentAt;
    target.hold.reset();
    if (reply.outcome != OrderOutcome::Accepted || !reply.lists) {
        if (reply.refusal == OrderRefusal::Fenced) {
            handleFencedOrder(board, id);
        }
        if (target.holdStartTimeMs != target.registration.instance.startTimeMs) {
            // The former instance has not answered, which says nothing about the present one.
            target.nextHoldAt = board.now;
            board.targets.put(id, std::move(target));
            return;
        }
        if (reply.outcome != OrderOutcome::Refused) {
            count(board.counters, "holdsUnanswered", "");
        }
        if (target.failures == 1) {
            logDecision(board, "holdTarget", id.value, "", "no answer: " + reply.error, true);
        }
        ++target.failures;
        target.nextHoldAt = board.now + silentRetry;
        if (reply.refusal == OrderRefusal::OtherInstance) {
            // Another instance answers at the address, so the instance that the order was meant for has ended, together with all its runs.
            target.heldUntil = TargetClock{0};
            target.formerRunsLapseAt = board.now;
        }
        board.targets.put(id, std::move(target));
        return;
    }
    if (reply.lists->startTimeMs != target.registration.instance.startTimeMs) {
        if (reply.lists->startTimeMs > target.registration.instance.startTimeMs && isPossibleStart(reply.lists->startTimeMs, board.wallNow)) {
            TargetRegistration registration = target.registration;
            registration.instance.startTimeMs = reply.lists->startTimeMs;
            logDecision(board, "renewTarget", id.value, "", "its lists show that the target has restarted");
            beginNewInstance(board, target, registration);
            return;
        }
        // The first such lists may answer a hold that was sent to the former instance; the next hold is sent at once.
        target.nextHoldAt = target.failures == 0 ? board.now : board.now + silentRetry;
        ++target.failures;
        board.targets.put(id, std::move(target));
        return;
    }
    if (target.failures > 1) {
        logDecision(board, "holdTarget", id.value, "", "answers again after " + std::to_string(target.failures) + " failures");
    }
    if (!target.hasAnsweredOwner || target.failures > 0) {
        board.isPlanWanted = true;
    }
    target.failures = 0;
    target.confirmedEnd = std::max(target.confirmedEnd, target.acknowledgementUnderWay);
    target.orderUnansweredAt.reset();
    target.hasAnsweredOwner = true;
    target.answeredAt = board.now;
    target.hasStrays = false;
    target.strays.clear();
    target.hasMoreEnds = reply.lists->isEndListFull;
    if (reply.clock) {
        target.clock = ClockSample{*reply.clock, board.now};
    }
    board.targets.put(id, target);
    applyLists(board, id, reply, sentAt);
    target = *board.targets.find(id);
    target.nextHoldAt = board.now + delayOfNextHold(board, target, *reply.lists);
    board.targets.put(id, std::move(target));
}

void avoidTarget(WorkflowBoard &board, const TargetId &id)
{
    if (const auto *present = board.targets.find(id)) {
        DomainTarget target = *present;
        target.avoidUntil = board.now + refusalPause;
        board.targets.put(id, std::move(target));
    }
}

void handleStartRefusal(WorkflowBoard &board, TaskRun run, const TargetOrderReply &reply)
{
    const auto reason = std::string(name(reply.refusal));
    logDecision(board, "startRun", run.place.target.value, toString(run.task), "run " + std::to_string(run.number) + " refused: " + reason, true);
    count(board.counters, "startsRefused", reason);
    if (reply.refusal == OrderRefusal::Fenced) {
        handleFencedOrder(board, run.place.target);
    }
    if (reply.refusal == OrderRefusal::TooLate) {
        run.retryAt = board.now;
        putRun(board, run);
        return;
    }
    if (reply.refusal == OrderRefusal::NoTicket) {
        // Drops the rejected ticket, so that the adviser is asked again.
        if (const auto advice = board.advice.steps.find(run.task.step); advice != board.advice.steps.end()) {
            advice->second.allowed.erase(run.place);
        }
    }
    if (reply.refusal == OrderRefusal::Unhealthy || reply.refusal == OrderRefusal::NoRoom || reply.refusal == OrderRefusal::OtherInstance) {
        avoidTarget(board, run.place.target);
    }
    if (reply.refusal == OrderRefusal::OldRun) {
        // The run has ended or was stopped on the target; the lists show how it ended, or that it never ran.
        run.step = RunStep::Ending;
        run.stoppedAt = board.now;
        run.stepSince = board.now;
        putRun(board, run);
    } else if (run.starts == 1) {
        removeRun(board, run);
    } else {
        // An earlier copy of the order may still arrive, so the run has to be stopped.
        run.isStopWanted = true;
        putRun(board, run);
    }
    failGangOf(board, run, GangBreakCause::MemberNotStarted, "a member was refused");
}

/// Delay before an unanswered order is repeated. The first repetition is sent at once, on a new connection; after that the delay doubles each time.
Duration retryDelay(Duration first, int unanswered)
{
    return unanswered <= 1 ? Duration{0} : std::min(maxOrderDelay, first * (1 << std::min(unanswered - 2, maxDoublings)));
}

/// Repeats a refused stop, because a target that refuses an order has not carried it out. Only the refusal of an old run shows that the run is stopped.
void handleStopRefusal(WorkflowBoard &board, TaskRun run, const TargetOrderReply &reply)
{
    const auto reason = std::string(name(reply.refusal));
    logDecision(board, "stopRun", run.place.target.value, toString(run.task), "stop of run " + std::to_string(run.number) + " refused: " + reason, true);
    count(board.counters, "stopsRefused", reason);
    if (reply.refusal == OrderRefusal::Fenced) {
        handleFencedOrder(board, run.place.target);
    }
    if (reply.refusal == OrderRefusal::OldRun) {
        fenceLateStart(board, run.task, run.number);
        run.stoppedAt = board.now;
        run.step = RunStep::Ending;
    } else {
        ++run.unansweredOrders;
        run.retryAt = board.now + std::max(board.self.limits.orderRetry, retryDelay(board.self.limits.orderRetry, run.unansweredOrders));
    }
    putRun(board, run);
}

void measureAnswer(WorkflowBoard &board, const TaskRun &run, const TargetOrderReply &reply)
{
    const auto taken = board.now - run.startSentAt;
    if (reply.outcome == OrderOutcome::Accepted || reply.outcome == OrderOutcome::Refused) {
        board.startAnswers = withSample(board.startAnswers, taken);
    } else if (reply.outcome == OrderOutcome::Unknown) {
        board.startAnswers = withTimeout(board.startAnswers, taken);
    }
}

void handleRunReply(WorkflowBoard &board, TaskRun run, const TargetOrderReply &reply)
{
    const bool wasStop = run.isStopCall;
    if (!wasStop) {
        measureAnswer(board, run, reply);
    }
    run.call.reset();
    if (reply.outcome == OrderOutcome::Refused && wasStop) {
        handleStopRefusal(board, std::move(run), reply);
        return;
    }
    run.unansweredOrders = reply.outcome == OrderOutcome::Accepted || reply.outcome == OrderOutcome::Refused ? 0 : run.unansweredOrders;
    if (reply.outcome == OrderOutcome::Accepted) {
        if (wasStop) {
            fenceLateStart(board, run.task, run.number);
            run.stoppedAt = board.now;
            run.step = RunStep::Ending;
        } else {
            run.step = run.step == RunStep::Starting ? RunStep::Running : run.step;
            noteBegun(board, run.task.step.workflow);
        }
        run.stepSince = board.now;
        putRun(board, run);
        return;
    }
    if (reply.outcome == OrderOutcome::Refused) {
        handleStartRefusal(board, std::move(run), reply);
        return;
    }
    logDecision(board, wasStop ? "stopRun" : "startRun", run.place.target.value, toString(run.task), "no answer: " + reply.error, true);
    count(board.counters, wasStop ? "stopsUnanswered" : "startsUnanswered", "");
    if (!wasStop && reply.outcome == OrderOutcome::Unknown) {
        run.mayArriveLate = true;
        noteLateStart(board, run);
    }
    ++run.unansweredOrders;
    run.retryAt = board.now + retryDelay(board.self.limits.orderRetry, run.unansweredOrders);
    putRun(board, run);
}

/// Time between two pace orders while an earlier one may still take effect. A target works at the wrong pace for no longer than this, in which fillers
/// cannot do harm.
Duration paceRepetition(const WorkflowBoard &board)
{
    return board.self.limits.harmBound / 4;
}

/// Handles the answer to a pace order. An order without an answer may take effect at once, never, or seconds later, when it replaces a newer one; so the pace
/// is ordered again at once, and repeatedly as long as the former order may still arrive.
void handlePaceReply(WorkflowBoard &board, TaskRun run, const TargetOrderReply &reply)
{
    run.paceCall.reset();
    if (reply.outcome == OrderOutcome::Accepted && board.now < run.paceUncertainUntil) {
        run.paceRepeatAt = board.now + paceRepetition(board);
    } else if (reply.outcome != OrderOutcome::Accepted) {
        run.paceUncertainUntil = reply.outcome == OrderOutcome::Unknown ? board.now + maxDeliveryDelay : run.paceUncertainUntil;
        run.orderedPercent.reset();
        run.paceRetryAt = board.now + board.self.limits.orderRetry;
        subscribeNoLaterThan(board.timers, "orders", run.paceRetryAt);
        count(board.counters, "pacesUnanswered", reply.outcome == OrderOutcome::Refused ? std::string(name(reply.refusal)) : "");
        logDecision(board, "paceFillers", run.place.target.value, toString(run.task), "pace order failed: " + reply.error, true);
    }
    putRun(board, run);
}

void recordContact(WorkflowBoard &board, const TargetOrderReply &reply)
{
    const auto *present = board.targets.find(reply.target);
    if (present == nullptr || !present->hasAnsweredOwner) {
        return;
    }
    DomainTarget target = *present;
    if (reply.clock) {
        target.clock = ClockSample{*reply.clock, board.now};
        target.answeredAt = board.now;
        target.orderUnansweredAt.reset();
    } else if (reply.outcome == OrderOutcome::Unknown) {
        target.orderUnansweredAt = board.now;
    }
    board.targets.put(reply.target, std::move(target));
}

}

void followRuns(WorkflowBoard &board)
{
    if (board.ownership.step != OwnershipStep::Owner) {
        return;
    }
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<TargetOrderReply>(&event);
        if (reply == nullptr) {
            continue;
        }
        const auto *target = board.targets.find(reply->target);
        if (target != nullptr && target->hold == reply->id) {
            handleHoldReply(board, reply->target, *reply);
            continue;
        }
        const auto call = board.runCalls.extract(reply->id);
        const auto *run = call ? board.runs.find(call.mapped()) : nullptr;
        if (run != nullptr && run->paceCall == reply->id) {
            handlePaceReply(board, *run, *reply);
        } else if (run != nullptr && run->call == reply->id) {
            recordContact(board, *reply);
            handleRunReply(board, *run, *reply);
        }
    }
}

}
