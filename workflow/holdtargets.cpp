#include "controllers.h"
#include "progresschange.h"
#include "targetlease.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// What stands on a leaving target is lost when it goes; with a short hold that is certain soon afterwards.
constexpr Duration drainingHold{4'000};

/// Moves `lastSeen` up to the newest end whose consequences the store holds.
DomainTarget withStoredEnds(const WorkflowBoard &board, DomainTarget target)
{
    while (!target.pendingEnds.empty() && isStored(board, target.pendingEnds.front().workflow, target.pendingEnds.front().version)) {
        target.lastSeen = target.pendingEnds.front().number;
        target.pendingEnds.pop_front();
    }
    return target;
}

/// Runs on a target that did not answer in time are lost once its lease has surely ended.
void loseRuns(WorkflowBoard &board, const TargetId &id)
{
    std::vector<TaskRun> lost;
    for (const auto &[task, run] : board.runs.rows()) {
        if (run.place.target == id && run.step != RunStep::Recording) {
            lost.push_back(run);
        }
    }
    for (const auto &run : lost) {
        logDecision(board, "loseRun", id.value, toString(run.task), "run " + std::to_string(run.number) + " has lapsed; the target has not answered", true);
        count(board.counters, "runsEnded", "lapsed");
        removeRun(board, run);
    }
}

void sendHold(WorkflowBoard &board, DomainTarget &target)
{
    const auto &limits = board.self.limits;
    HoldRuns hold;
    hold.lastSeen = target.lastSeen;
    // The first look under a token extends nothing: what runs there has not been compared with the records yet. Nor does a look at a silent target: if it is
    // carried out without an answer, the time at which the runs have surely lapsed would move on for ever.
    if (target.isFenced && target.clock && target.failures == 0) {
        hold.deadline = *estimatedClock(target, board.now) + (target.registration.isDraining ? std::min(drainingHold, limits.holdMax) : limits.holdMax);
        // Waits differ, so that some target of each zone answers at any time.
        hold.wait = target.pendingEnds.empty() ? limits.holdWait / 2 + takeJitter(board, limits.holdWait / 2) : Duration{0};
        target.heldUntil = std::max(target.heldUntil, *hold.deadline);
    }
    TargetOrder order;
    order.id = takeCallId(board);
    order.target = target.registration.life.target;
    order.address = target.registration.address;
    order.token = board.ownership.token;
    order.timeout = hold.wait + patienceFor(board, limits.orderTimeout);
    order.request = hold;
    target.hold = order.id;
    target.holdSentAt = board.now;
    board.outbox.emplace_back(std::move(order));
}

bool hasNewsForTarget(const DomainTarget &before, const DomainTarget &after)
{
    return after.lastSeen > before.lastSeen;
}

}

void holdTargets(WorkflowBoard &board)
{
    if (!hasAuthority(board) || !board.load.hasTargets || !board.load.hasIntake) {
        return;
    }
    std::vector<TargetId> silent;
    std::vector<std::pair<TargetId, DomainTarget>> changed;
    for (const auto &[id, present] : board.targets.rows()) {
        DomainTarget target = withStoredEnds(board, present);
        if (hasNewsForTarget(present, target)) {
            target.nextHoldAt = board.now;
        }
        if (!target.hold && !target.registration.address.empty() && board.now >= target.nextHoldAt) {
            sendHold(board, target);
        }
        if (!target.hold) {
            subscribeNoLaterThan(board.timers, "holds", target.nextHoldAt);
        }
        const bool isSilent = !target.answeredAt || target.failures > 0;
        if (isSilent && board.now >= surelyLapsedAt(target)) {
            silent.push_back(id);
        } else if (isSilent) {
            subscribeNoLaterThan(board.timers, "lapses", surelyLapsedAt(target));
        }
        if (target != present) {
            changed.emplace_back(id, std::move(target));
        }
    }
    for (auto &[id, target] : changed) {
        board.targets.put(id, std::move(target));
    }
    std::ranges::for_each(silent, [&](const TargetId &id) { loseRuns(board, id); });
}

}
