#include "targetmodel.h"

#include "taskprogress.h"

#include <algorithm>
#include <ranges>
#include <type_traits>
#include <utility>

namespace sequoiastand
{

namespace
{

bool isLeased(const TargetModel &model, TimePoint now)
{
    return !model.holder.value.empty() && now < model.leaseExpiry;
}

/// Reason for refusing a call other than a lease call; empty if the call is accepted.
std::string refusalOf(const TargetModel &model, const TargetCall &call, TimePoint now)
{
    if (call.host != model.holder || call.epoch != model.epoch) {
        return "lease belongs to " + model.holder.value + " with epoch " + std::to_string(model.epoch);
    }
    return isLeased(model, now) ? "" : "lease has expired";
}

/// The worker's report. The model stores the task list that belongs to the reported version.
TargetReport report(TargetModel &model, long long knownTasksVersion, TimePoint now)
{
    TargetReport result;
    result.holder = model.holder;
    result.epoch = model.epoch;
    result.leaseRemaining = isLeased(model, now) ? model.leaseExpiry - now : Duration{0};
    result.isLeaving = model.faults.isLeaving;
    std::ranges::transform(model.tasks | std::views::values, std::back_inserter(result.tasks), reportOf);
    if (model.tasksVersion == 0 || result.tasks != model.reportedTasks) {
        ++model.tasksVersion;
        model.reportedTasks = result.tasks;
    }
    result.tasksVersion = model.tasksVersion;
    result.isUnchanged = result.tasksVersion == knownTasksVersion;
    if (result.isUnchanged) {
        result.tasks.clear();
    }
    return result;
}

TargetAnswer answer(const TargetCall &call, const std::string &refusal)
{
    const auto outcome = refusal.empty() ? TargetOutcome::Accepted : TargetOutcome::Refused;
    return {call.host, {call.id, call.target, outcome, refusal, std::nullopt}};
}

TargetAnswer answerLease(TargetModel &model, const TargetCall &call, const std::string &refusal, TimePoint now)
{
    auto result = answer(call, refusal);
    const auto *request = std::get_if<LeaseTarget>(&call.request);
    result.reply.report = report(model, refusal.empty() && request ? request->knownTasksVersion : 0, now);
    if (refusal.empty()) {
        model.answeredChanges = model.changes;
    }
    return result;
}

/// Reason for refusing the lease; empty if it is granted.
std::string leaseRefusal(const TargetModel &model, const TargetCall &call, TimePoint now)
{
    const bool isHolder = call.host == model.holder;
    if (isLeased(model, now) && !isHolder) {
        return "lease is held by " + model.holder.value + " with epoch " + std::to_string(model.epoch);
    }
    if (call.epoch > model.epoch || (isHolder && call.epoch == model.epoch)) {
        return "";
    }
    return "epoch " + std::to_string(call.epoch) + " is not above " + std::to_string(model.epoch);
}

void handle(TargetModelStep &step, const TargetCall &call, const LeaseTarget &request, TimePoint now)
{
    auto &model = step.model;
    if (const auto refusal = leaseRefusal(model, call, now); !refusal.empty()) {
        step.answers.push_back(answerLease(model, call, refusal, now));
        return;
    }
    const bool isRenewal = call.host == model.holder && call.epoch == model.epoch;
    model.holder = call.host;
    model.epoch = call.epoch;
    model.leaseExpiry = now + request.duration;
    std::erase_if(model.tasks, [&request](const auto &row) {
        return row.second.isEndReported && std::ranges::find(request.acknowledged, row.first.first) != request.acknowledged.end();
    });
    if (isRenewal && model.changes == model.answeredChanges && request.wait > Duration{0}) {
        model.polls.push_back({call, now + request.wait});
    } else {
        step.answers.push_back(answerLease(model, call, "", now));
    }
}

std::string apply(TargetModel &model, const ReleaseTarget &, TimePoint now)
{
    model.holder = {};
    model.leaseExpiry = now;
    return "";
}

std::string apply(TargetModel &model, const ReserveTask &request, TimePoint now)
{
    AcceleratorMask used = 0;
    int milliCpu = request.milliCpu;
    int memoryMb = request.memoryMb;
    const TaskKey key{request.attempt, request.member};
    for (const auto &[otherKey, task] : model.tasks) {
        if (otherKey == key && task.reported.state != TaskState::Reserved) {
            return "task has already started";
        }
        if (otherKey != key && !task.endedAt) {
            used |= task.reported.accelerators;
            milliCpu += task.milliCpu;
            memoryMb += task.memoryMb;
        }
    }
    const auto present = model.acceleratorCount >= 32 ? ~AcceleratorMask{0} : (AcceleratorMask{1} << model.acceleratorCount) - 1;
    if ((request.accelerators & ~present) != 0) {
        return "accelerators do not exist";
    }
    if ((request.accelerators & used) != 0 || milliCpu > model.milliCpu || memoryMb > model.memoryMb) {
        return "capacity is in use";
    }
    auto &task = model.tasks[key];
    task.reported = {request.attempt, request.member, TaskState::Reserved, request.accelerators, Duration{0}, "", std::nullopt};
    task.milliCpu = request.milliCpu;
    task.memoryMb = request.memoryMb;
    task.reservationExpiry = now + request.expiry;
    return "";
}

std::string apply(TargetModel &model, const StartTask &request, TimePoint now)
{
    const auto found = model.tasks.find({request.attempt, request.member});
    if (found == model.tasks.end()) {
        return "task is not reserved";
    }
    if (found->second.reported.state == TaskState::Reserved) {
        startTask(found->second, request.specification, request.checkpointedWork, model.faults.failsEverything, now);
    }
    return "";
}

std::string apply(TargetModel &model, const StopTask &request, TimePoint now)
{
    const auto found = model.tasks.find({request.attempt, request.member});
    if (found == model.tasks.end()) {
        return "";
    }
    if (found->second.reported.state == TaskState::Reserved) {
        model.tasks.erase(found);
    } else if (!found->second.endedAt) {
        stopTask(found->second, request.takesCheckpoint ? model.checkpointDuration : Duration{0}, now);
    }
    return "";
}

std::string apply(TargetModel &model, const ThrottleTask &request, TimePoint now)
{
    const auto found = model.tasks.find({request.attempt, request.member});
    if (found == model.tasks.end() || found->second.reported.state != TaskState::Running) {
        return "task is not running";
    }
    if (request.percent > 100) {
        return "percent is above 100";
    }
    throttleTask(found->second, request.percent, now);
    return "";
}

/// Handles any call except a lease call.
template<typename Request>
void handle(TargetModelStep &step, const TargetCall &call, const Request &request, TimePoint now)
{
    auto refusal = refusalOf(step.model, call, now);
    if (refusal.empty()) {
        refusal = apply(step.model, request, now);
    }
    step.answers.push_back(answer(call, refusal));
}

/// Advances tasks, expires reservations and reports delayed ends that are due.
void advanceTasks(TargetModel &model, TimePoint now)
{
    model.changes += std::erase_if(model.tasks, [now](const auto &row) {
        const auto &task = row.second;
        return task.reported.state == TaskState::Reserved && task.reservationExpiry <= now;
    });
    const auto orphansEnd = model.leaseExpiry + model.orphanPeriod;
    for (auto &task : model.tasks | std::views::values) {
        advanceTask(task, now);
        if (!task.endedAt && task.reported.state == TaskState::Running && orphansEnd <= now) {
            stopTask(task, Duration{0}, orphansEnd);
        }
        if (task.endedAt && !task.isEndReported && *task.endedAt + model.faults.lag <= now) {
            task.isEndReported = true;
            ++model.changes;
        }
    }
}

void answerPolls(TargetModelStep &step, TimePoint now)
{
    auto &model = step.model;
    const bool hasChanged = model.changes != model.answeredChanges;
    std::vector<PendingPoll> remaining;
    for (const auto &poll : std::exchange(model.polls, {})) {
        const bool isHolder = poll.call.host == model.holder && poll.call.epoch == model.epoch;
        if (isHolder && !hasChanged && now < poll.answerBy) {
            remaining.push_back(poll);
        } else {
            step.answers.push_back(answerLease(model, poll.call, isHolder ? "" : "lease is no longer held by the caller", now));
        }
    }
    model.polls = std::move(remaining);
}

}

TargetModelStep advance(TargetModel model, TimePoint now)
{
    TargetModelStep step{std::move(model), {}};
    if (step.model.faults.isPaused) {
        return step;
    }
    advanceTasks(step.model, now);
    answerPolls(step, now);
    if (step.model.faults.isSilent || step.model.faults.losesAnswers) {
        step.answers.clear();
    }
    return step;
}

TargetModelStep receiveCall(TargetModel model, const TargetCall &call, TimePoint now)
{
    if (model.faults.isPaused) {
        model.callsDuringPause.push_back(call);
        return {std::move(model), {}};
    }
    auto step = advance(std::move(model), now);
    if (step.model.faults.isSilent) {
        return step;
    }
    std::visit([&step, &call, now](const auto &request) { handle(step, call, request, now); }, call.request);
    auto after = advance(std::move(step.model), now);
    after.answers.insert(after.answers.begin(), step.answers.begin(), step.answers.end());
    if (after.model.faults.losesAnswers) {
        after.answers.clear();
    }
    return after;
}

TargetModelStep switchFaults(TargetModel model, const TargetFaults &faults, TimePoint now)
{
    auto step = advance(std::move(model), now);
    const auto before = std::exchange(step.model.faults, faults);
    if (before.isLeaving != faults.isLeaving) {
        ++step.model.changes;
    }
    if (faults.isPaused && !before.isPaused) {
        step.model.pausedSince = now;
        return step;
    }
    if (!faults.isPaused && before.isPaused) {
        const auto pause = now - step.model.pausedSince.value_or(now);
        step.model.pausedSince = std::nullopt;
        for (auto &task : step.model.tasks | std::views::values) {
            resumeTask(task, pause);
        }
    }
    const auto append = [&step](TargetModelStep next) {
        step.model = std::move(next.model);
        step.answers.insert(step.answers.end(), next.answers.begin(), next.answers.end());
    };
    append(advance(std::move(step.model), now));
    for (const auto &call : faults.isPaused ? std::vector<TargetCall>{} : std::exchange(step.model.callsDuringPause, {})) {
        append(receiveCall(std::move(step.model), call, now));
    }
    return step;
}

TargetModel restarted(TargetModel model)
{
    model.holder = {};
    model.leaseExpiry = {};
    model.tasks.clear();
    model.polls.clear();
    model.callsDuringPause.clear();
    return model;
}

std::optional<TimePoint> nextChange(const TargetModel &model)
{
    if (model.faults.isPaused) {
        return std::nullopt;
    }
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    for (const auto &task : model.tasks | std::views::values) {
        consider(nextChange(task, model.faults.lag));
        if (task.reported.state == TaskState::Running && !task.endedAt) {
            consider(model.leaseExpiry + model.orphanPeriod);
        }
    }
    for (const auto &poll : model.polls) {
        consider(poll.answerBy);
    }
    return next;
}

}
