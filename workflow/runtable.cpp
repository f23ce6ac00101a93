#include "runtable.h"

namespace sequoiastand
{

bool isStopping(const TaskRun &run)
{
    return run.isStopWanted || run.step == RunStep::Ending;
}

bool isRunning(const TaskRun &run)
{
    return run.step == RunStep::Running && !run.isStopWanted && !run.stoppedAt;
}

bool needsOrder(const TaskRun &run)
{
    const bool isStartWanted = run.step == RunStep::Recording || run.step == RunStep::Starting;
    return !run.call && (isStartWanted || (run.isStopWanted && !run.stoppedAt));
}

void RunTable::put(const TaskRun &run)
{
    if (const auto *present = m_runs.find(run.task)) {
        removeFromIndexes(*present);
    }
    addToIndexes(run);
    m_runs.put(run.task, run);
}

void RunTable::erase(const TaskId &task)
{
    if (const auto *present = m_runs.find(task)) {
        removeFromIndexes(*present);
        m_runs.erase(task);
    }
}

const TargetUse &RunTable::useOf(const TargetId &target) const
{
    static const TargetUse unused;
    const auto found = m_usedTargets.find(target);
    return found == m_usedTargets.end() ? unused : found->second;
}

void RunTable::addToIndexes(const TaskRun &run)
{
    auto &use = m_usedTargets[run.place.target];
    use.tasks.insert(run.task);
    use.occupied = use.occupied + run.occupiedResources;
    if (isStopping(run)) {
        use.stopping = use.stopping + run.occupiedResources;
    }
    if (needsOrder(run)) {
        m_needingOrders.insert(run.task);
    }
}

void RunTable::removeFromIndexes(const TaskRun &run)
{
    const auto used = m_usedTargets.find(run.place.target);
    auto &use = used->second;
    use.tasks.erase(run.task);
    use.occupied = use.occupied - run.occupiedResources;
    if (isStopping(run)) {
        use.stopping = use.stopping - run.occupiedResources;
    }
    if (use.tasks.empty()) {
        m_usedTargets.erase(used);
    }
    m_needingOrders.erase(run.task);
}

}
