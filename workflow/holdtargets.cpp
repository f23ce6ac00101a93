#include "controllers.h"
#include "holdpacing.h"
#include "progresschange.h"
#include "targetlease.h"
#include "targetorders.h"

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace sequoiastand
{

namespace
{

// Longest time for which a hold lets a draining target continue its runs. The runs are lost when the target leaves, and the shorter the hold was, the sooner
// the owner can be certain that they are lost.
constexpr Duration drainingHold{4'000};

// A target where fillers run beside serving tasks answers holds at least this many times within the harm bound, because only its lists show whether the fillers
// harm these tasks.
constexpr int reportsPerHarmBound = 10;

// Longest wait of a hold to a target from which a stopped or adopted run may be missing. Such a run has no end that would answer the hold earlier, and its task
// may start elsewhere only once a list lacks it.
constexpr Duration absenceWait{100};

// Of the probes of a silent target with runs, every third one waits longer for its answer, so that a target that answers late keeps its runs.
constexpr int patientProbePeriod = 3;
constexpr Duration patientProbeTimeout{1'500};

bool hasStoredEnd(const WorkflowBoard &board, const DomainTarget &target)
{
    return !target.pendingEnds.empty() && isStored(board, target.pendingEnds.front().workflow, target.pendingEnds.front().version);
}

/// Advances `acknowledgedEnd` to the newest run end whose effect on its workflow is stored, and makes a hold due at once to tell the target.
DomainTarget withStoredEnds(const WorkflowBoard &board, DomainTarget target)
{
    while (hasStoredEnd(board, target)) {
        target.acknowledgedEnd = target.pendingEnds.front().number;
        target.pendingEnds.pop_front();
        target.nextHoldAt = board.now;
    }
    return target;
}

/// Removes the runs of a target that has not answered and whose lease has certainly ended.
void loseRuns(WorkflowBoard &board, const TargetId &id)
{
    for (const auto &run : startedRunsOn(board, id)) {
        logDecision(
            board, "loseRun", id.value, toString(run.task), "run " + std::to_string(run.number) + " has lapsed because the target has not answered", true);
        count(board.counters, "runsEnded", "lapsed");
        noteLostRun(board, run);
        removeRun(board, run);
    }
}

bool hasRuns(const WorkflowBoard &board, const TargetId &id)
{
    return board.runs.usedTargets().contains(id);
}

/// Time for the answer to a hold, in addition to the hold's wait.
Duration answerTimeout(const WorkflowBoard &board, const DomainTarget &target)
{
    const bool isPatient =
        target.hasAnsweredOwner && target.failures > 0 && target.failures % patientProbePeriod == 0 && hasRuns(board, target.registration.instance.target);
    return isPatient ? std::max(patientProbeTimeout, board.self.limits.orderTimeout) : board.self.limits.orderTimeout;
}

/// True if the target has a run that was adopted or whose stop is wanted, and which no list has shown.
bool awaitsAbsence(const WorkflowBoard &board, const TargetId &id)
{
    const auto &tasks = board.runs.useOf(id).tasks;
    return std::ranges::any_of(tasks, [&](const TaskId &task) {
        const auto &run = *board.runs.find(task);
        return (run.isStopWanted || run.step == RunStep::Unconfirmed) && !run.isListed;
    });
}

/// Wait of the next hold. Waits are randomised to spread the answers, so that some target of each zone answers at any time.
Duration waitOfHold(WorkflowBoard &board, const DomainTarget &target)
{
    const auto &limits = board.self.limits;
    const auto &id = target.registration.instance.target;
    if (target.hasMoreEnds || !target.pendingEnds.empty()) {
        return Duration{0};
    }
    const bool isShared = board.fillerPaces.contains(id);
    const auto longest = isShared ? std::min(limits.holdWait, limits.harmBound / reportsPerHarmBound) : limits.holdWait;
    const auto wait = longest / 2 + takeJitter(board, longest / 2);
    return awaitsAbsence(board, id) ? std::min(wait, absenceWait) : wait;
}

void sendHold(WorkflowBoard &board, DomainTarget &target, bool keepsConnection)
{
    const auto &limits = board.self.limits;
    HoldRuns hold;
    // The next instance of the target numbers its ends from 1 again and may execute this hold late, so only ends that are not confirmed yet are acknowledged.
    hold.acknowledgedEnd = target.acknowledgedEnd > target.confirmedEnd ? target.acknowledgedEnd : 0;
    // The first hold under a token does not extend the lease, because the target's runs have not been compared with the records yet. A hold to a target that
    // has not answered the latest one does not extend the lease either: if such holds took effect without being answered, the time at which the runs have
    // certainly lapsed would be postponed without end.
    if (target.hasAnsweredOwner && target.clock && target.failures == 0) {
        hold.deadline = *estimatedClock(target, board.now) + (target.registration.isDraining ? std::min(drainingHold, limits.holdMax) : limits.holdMax);
        hold.wait = waitOfHold(board, target);
        target.heldUntil = std::max(target.heldUntil, *hold.deadline);
    }
    auto order = makeOrder(board, target, hold, hold.wait + answerTimeout(board, target));
    order.keepsConnection = keepsConnection;
    target.hold = order.id;
    target.holdStartTimeMs = target.registration.instance.startTimeMs;
    target.acknowledgementUnderWay = hold.acknowledgedEnd;
    target.holdSentAt = board.now;
    board.outbox.emplace_back(std::move(order));
}

/// True if the next hold is a probe: the target has not answered under this token yet, or has not answered the latest hold. A probe is answered without
/// waiting.
bool isProbe(const DomainTarget &target)
{
    return !target.hasAnsweredOwner || target.failures > 0;
}

bool isHoldDue(const WorkflowBoard &board, const DomainTarget &target)
{
    return !target.hold && !target.registration.address.empty() && board.now >= target.nextHoldAt;
}

int probesUnderWay(const WorkflowBoard &board)
{
    return static_cast<int>(std::ranges::count_if(board.targets.rows(), [](const auto &row) { return row.second.hold && isProbe(row.second); }));
}

/// Targets for which a hold is due or for which run ends can be acknowledged. The number of probes under way is limited: targets with runs are probed first,
/// then the targets that have waited longest.
std::vector<TargetId> targetsToHold(const WorkflowBoard &board)
{
    std::vector<TargetId> chosen;
    std::vector<TargetId> probes;
    for (const auto &[id, target] : board.targets.rows()) {
        if (hasStoredEnd(board, target) || (isHoldDue(board, target) && !isProbe(target))) {
            chosen.push_back(id);
        } else if (isHoldDue(board, target)) {
            probes.push_back(id);
        }
    }
    const auto room = static_cast<std::size_t>(std::max(0, probes.empty() ? 0 : holdPace(board).maxConcurrentProbes - probesUnderWay(board)));
    if (probes.size() > room) {
        std::ranges::sort(probes, {}, [&](const TargetId &id) { return std::tuple(!hasRuns(board, id), board.targets.find(id)->nextHoldAt, id); });
        probes.resize(room);
    }
    chosen.insert(chosen.end(), probes.begin(), probes.end());
    return chosen;
}

void loseLapsedRuns(WorkflowBoard &board)
{
    std::vector<TargetId> lapsed;
    std::optional<TimePoint> next;
    for (const auto &[id, target] : board.targets.rows()) {
        const bool isUnanswered = !target.answeredAt || target.failures > 0;
        if (!isUnanswered) {
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

/// Sets the timer for the next hold. Holds that are due but have to wait until other holds are answered need no timer, because these answers wake the host.
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
    for (const auto &id : targetsToHold(board)) {
        auto target = withStoredEnds(board, *board.targets.find(id));
        if (isHoldDue(board, target)) {
            sendHold(board, target, pace.keepsIdleConnections || hasRuns(board, id));
        }
        board.targets.put(id, std::move(target));
    }
    subscribeNextHold(board);
    loseLapsedRuns(board);
}

}
