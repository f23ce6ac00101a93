#include "controllers.h"
#include "eligibility.h"
#include "organisationcap.h"
#include "progresschange.h"
#include "runends.h"
#include "targetlease.h"
#include "targetorders.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Share of the gang wait time after which an unanswered start of a member is abandoned.
constexpr double gangStartShare = 0.5;

// Time for which the start of a recorded gang waits for a target that has not answered another order. Such an order is repeated at once and a hold after a
// quarter of a second, so a target that works answers within this time. A wide gang would otherwise be given up for each missed answer of any of its targets.
constexpr Duration longestStartBlock{500};

// Time after which a gang is started although targets of it miss answers in turn; on a busy machine there may be no moment at which all of them have answered.
constexpr Duration longestGangBlock{800};

// Stops that may be under way at a target that has left an order unanswered. The stops of a wide job, sent together and repeated together, keep a target that
// answers late from answering any of them, and its hold.
constexpr int maxStopsAtSilentTarget = 4;

void sendOrder(WorkflowBoard &board, TaskRun &run, const DomainTarget &target, TargetOrderRequest request)
{
    run.isStopCall = std::holds_alternative<StopRun>(request);
    const auto &limits = board.self.limits;
    auto order = makeOrder(board, target, std::move(request), timeoutFor(board.startAnswers, limits.startTimeout, limits.maxStartTimeout));
    run.call = order.id;
    board.runCalls.insert_or_assign(order.id, run.task);
    board.outbox.emplace_back(std::move(order));
}

void sendStart(WorkflowBoard &board, TaskRun run)
{
    const auto *entry = board.workflows.find(run.task.step.workflow);
    DomainTarget target = *board.targets.find(run.place.target);
    StartRun start;
    start.task = run.task;
    start.run = run.number;
    start.workflow = entry->workflow;
    start.deadline = estimatedClock(target, board.now).value_or(TargetClock{0}) + board.self.limits.startValidity;
    start.checkpoint = run.resumedFrom;
    if (const auto *ticket = findTicket(board.advice, run.task.step, run.place, board.now)) {
        start.ticket = ticket->text;
    }
    if (run.step == RunStep::Recording) {
        run.step = RunStep::Starting;
        run.stepSince = board.now;
    }
    ++run.starts;
    run.startSentAt = board.now;
    run.startDeadline = std::max(run.startDeadline.value_or(start.deadline), start.deadline);
    target.heldUntil = std::max(target.heldUntil, start.deadline);
    target.nextHoldAt = std::min(target.nextHoldAt, board.now);
    sendOrder(board, run, target, std::move(start));
    board.targets.put(run.place.target, std::move(target));
    putRun(board, run);
}

void sendStop(WorkflowBoard &board, TaskRun run)
{
    const auto *target = board.targets.find(run.place.target);
    if (target == nullptr || target->registration.address.empty()) {
        return;
    }
    sendOrder(board, run, *target, StopRun{run.task, run.number});
    putRun(board, run);
}

bool hasNeededTicket(const WorkflowBoard &board, const TaskRun &run)
{
    const auto *entry = board.workflows.find(run.task.step.workflow);
    const bool needsTicket = entry != nullptr && queueOf(board, *entry->workflow).advice.has_value();
    return !needsTicket || findTicket(board.advice, run.task.step, run.place, board.now) != nullptr;
}

bool mayStart(const WorkflowBoard &board, const TaskRun &run)
{
    const auto *target = board.targets.find(run.place.target);
    return target != nullptr && target->registration.instance == run.place && acceptsWork(board, *target) && hasNeededTicket(board, run);
}

bool isGangMember(const WorkflowBoard &board, const TaskRun &run)
{
    const auto *step = findStep(board, run.task.step);
    return step != nullptr && step->isGang;
}

/// Why the run may not start for as long as it is recorded on this target; empty if its target only has to answer.
std::string_view lastingBlock(const WorkflowBoard &board, const TaskRun &run)
{
    const auto *target = board.targets.find(run.place.target);
    if (target == nullptr || target->registration.instance != run.place) {
        return "its target has left or has restarted";
    }
    if (!isInService(board, *target)) {
        return "its target is out of service";
    }
    if (target->avoidUntil && board.now < *target->avoidUntil) {
        return "its target has refused another start";
    }
    return hasNeededTicket(board, run) ? "" : "its ticket has expired";
}

/// Drops a recorded run that may no longer start. A gang is dropped as a whole, before any member has been started.
void dropRecorded(WorkflowBoard &board, const TaskRun &run, std::string_view block)
{
    const bool isGang = isGangMember(board, run);
    logDecision(board,
                "startRun",
                run.place.target.value,
                toString(run.task),
                "run " + std::to_string(run.number) + (isGang ? " of the whole gang" : "")
                    + " dropped before its start: " + (block.empty() ? "its target does not answer" : std::string(block)));
    const auto runs = isGang ? runsOf(board, run.task.step) : std::vector<TaskRun>{run};
    for (const auto &recorded : runs) {
        if (recorded.step == RunStep::Recording) {
            removeRun(board, recorded);
        }
    }
}

/// Drops a recorded run that may not start. A member of a gang waits for a while if its target only has to answer, and so does the gang.
void holdBackOrDrop(WorkflowBoard &board, TaskRun run)
{
    const bool mayWait = isGangMember(board, run) && lastingBlock(board, run).empty();
    if (!mayWait || (run.blockedSince && board.now >= *run.blockedSince + longestStartBlock)) {
        dropRecorded(board, run, lastingBlock(board, run));
        return;
    }
    if (!run.blockedSince) {
        run.blockedSince = board.now;
        run.firstBlockedAt = run.firstBlockedAt.value_or(board.now);
        count(board.counters, "startsBlocked", "");
        putRun(board, run);
    }
    subscribeNoLaterThan(board.timers, "orders", *run.blockedSince + longestStartBlock);
}

void endBlock(WorkflowBoard &board, TaskRun run)
{
    run.blockedSince.reset();
    putRun(board, run);
}

void sendIfStored(WorkflowBoard &board, const TaskRun &run)
{
    if (isProofFresh(board) && isStored(board, run.task.step.workflow, run.recordedInVersion)) {
        sendStart(board, run);
    }
}

/// True unless the target drains, has left, or is in an evacuated zone, so that a repeated start would begin too late.
bool isOpenForStarts(const WorkflowBoard &board, const TaskRun &run)
{
    const auto *target = board.targets.find(run.place.target);
    return target != nullptr && isInService(board, *target);
}

/// What the organisations have left within their caps beside everything that may be running; empty without caps.
std::map<OrganisationId, ResourceCap> roomWithinCaps(const WorkflowBoard &board)
{
    const auto caps = capsInForce(board.view, board.now);
    return caps.empty() ? caps : roomOfOrganisations(caps, organisationUse(board));
}

/// The room of a step of the loop, which is computed once, when the first order needs it.
using CapRoom = std::optional<std::map<OrganisationId, ResourceCap>>;

/// True if the organisation has more running than its cap allows, so that no unanswered start of it may be repeated.
bool isAboveCap(const WorkflowBoard &board, const TaskRun &run, CapRoom &capRoom)
{
    const auto *entry = board.workflows.find(run.task.step.workflow);
    capRoom = capRoom ? std::move(capRoom) : CapRoom(roomWithinCaps(board));
    const auto room = entry == nullptr ? capRoom->end() : capRoom->find(entry->workflow->organisation);
    return room != capRoom->end() && isExceeded(room->second);
}

void driveStarting(WorkflowBoard &board, const TaskRun &run, CapRoom &capRoom)
{
    const bool isGang = isGangMember(board, run);
    const auto gangWait = static_cast<double>(board.self.limits.gangWait.count()) * gangStartShare;
    const Duration longestWait = isGang ? Duration{static_cast<Duration::rep>(gangWait)} : board.self.limits.startValidity;
    if (board.now >= run.stepSince + longestWait) {
        stopRuns(board, {run}, RunStopCause::StartUnanswered, std::to_string(run.starts) + " starts without an answer");
        failGangOf(board, run, GangBreakCause::MemberNotStarted, "a member's start was not answered in time");
        return;
    }
    if (board.now < run.retryAt) {
        subscribeNoLaterThan(board.timers, "orders", run.retryAt);
        return;
    }
    if (!isOpenForStarts(board, run)) {
        stopRuns(board, {run}, RunStopCause::StartUnanswered, "its target takes no more starts, and none was answered");
        failGangOf(board, run, GangBreakCause::MemberNotStarted, "a member's target takes no more starts");
        return;
    }
    subscribeNoLaterThan(board.timers, "orders", run.stepSince + longestWait);
    // Without a recent proof the zone may have been evacuated since the first order. A new proof wakes the host. The cap may have been lowered since.
    if (isProofFresh(board) && !isAboveCap(board, run, capRoom)) {
        count(board.counters, "startsRepeated", "");
        sendStart(board, run);
    }
}

/// The stops under way at each target that has left an order unanswered.
std::map<TargetId, int> stopsAtSilentTargets(const WorkflowBoard &board)
{
    std::map<TargetId, int> stops;
    for (const auto &[call, task] : board.runCalls) {
        const auto *run = board.runs.find(task);
        const auto *target = run == nullptr ? nullptr : board.targets.find(run->place.target);
        if (target != nullptr && target->orderUnansweredAt && run->call == call && run->isStopCall) {
            ++stops[target->registration.instance.target];
        }
    }
    return stops;
}

/// The time from which the stop may be sent, as far as its target's silence decides.
TimePoint stopAllowedAt(const WorkflowBoard &board, const TaskRun &run, const std::map<TargetId, int> &stopsAtSilent)
{
    const auto *target = board.targets.find(run.place.target);
    if (target == nullptr || !target->orderUnansweredAt) {
        return board.now;
    }
    const auto stops = stopsAtSilent.find(run.place.target);
    const bool isFull = stops != stopsAtSilent.end() && stops->second >= maxStopsAtSilentTarget;
    return (isFull ? board.now : *target->orderUnansweredAt) + board.self.limits.orderRetry;
}

void driveStop(WorkflowBoard &board, const TaskRun &run, std::map<TargetId, int> &stopsAtSilent)
{
    const auto allowedAt = std::max(run.retryAt, stopAllowedAt(board, run, stopsAtSilent));
    if (allowedAt > board.now) {
        subscribeNoLaterThan(board.timers, "orders", allowedAt);
        return;
    }
    ++stopsAtSilent[run.place.target];
    sendStop(board, run);
}

/// Tasks of one step whose starts are due. Steps are served by priority and then by age.
struct StartGroup
{
    int priority = 0;
    TimePoint recordedAt;
    bool isGang = false;
    std::vector<TaskId> tasks;
};

std::vector<StartGroup> startGroups(const WorkflowBoard &board, const std::vector<TaskId> &tasks)
{
    std::vector<StartGroup> groups;
    std::optional<StepId> step;
    for (const auto &task : tasks) {
        const auto *run = board.runs.find(task);
        const auto *entry = board.workflows.find(task.step.workflow);
        if (run == nullptr || run->step != RunStep::Recording || entry == nullptr) {
            continue;
        }
        if (step != task.step) {
            const auto *specification = findStep(board, task.step);
            groups.push_back({queueOf(board, *entry->workflow).priority, run->stepSince, specification != nullptr && specification->isGang, {}});
            step = task.step;
        }
        groups.back().tasks.push_back(task);
    }
    std::ranges::stable_sort(groups, {}, [](const StartGroup &group) { return std::pair(group.priority, group.recordedAt); });
    return groups;
}

int startsUnderWay(const WorkflowBoard &board)
{
    return static_cast<int>(std::ranges::count_if(board.runCalls, [&](const auto &call) {
        const auto *run = board.runs.find(call.second);
        return run != nullptr && run->call == call.first && !run->isStopCall;
    }));
}

/// True if the gang waits for targets of it. A gang that has waited long is started if all that they lack is the answer to an order or a hold.
bool isHeldBack(const WorkflowBoard &board, const std::vector<TaskId> &gang)
{
    const auto runOf = [&](const TaskId &task) -> const TaskRun & { return *board.runs.find(task); };
    if (std::ranges::all_of(gang, [&](const TaskId &task) { return mayStart(board, runOf(task)); })) {
        return false;
    }
    const bool hasWaitedLong = std::ranges::any_of(gang, [&](const TaskId &task) {
        const auto since = runOf(task).firstBlockedAt;
        return since && board.now >= *since + longestGangBlock;
    });
    return !hasWaitedLong
           || !std::ranges::all_of(gang, [&](const TaskId &task) { return acceptsWorkIfReachable(board, *board.targets.find(runOf(task).place.target)); });
}

bool isStoredGroup(const WorkflowBoard &board, const StartGroup &group)
{
    const auto &first = *board.runs.find(group.tasks.front());
    return isStored(board, first.task.step.workflow, first.recordedInVersion);
}

/// Drops recorded runs that no longer fit under the caps, because a cap was lowered or a stray run was listed after they were planned. The least urgent and
/// newest ones are dropped first.
void dropBeyondCaps(WorkflowBoard &board, const std::vector<StartGroup> &groups)
{
    const bool mayStart = std::ranges::any_of(groups, [&](const StartGroup &group) { return isStoredGroup(board, group); });
    auto room = mayStart ? roomWithinCaps(board) : std::map<OrganisationId, ResourceCap>{};
    if (std::ranges::none_of(room, [](const auto &row) { return isExceeded(row.second); })) {
        return;
    }
    std::vector<RecordedStart> starts;
    std::ranges::transform(groups, std::back_inserter(starts), [&](const StartGroup &group) {
        const auto &step = group.tasks.front().step;
        return RecordedStart{board.workflows.find(step.workflow)->workflow->organisation, findStep(board, step)->perTask, group.isGang, group.tasks};
    });
    for (const auto &task : startsBeyondCaps(starts, std::move(room))) {
        if (const auto *run = board.runs.find(task)) { // A gang is dropped with its first member.
            dropRecorded(board, TaskRun{*run}, "its organisation has reached its cap");
        }
    }
}

/// Sends recorded starts up to the limit on starts under way. The starts of a gang are sent together, because its members wait for each other on their targets.
void sendRecorded(WorkflowBoard &board, const std::vector<TaskId> &tasks)
{
    int underWay = startsUnderWay(board);
    const int limit = board.self.limits.maxStartsUnderWay;
    dropBeyondCaps(board, startGroups(board, tasks));
    for (const auto &group : startGroups(board, tasks)) {
        if (underWay >= limit) {
            return;
        }
        if (group.isGang && isHeldBack(board, group.tasks)) {
            continue;
        }
        const auto room = group.isGang ? group.tasks.size() : static_cast<std::size_t>(limit - underWay);
        for (const auto &task : group.tasks | std::views::take(room)) {
            sendIfStored(board, *board.runs.find(task));
        }
        underWay = startsUnderWay(board);
    }
}

}

void driveRuns(WorkflowBoard &board)
{
    if (!hasAuthority(board)) {
        return;
    }
    const auto &needingOrders = board.runs.needingOrders();
    if (needingOrders.empty()) {
        return;
    }
    const std::vector<TaskId> waiting(needingOrders.begin(), needingOrders.end());
    for (const auto &task : waiting) {
        const auto *run = board.runs.find(task);
        if (run == nullptr || run->step != RunStep::Recording) {
            continue;
        }
        if (!mayStart(board, *run)) {
            holdBackOrDrop(board, TaskRun{*run});
        } else if (run->blockedSince) {
            endBlock(board, TaskRun{*run});
        }
    }
    auto stopsAtSilent = stopsAtSilentTargets(board);
    CapRoom capRoom;
    for (const auto &task : waiting) {
        const auto *present = board.runs.find(task);
        if (present == nullptr || present->call) {
            continue;
        }
        const TaskRun run = *present;
        if (run.isStopWanted && !run.stoppedAt) {
            driveStop(board, run, stopsAtSilent);
        } else if (run.step == RunStep::Starting && !run.stoppedAt) {
            driveStarting(board, run, capRoom);
        }
    }
    sendRecorded(board, waiting);
}

}
