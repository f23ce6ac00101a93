#include "fleetmodel.h"

#include "fleetchecks.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

TargetClock clockOf(const ModelTarget &target, TimePoint now)
{
    return now - target.instanceStartedAt;
}

std::string checkpointText(Duration done)
{
    return absl::StrCat(done.count());
}

Duration checkpointOf(const std::string &text)
{
    long long done = 0;
    return absl::SimpleAtoi(text, &done) ? Duration{done} : Duration{0};
}

Duration savedWork(const FleetModel &fleet, const StepSpecification &step, const ModelRun &run)
{
    if (!step.isCheckpointable) {
        return Duration{0};
    }
    return run.done / fleet.checkpointPeriod * fleet.checkpointPeriod;
}

void endRun(FleetModel &fleet, ModelTarget &target, const TaskId &task, RunEnd end)
{
    const auto run = target.running.extract(task);
    const auto *step = stepOf(fleet, task.step);
    const auto saved = step == nullptr ? Duration{0} : savedWork(fleet, *step, run.mapped());
    target.ended.push_back({++target.ends, task, run.mapped().run, end, saved > Duration{0} ? checkpointText(saved) : std::string{}});
    target.endedAt[target.ends] = run.mapped().countedAt;
    auto &highest = target.highestEnded[task];
    highest = std::max(highest, run.mapped().run);
    if (end == RunEnd::Finished && !isLasting(fleet, task)) {
        fleet.finished.try_emplace(task, run.mapped().countedAt);
    } else if (end == RunEnd::Failed) {
        fleet.failedEnds[countedTask(fleet, task)].insert(run.mapped().run);
    }
}

/// The running members of the gang's run.
std::vector<std::pair<TargetId, TaskId>> membersOf(const FleetModel &fleet, const StepId &step, int run)
{
    std::vector<std::pair<TargetId, TaskId>> members;
    for (const auto &[id, target] : fleet.targets) {
        for (const auto &[task, present] : target.running) {
            if (task.step == step && present.run == run) {
                members.emplace_back(id, task);
            }
        }
    }
    return members;
}

void breakGang(FleetModel &fleet, const StepId &step, int run, TimePoint now)
{
    for (const auto &[id, task] : membersOf(fleet, step, run)) {
        auto &member = fleet.targets.at(id).running.at(task);
        member.gangFailureAt = member.gangFailureAt.value_or(now + fleet.gangBreak);
    }
}

void endRunAndBreakGang(FleetModel &fleet, ModelTarget &target, const TaskId &task, RunEnd end)
{
    const int run = target.running.at(task).run;
    const auto *step = stepOf(fleet, task.step);
    const bool wasGangComplete = target.running.at(task).isGangComplete;
    const TimePoint endedAt = target.running.at(task).countedAt;
    endRun(fleet, target, task, end);
    if (step != nullptr && step->isGang && wasGangComplete) {
        breakGang(fleet, task.step, run, endedAt);
    }
}

TargetOrderReply refused(TargetOrderReply reply, OrderRefusal refusal)
{
    reply.outcome = OrderOutcome::Refused;
    reply.refusal = refusal;
    return reply;
}

TargetOrderReply start(FleetModel &fleet, ModelTarget &target, const StartRun &order, Revision token, TargetOrderReply reply, TimePoint now)
{
    const auto present = target.running.find(order.task);
    if (present != target.running.end() && present->second.run == order.run) {
        return reply;
    }
    if (order.deadline < clockOf(target, now)) {
        return refused(std::move(reply), OrderRefusal::TooLate);
    }
    target.heldUntil = std::max(target.heldUntil, target.instanceStartedAt + std::min(order.deadline, clockOf(target, now) + fleet.holdMax));
    const auto highest = target.highestEnded.find(order.task);
    if (present != target.running.end() || (highest != target.highestEnded.end() && order.run <= highest->second)) {
        return refused(std::move(reply), OrderRefusal::OldRun);
    }
    const auto *step = stepOf(fleet, order.task.step);
    if (step == nullptr) {
        recordUnknownTask(fleet, order.task);
        return refused(std::move(reply), OrderRefusal::Invalid);
    }
    const bool needsTicket = fleet.workflows.at(order.task.step.workflow).queue.advice.has_value();
    if (needsTicket && !isTicketValid(fleet.adviser, order.ticket, order.task.step, target.registration.instance, now)) {
        return refused(std::move(reply), OrderRefusal::NoTicket);
    }
    checkStart(fleet, target, order.task, *step);
    ModelRun run;
    run.run = order.run;
    run.startedAt = now;
    run.countedAt = now;
    run.done = checkpointOf(order.checkpoint);
    run.isGangComplete = !step->isGang;
    run.token = token;
    target.running.emplace(order.task, run);
    ++fleet.starts[order.task.step.workflow];
    fleet.lastStart[order.task] = now;
    checkRoom(fleet, target, order.task);
    checkQuota(fleet, order.task, now);
    return reply;
}

TargetOrderReply stop(const FleetModel &fleet, ModelTarget &target, const StopRun &order, TargetOrderReply reply, TimePoint now)
{
    auto &highest = target.highestEnded[order.task];
    highest = std::max(highest, order.run);
    const auto present = target.running.find(order.task);
    if (present != target.running.end() && present->second.run == order.run) {
        present->second.stopsAt = present->second.stopsAt.value_or(now + fleet.stopGrace / 2);
    }
    return reply;
}

TargetOrderReply pace(ModelTarget &target, const PaceRun &order, TargetOrderReply reply)
{
    const auto present = target.running.find(order.task);
    if (present == target.running.end() || present->second.run != order.run) {
        return refused(std::move(reply), OrderRefusal::OldRun);
    }
    present->second.pace = order.percent;
    return reply;
}

TargetOrderReply hold(FleetModel &fleet, ModelTarget &target, const HoldRuns &order, TargetOrderReply reply, TimePoint now)
{
    if (order.deadline) {
        target.heldUntil = std::max(target.heldUntil, target.instanceStartedAt + std::min(*order.deadline, clockOf(target, now) + fleet.holdMax));
    }
    while (!target.ended.empty() && target.ended.front().number <= order.acknowledgedEnd) {
        recordAcknowledgedEnd(fleet, target, target.ended.front(), now);
        target.endedAt.erase(target.ended.front().number);
        target.ended.pop_front();
    }
    TargetLists lists;
    lists.startTimeMs = target.registration.instance.startTimeMs;
    for (const auto &[task, run] : target.running) {
        const auto *step = stepOf(fleet, task.step);
        const auto saved = step == nullptr ? Duration{0} : savedWork(fleet, *step, run);
        ListedRun listed{task, run.run, saved > Duration{0} ? checkpointText(saved) : std::string{}};
        listed.percent = step != nullptr && step->isLasting && now - run.startedAt >= modelStartup ? 100 : 0;
        listed.load = static_cast<int>(tailOf(fleet, target, task).count());
        lists.running.push_back(std::move(listed));
    }
    std::ranges::copy(target.ended | std::views::take(fleet.maxListedEnds), std::back_inserter(lists.ended));
    lists.isEndListFull = lists.ended.size() >= fleet.maxListedEnds;
    reply.lists = std::move(lists);
    return reply;
}

Duration workOf(const FleetModel &fleet, const TaskId &task)
{
    const auto behaviour = fleet.behaviours.find(task.step.workflow);
    return behaviour == fleet.behaviours.end() ? TaskBehaviour{}.work : behaviour->second.work;
}

bool alwaysFails(const FleetModel &fleet, const TaskId &task)
{
    const auto behaviour = fleet.behaviours.find(task.step.workflow);
    return behaviour != fleet.behaviours.end() && behaviour->second.failingTasks.contains(task.index);
}

void updateGangs(FleetModel &fleet, TimePoint now)
{
    std::map<std::pair<StepId, int>, int> present;
    for (const auto &[id, target] : fleet.targets) {
        for (const auto &[task, run] : target.running) {
            ++present[{task.step, run.run}];
        }
    }
    for (auto &[id, target] : fleet.targets) {
        for (auto &[task, run] : target.running) {
            const auto *step = stepOf(fleet, task.step);
            if (!run.isGangComplete && step != nullptr && present[{task.step, run.run}] == step->taskCount) {
                run.isGangComplete = true;
                run.countedAt = now;
            }
        }
    }
}

void countWork(FleetModel &fleet, ModelTarget &target, TimePoint now)
{
    for (auto &[task, run] : target.running) {
        const bool works = run.isGangComplete && !target.faults.isStalled && !run.stopsAt && !run.gangFailureAt;
        if (works) {
            const auto passed = std::chrono::duration<double, std::milli>(now - run.countedAt) / target.faults.slowness;
            run.done = std::min(workOf(fleet, task), run.done + std::chrono::duration_cast<Duration>(passed));
        }
        run.countedAt = now;
    }
}

std::optional<RunEnd> endDue(const FleetModel &fleet, const ModelTarget &target, const TaskId &task, const ModelRun &run, TimePoint now)
{
    if (run.stopsAt && now >= *run.stopsAt) {
        return RunEnd::Stopped;
    }
    if (run.gangFailureAt && !run.stopsAt && now >= *run.gangFailureAt) {
        return RunEnd::Broken;
    }
    if (now >= target.heldUntil) {
        return RunEnd::Lapsed;
    }
    if (!run.isGangComplete && now - run.startedAt >= fleet.gangWait) {
        return RunEnd::Alone;
    }
    const auto *step = stepOf(fleet, task.step);
    if (!run.isGangComplete || run.gangFailureAt || run.done < workOf(fleet, task)) {
        return std::nullopt;
    }
    if (step != nullptr && step->isLasting) {
        const auto behaviour = fleet.behaviours.find(task.step.workflow);
        const auto end = behaviour == fleet.behaviours.end() ? std::nullopt : behaviour->second.lastingEnd;
        return target.faults.failsEverything ? RunEnd::Failed : end;
    }
    return alwaysFails(fleet, task) || target.faults.failsEverything ? RunEnd::Failed : RunEnd::Finished;
}

bool fails(const FleetModel &fleet, const TargetId &target, const TaskId &task)
{
    return alwaysFails(fleet, task) || fleet.targets.at(target).faults.failsEverything;
}

/// True if every member of the gang has done its work and none of them fails.
bool mayFinish(const FleetModel &fleet, const TaskId &task, int run)
{
    const auto *step = stepOf(fleet, task.step);
    if (step == nullptr || !step->isGang) {
        return true;
    }
    return std::ranges::all_of(membersOf(fleet, task.step, run), [&](const auto &member) {
        const bool isDone = fleet.targets.at(member.first).running.at(member.second).done >= workOf(fleet, member.second);
        return isDone && !fails(fleet, member.first, member.second);
    });
}

void finishGang(FleetModel &fleet, const TaskId &task, int run)
{
    for (const auto &[id, member] : membersOf(fleet, task.step, run)) {
        endRun(fleet, fleet.targets.at(id), member, RunEnd::Finished);
    }
}

void endDueRuns(FleetModel &fleet, const TargetId &id, TimePoint now)
{
    std::vector<TaskId> tasks;
    std::ranges::transform(fleet.targets.at(id).running, std::back_inserter(tasks), [](const auto &row) { return row.first; });
    for (const auto &task : tasks) {
        auto &target = fleet.targets.at(id);
        const auto present = target.running.find(task);
        if (present == target.running.end()) {
            continue; // This run has already ended together with its gang.
        }
        const int run = present->second.run;
        const auto due = endDue(fleet, target, task, present->second, now);
        const auto *step = stepOf(fleet, task.step);
        if (!due || (*due == RunEnd::Finished && !mayFinish(fleet, task, run))) {
            continue;
        }
        if (*due == RunEnd::Finished && step != nullptr && step->isGang) {
            finishGang(fleet, task, run);
        } else {
            endRunAndBreakGang(fleet, target, task, *due);
        }
    }
}

}

void addTarget(FleetModel &fleet, const TargetRegistration &registration, TimePoint now)
{
    ModelTarget target;
    target.registration = registration;
    target.instanceStartedAt = now;
    fleet.targets.insert_or_assign(registration.instance.target, std::move(target));
}

void restartTarget(FleetModel &fleet, const TargetId &id, TimePoint now)
{
    TargetRegistration registration = fleet.targets.at(id).registration;
    removeTarget(fleet, id);
    ++registration.instance.startTimeMs;
    addTarget(fleet, registration, now);
}

void removeTarget(FleetModel &fleet, const TargetId &id)
{
    auto gone = fleet.targets.extract(id);
    for (const auto &[task, run] : gone.mapped().running) {
        const auto *step = stepOf(fleet, task.step);
        if (step != nullptr && step->isGang && run.isGangComplete) {
            breakGang(fleet, task.step, run.run, run.countedAt);
        }
    }
}

TargetOrderReply carryOut(FleetModel &fleet, const TargetOrder &order, TimePoint now)
{
    fleet.now = now;
    advance(fleet, now);
    TargetOrderReply reply;
    reply.id = order.id;
    reply.target = order.target;
    const auto found = fleet.targets.find(order.target);
    if (found == fleet.targets.end()) {
        reply.outcome = OrderOutcome::NotSent;
        reply.error = "connection refused";
        return reply;
    }
    auto &target = found->second;
    reply.clock = clockOf(target, now);
    if (order.token < target.fence) {
        return refused(std::move(reply), OrderRefusal::Fenced);
    }
    target.fence = order.token;
    reply.outcome = OrderOutcome::Accepted;
    if (const auto *startOrder = std::get_if<StartRun>(&order.request)) {
        return start(fleet, target, *startOrder, order.token, std::move(reply), now);
    }
    if (const auto *stopOrder = std::get_if<StopRun>(&order.request)) {
        checkAvailability(fleet, stopOrder->task, now);
        return stop(fleet, target, *stopOrder, std::move(reply), now);
    }
    if (const auto *paceOrder = std::get_if<PaceRun>(&order.request)) {
        return pace(target, *paceOrder, std::move(reply));
    }
    return hold(fleet, target, std::get<HoldRuns>(order.request), std::move(reply), now);
}

void advance(FleetModel &fleet, TimePoint now)
{
    updateGangs(fleet, now);
    for (auto &[id, target] : fleet.targets) {
        countWork(fleet, target, now);
        checkHarm(fleet, target, now);
        target.lapsedAt = now >= target.heldUntil ? now : target.lapsedAt;
    }
    std::vector<TargetId> ids;
    std::ranges::transform(fleet.targets, std::back_inserter(ids), [](const auto &row) { return row.first; });
    std::ranges::for_each(ids, [&](const TargetId &id) { endDueRuns(fleet, id, now); });
}

void setCap(FleetModel &fleet, const OrganisationId &organisation, const ResourceCap &cap, TimePoint formerUntil)
{
    auto &caps = fleet.caps[organisation];
    if (caps.empty()) {
        caps.push_back({});
    }
    std::ranges::for_each(caps, [&](ModelCap &former) { former.until = former.until.value_or(formerUntil); });
    caps.push_back({cap, std::nullopt});
}

Resources usedOn(const FleetModel &fleet, const ModelTarget &target)
{
    Resources used;
    for (const auto &[task, run] : target.running) {
        if (const auto *step = stepOf(fleet, task.step)) {
            used = used + reservedResources(*step);
        }
    }
    return used;
}

Duration tailOf(const FleetModel &fleet, const ModelTarget &target, const TaskId &task)
{
    const auto behaviour = fleet.behaviours.find(task.step.workflow);
    Duration tail = behaviour == fleet.behaviours.end() ? Duration{0} : behaviour->second.tail;
    for (const auto &[other, run] : target.running) {
        const auto *step = stepOf(fleet, other.step);
        const auto filler = fleet.behaviours.find(other.step.workflow);
        if (step != nullptr && step->isFiller && filler != fleet.behaviours.end()) {
            tail += filler->second.disturbance * run.pace / 100;
        }
    }
    return tail;
}

bool isAtWork(const FleetModel &fleet, const RequestId &workflow)
{
    return std::ranges::any_of(fleet.targets, [&](const auto &row) {
        return std::ranges::any_of(row.second.running, [&](const auto &run) { return run.first.step.workflow == workflow; });
    });
}

}
