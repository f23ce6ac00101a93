#include "controllers.h"
#include "holdpacing.h"
#include "progresschange.h"
#include "targetlease.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace sequoiastand
{

namespace
{

// What stands on a leaving target is lost when it goes; with a short hold that is certain soon afterwards.
constexpr Duration drainingHold{4'000};

// Where fillers share a target with serving tasks, its lists are the only sign of harm, so they are asked for so often.
constexpr int reportsPerHarmBound = 10;

bool hasStoredEnd(const WorkflowBoard &board, const DomainTarget &target)
{
    return !target.pendingEnds.empty() && isStored(board, target.pendingEnds.front().workflow, target.pendingEnds.front().version);
}

/// Moves `acknowledgedEnd` up to the newest end whose consequences the store holds. The target hears of it at once.
DomainTarget withStoredEnds(const WorkflowBoard &board, DomainTarget target)
{
    while (hasStoredEnd(board, target)) {
        target.acknowledgedEnd = target.pendingEnds.front().number;
        target.pendingEnds.pop_front();
        target.nextHoldAt = board.now;
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

/// Targets that runs stand on.
std::set<TargetId> targetsWithRuns(const WorkflowBoard &board)
{
    std::set<TargetId> targets;
    std::ranges::transform(board.runs.rows(), std::inserter(targets, targets.end()), [](const auto &row) { return row.second.place.target; });
    return targets;
}

void sendHold(WorkflowBoard &board, DomainTarget &target, bool keepsConnection)
{
    const auto &limits = board.self.limits;
    HoldRuns hold;
    hold.acknowledgedEnd = target.acknowledgedEnd;
    // The first look under a token extends nothing: what runs there has not been compared with the records yet. Nor does a look at a silent target: if it is
    // carried out without an answer, the time at which the runs have surely lapsed would move on for ever.
    if (target.hasAnsweredOwner && target.clock && target.failures == 0) {
        hold.deadline = *estimatedClock(target, board.now) + (target.registration.isDraining ? std::min(drainingHold, limits.holdMax) : limits.holdMax);
        // Waits differ, so that some target of each zone answers at any time.
        const bool isShared = board.fillerPaces.contains(target.registration.instance.target);
        const auto longest = isShared ? std::min(limits.holdWait, limits.harmBound / reportsPerHarmBound) : limits.holdWait;
        hold.wait = target.pendingEnds.empty() ? longest / 2 + takeJitter(board, longest / 2) : Duration{0};
        target.heldUntil = std::max(target.heldUntil, *hold.deadline);
    }
    TargetOrder order;
    order.id = takeCallId(board);
    order.target = target.registration.instance.target;
    order.address = target.registration.address;
    order.token = board.ownership.token;
    order.timeout = hold.wait + timeoutWithLag(board, limits.orderTimeout);
    order.request = hold;
    order.keepsConnection = keepsConnection;
    target.hold = order.id;
    target.holdSentAt = board.now;
    board.outbox.emplace_back(std::move(order));
}

/// Asks a target that has not answered under this token, or did not answer the last time; the answer comes at once.
bool isLook(const DomainTarget &target)
{
    return !target.hasAnsweredOwner || target.failures > 0;
}

bool isHoldDue(const WorkflowBoard &board, const DomainTarget &target)
{
    return !target.hold && !target.registration.address.empty() && board.now >= target.nextHoldAt;
}

int looksUnderWay(const WorkflowBoard &board)
{
    return static_cast<int>(std::ranges::count_if(board.targets.rows(), [](const auto &row) { return row.second.hold && isLook(row.second); }));
}

/// Targets whose row changes now: a hold is due, or ends may be forgotten. Looks are sent in turns: first to targets that runs stand on, then to those that have waited longest.
std::vector<TargetId> targetsToHold(const WorkflowBoard &board)
{
    std::vector<TargetId> chosen;
    std::vector<TargetId> looks;
    for (const auto &[id, target] : board.targets.rows()) {
        if (hasStoredEnd(board, target) || (isHoldDue(board, target) && !isLook(target))) {
            chosen.push_back(id);
        } else if (isHoldDue(board, target)) {
            looks.push_back(id);
        }
    }
    const auto room = static_cast<std::size_t>(std::max(0, looks.empty() ? 0 : holdPace(board).maxConcurrentProbes - looksUnderWay(board)));
    if (looks.size() > room) {
        const auto withRuns = targetsWithRuns(board);
        std::ranges::sort(looks, {}, [&](const TargetId &id) { return std::tuple(!withRuns.contains(id), board.targets.find(id)->nextHoldAt, id); });
        looks.resize(room);
    }
    chosen.insert(chosen.end(), looks.begin(), looks.end());
    return chosen;
}

void loseSilentRuns(WorkflowBoard &board)
{
    std::vector<TargetId> lapsed;
    std::optional<TimePoint> next;
    for (const auto &[id, target] : board.targets.rows()) {
        const bool isSilent = !target.answeredAt || target.failures > 0;
        if (!isSilent) {
            continue;
        }
        const auto lapsesAt = latestLapseAt(target);
        if (board.now >= lapsesAt) {
            lapsed.push_back(id);
        } else {
            next = std::min(next.value_or(lapsesAt), lapsesAt);
        }
    }
    if (next) {
        subscribeNoLaterThan(board.timers, "lapses", *next);
    }
    std::ranges::for_each(lapsed, [&](const TargetId &id) { loseRuns(board, id); });
}

/// Holds that are due but have to wait for answers to others need no timer: the answers wake the host.
void subscribeNextHold(WorkflowBoard &board)
{
    std::optional<TimePoint> next;
    for (const auto &[id, target] : board.targets.rows()) {
        if (!target.hold && target.nextHoldAt > board.now) {
            next = std::min(next.value_or(target.nextHoldAt), target.nextHoldAt);
        }
    }
    if (next) {
        subscribeNoLaterThan(board.timers, "holds", *next);
    }
}

}

void holdTargets(WorkflowBoard &board)
{
    if (!hasAuthority(board) || !board.load.hasTargets || !board.load.hasIntake) {
        return;
    }
    if (board.now < board.nextHoldScanAt) {
        subscribeNoLaterThan(board.timers, "holds", board.nextHoldScanAt);
        return;
    }
    const auto pace = holdPace(board);
    board.nextHoldScanAt = board.now + pace.scanInterval;
    const auto withRuns = pace.keepsIdleConnections ? std::set<TargetId>{} : targetsWithRuns(board);
    for (const auto &id : targetsToHold(board)) {
        auto target = withStoredEnds(board, *board.targets.find(id));
        if (isHoldDue(board, target)) {
            sendHold(board, target, pace.keepsIdleConnections || withRuns.contains(id));
        }
        board.targets.put(id, std::move(target));
    }
    subscribeNextHold(board);
    loseSilentRuns(board);
}

}
