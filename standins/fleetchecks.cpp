#include "fleetchecks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

void recordViolation(FleetModel &fleet, const std::string &rule, const TaskId &task, const std::string &what)
{
    fleet.violations.push_back(absl::StrCat(rule, ": ", toString(task), ": ", what, ", at ", fleet.now.time_since_epoch().count()));
}

int maxAttempts(const FleetModel &fleet, const TaskId &task)
{
    const auto workflow = fleet.workflows.find(task.step.workflow);
    return workflow == fleet.workflows.end() ? 0 : workflow->second.queue.maxAttempts;
}

/// Counts a failed run when it is acknowledged, which may happen in any order. After as many failures as the queue allows, another start is a violation.
void recordFailure(FleetModel &fleet, const EndedRun &ended, TimePoint endedAt)
{
    const auto countedUnder = countedTask(fleet, ended.task);
    auto &failed = fleet.failedRuns[countedUnder];
    if (!failed.emplace(ended.run, endedAt).second) {
        return;
    }
    ++fleet.failures[countedUnder];
    const auto lastStart = fleet.lastStart[ended.task];
    const auto before = std::ranges::count_if(failed, [&](const auto &row) { return row.second < lastStart; });
    if (before >= maxAttempts(fleet, ended.task)) {
        recordViolation(fleet, "BUDGET", ended.task, "was started again after its last attempt, whose failure is acknowledged now");
    }
}

}

const StepSpecification *stepOf(const FleetModel &fleet, const StepId &step)
{
    const auto workflow = fleet.workflows.find(step.workflow);
    if (workflow == fleet.workflows.end() || !std::cmp_less(step.step, workflow->second.specification.steps.size())) {
        return nullptr;
    }
    return &workflow->second.specification.steps[static_cast<std::size_t>(step.step)];
}

bool isLasting(const FleetModel &fleet, const TaskId &task)
{
    const auto *step = stepOf(fleet, task.step);
    return step != nullptr && step->isLasting;
}

TaskId countedTask(const FleetModel &fleet, const TaskId &task)
{
    const auto *step = stepOf(fleet, task.step);
    return {task.step, step != nullptr && step->isGang ? 0 : task.index};
}

void checkStart(FleetModel &fleet, const ModelTarget &target, const TaskId &task, const StepSpecification &step)
{
    const bool runsElsewhere = std::ranges::any_of(fleet.targets, [&](const auto &row) { return row.second.running.contains(task); });
    if (runsElsewhere && !step.isSpeculative) {
        recordViolation(fleet, "TWICE", task, "started while another run of it is running");
    }
    if (fleet.acknowledgedFinishes.contains(task)) {
        recordViolation(fleet, "TWICE", task, "started after its finish had been acknowledged");
    }
    for (const int earlier : step.after) {
        const auto *before = stepOf(fleet, {task.step.workflow, task.step.occurrence, earlier});
        for (int index = 0; index < before->taskCount; ++index) {
            if (!fleet.finished.contains({{task.step.workflow, task.step.occurrence, earlier}, index})) {
                recordViolation(fleet, "ORDER", task, absl::StrCat("started before step ", earlier, " had finished"));
                break;
            }
        }
    }
    const auto &label = step.requiredLabel;
    if (!label.empty() && std::ranges::find(target.registration.labels, label) == target.registration.labels.end()) {
        recordViolation(fleet, "ROUTE", task, "started on a target without its label");
    }
    const auto failures = fleet.failures.find(countedTask(fleet, task));
    if (!step.isLasting && failures != fleet.failures.end() && failures->second >= maxAttempts(fleet, task)) {
        recordViolation(fleet, "BUDGET", task, "started after its last attempt had failed");
    }
}

void checkRoom(FleetModel &fleet, const ModelTarget &target, const TaskId &task)
{
    if (!fitsInto(usedOn(fleet, target), target.registration.capacity)) {
        recordViolation(fleet, "LIMIT", task, absl::StrCat("brings ", target.registration.instance.target.value, " over its capacity"));
    }
}

void checkQuota(FleetModel &fleet, const TaskId &task, TimePoint now)
{
    const auto &organisation = fleet.workflows.at(task.step.workflow).organisation;
    const auto caps = fleet.caps.find(organisation);
    if (caps == fleet.caps.end()) {
        return;
    }
    long long milliCpu = 0;
    long long memoryMb = 0;
    long long accelerators = 0;
    for (const auto &[id, target] : fleet.targets) {
        for (const auto &[running, run] : target.running) {
            const auto *step = stepOf(fleet, running.step);
            if (step != nullptr && fleet.workflows.at(running.step.workflow).organisation == organisation) {
                milliCpu += step->perTask.milliCpu;
                memoryMb += step->perTask.memoryMb;
                accelerators += step->perTask.accelerators;
            }
        }
    }
    const auto allows = [](std::optional<int> limit, long long used) { return !limit || used <= *limit; };
    const bool isAllowed = std::ranges::any_of(caps->second, [&](const ModelCap &row) {
        const bool isInForce = !row.until || now < *row.until;
        return isInForce && allows(row.cap.milliCpu, milliCpu) && allows(row.cap.memoryMb, memoryMb) && allows(row.cap.accelerators, accelerators);
    });
    if (!isAllowed) {
        recordViolation(fleet,
                        "QUOTA",
                        task,
                        absl::StrCat("brings ", organisation.value, " over its cap to ", milliCpu, " cpu, ", memoryMb, " MB, ", accelerators, " accelerators"));
    }
}

void checkAvailability(FleetModel &fleet, const TaskId &task, TimePoint now)
{
    const auto *step = stepOf(fleet, task.step);
    if (step == nullptr || step->maxUnavailable == 0) {
        return;
    }
    int runningCount = 0;
    for (const auto &[id, target] : fleet.targets) {
        runningCount += static_cast<int>(std::ranges::count_if(target.running, [&](const auto &row) {
            return row.first.step == task.step && row.first != task && !row.second.stopsAt && now - row.second.startedAt >= modelStartup;
        }));
    }
    if (step->taskCount - 1 - runningCount >= step->maxUnavailable) {
        recordViolation(fleet, "AVAIL", task, absl::StrCat("is stopped while only ", runningCount, " others of its step are running"));
    }
}

void checkHarm(FleetModel &fleet, ModelTarget &target, TimePoint now)
{
    for (auto &[task, run] : target.running) {
        const auto *step = stepOf(fleet, task.step);
        if (step == nullptr || step->latencyTarget == Duration{0}) {
            continue;
        }
        const auto behaviour = fleet.behaviours.find(task.step.workflow);
        const auto alone = behaviour == fleet.behaviours.end() ? Duration{0} : behaviour->second.tail;
        const bool isDisturbed = tailOf(fleet, target, task) > step->latencyTarget && alone <= step->latencyTarget;
        run.aboveTargetSince = isDisturbed ? std::optional(run.aboveTargetSince.value_or(now)) : std::nullopt;
        if (run.aboveTargetSince && now - *run.aboveTargetSince >= fleet.harmBound) {
            recordViolation(fleet, "HARM", task, absl::StrCat("is above its latency target on ", target.registration.instance.target.value));
            run.aboveTargetSince = now;
        }
    }
}

void recordUnknownTask(FleetModel &fleet, const TaskId &task)
{
    recordViolation(fleet, "UNASKED", task, "was never submitted");
}

void recordAcknowledgedEnd(FleetModel &fleet, const ModelTarget &target, const EndedRun &ended, TimePoint now)
{
    const auto endedAt = target.endedAt.at(ended.number);
    if (isLasting(fleet, ended.task)) {
        return; // Lasting tasks are restarted however and however often they end.
    }
    if (ended.end == RunEnd::Failed) {
        recordFailure(fleet, ended, endedAt);
    }
    if (ended.end != RunEnd::Finished || target.lapsedAt > endedAt) {
        return;
    }
    fleet.acknowledgedFinishes.try_emplace(ended.task, now);
    if (fleet.lastStart[ended.task] > endedAt) {
        recordViolation(fleet, "TWICE", ended.task, "was started again after the run whose finish is acknowledged now");
    }
}

}
