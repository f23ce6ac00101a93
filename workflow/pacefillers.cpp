#include "controllers.h"
#include "progresschange.h"
#include "targetorders.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace sequoiastand
{

namespace
{

// Time between two scans of all runs. A pace changes only after several scans, and a new filler may run at full speed until the next scan.
constexpr Duration scanPeriod{100};

/// Fillers of a target and the load of the serving tasks beside them.
struct SharedTarget
{
    double load = 0; ///< Largest tail of response times, relative to the latency target of its serving task.
    bool hasServingTask = false;
    std::vector<TaskId> fillers;
};

std::map<TargetId, SharedTarget> targetsWithFillers(const WorkflowBoard &board)
{
    std::map<TargetId, SharedTarget> targets;
    for (const auto &[task, run] : board.runs.rows()) {
        if (run.step == RunStep::Running && run.isFiller) {
            targets[run.place.target].fillers.push_back(task);
        }
    }
    if (targets.empty()) {
        return targets;
    }
    for (const auto &[task, run] : board.runs.rows()) {
        const auto shared = targets.find(run.place.target);
        if (shared != targets.end() && run.responseTimeTarget > Duration{0} && run.step == RunStep::Running) {
            shared->second.hasServingTask = true;
            shared->second.load = std::max(shared->second.load, static_cast<double>(run.load) / static_cast<double>(run.responseTimeTarget.count()));
        }
    }
    return targets;
}

void updatePace(WorkflowBoard &board, const TargetId &id, const SharedTarget &shared)
{
    const auto [row, isNew] = board.fillerPaces.try_emplace(id);
    if (isNew) {
        row->second.changedAt = board.now;
        return;
    }
    const auto before = row->second;
    row->second = nextPace(before, shared.load, board.self.limits.harmBound, board.now);
    if (row->second.percent != before.percent) {
        logDecision(board,
                    "paceFillers",
                    id.value,
                    "",
                    "from " + std::to_string(before.percent) + " to " + std::to_string(row->second.percent) + " percent: the largest tail is "
                        + std::to_string(static_cast<int>(shared.load * 100)) + " percent of its task's latency target");
    }
}

void sendPace(WorkflowBoard &board, TaskRun run, int percent)
{
    const auto *target = board.targets.find(run.place.target);
    const bool isRepetitionDue = run.paceRepeatAt && board.now >= *run.paceRepeatAt;
    const bool isOrdered = run.orderedPercent == percent && !isRepetitionDue;
    if (target == nullptr || isOrdered || run.paceCall || run.isStopWanted || board.now < run.paceRetryAt) {
        return;
    }
    auto order = makeOrder(board, *target, PaceRun{run.task, run.number, percent}, board.self.limits.startTimeout);
    run.paceCall = order.id;
    run.orderedPercent = percent;
    run.paceRepeatAt.reset();
    board.runCalls.insert_or_assign(order.id, run.task);
    board.outbox.emplace_back(std::move(order));
    putRun(board, run);
}

}

void paceFillers(WorkflowBoard &board)
{
    if (!hasAuthority(board)) {
        return;
    }
    if (board.now < board.nextPaceAt) {
        return;
    }
    board.nextPaceAt = board.now + scanPeriod;
    const auto targets = targetsWithFillers(board);
    if (!targets.empty()) {
        subscribeNoLaterThan(board.timers, "pace", board.nextPaceAt);
    }
    std::erase_if(board.fillerPaces, [&](const auto &row) {
        const auto shared = targets.find(row.first);
        return shared == targets.end() || !shared->second.hasServingTask;
    });
    constexpr int unpaced = 100;
    for (const auto &[id, shared] : targets) {
        if (shared.hasServingTask) {
            updatePace(board, id, shared);
        }
        const auto pace = board.fillerPaces.find(id);
        const int percent = pace == board.fillerPaces.end() ? unpaced : pace->second.percent;
        std::ranges::for_each(shared.fillers, [&](const TaskId &task) { sendPace(board, *board.runs.find(task), percent); });
    }
}

}
