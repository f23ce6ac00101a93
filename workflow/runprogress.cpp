#include "runprogress.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Time for which a stopped lasting task is unavailable until it runs on another target. The task loses no work, so this time alone counts as the cost of the
// stop.
constexpr Duration restartTime{3'000};

// Number of cores that count as much as one accelerator in the cost of a stop.
constexpr double coresPerAccelerator = 8;

constexpr double milliPerCore = 1'000;

// Progress in percent that a run must have made for an estimate of its remaining time. The listed percentage is a whole number, so with less progress the estimate
// is off by more than a tenth.
constexpr int minPercentMade = 10;
constexpr int finishedPercent = 100;

double cores(const Resources &resources)
{
    return resources.milliCpu / milliPerCore + coresPerAccelerator * resources.accelerators;
}

}

Duration remainingTime(const TaskRun &run, TimePoint now)
{
    // The progress of a run that did not resume from a checkpoint began with its start.
    const bool isKnownFromStart = run.resumedFrom.empty() && run.starts > 0 && run.startSentAt != TimePoint{};
    const auto since = isKnownFromStart ? run.startSentAt : run.firstListedAt.value_or(now);
    const int made = run.percent - (isKnownFromStart ? 0 : run.firstPercent);
    if (!run.isListed || made < minPercentMade) {
        return Duration::max();
    }
    const auto perPercent = (run.listedAt - since) / made;
    return std::max(Duration{0}, perPercent * (finishedPercent - run.percent) - (now - run.listedAt));
}

double lostWork(const WorkflowBoard &board, const TaskRun &run, const StepSpecification &step)
{
    if (step.isLasting) {
        return cores(run.occupiedResources) * std::chrono::duration<double>(restartTime).count();
    }
    const Duration ran = run.firstListedAt ? board.now - *run.firstListedAt : Duration{0};
    const Duration lost = step.isCheckpointable ? std::min(ran, board.self.limits.checkpointPeriod + board.self.limits.restoreTime) : ran;
    return cores(run.occupiedResources) * std::chrono::duration<double>(lost).count();
}

}
