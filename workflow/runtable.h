#pragma once

#include "core/table.h"
#include "taskrun.h"

#include <map>
#include <set>

namespace sequoiastand
{

/// The runs on one target.
struct TargetUse
{
    std::set<TaskId> tasks;
    Resources occupied; ///< Resources of all runs, including those that are being stopped.
    Resources stopping; ///< Resources of the runs that are being stopped or have ended and are not listed as ended yet.

    friend bool operator==(const TargetUse &, const TargetUse &) = default;
};

/// True if the run is being stopped, or has ended and is not listed as ended yet.
bool isStopping(const TaskRun &run);

/// True if the target has confirmed the run and nothing is known that ends it.
bool isRunning(const TaskRun &run);

/// True if the owner has to send or repeat an order for the run, now or at the run's `retryAt`.
bool needsOrder(const TaskRun &run);

/// The newest run of each task, with indexes by target and by the need for an order. Without the indexes, the owner would look at every run of the fleet for
/// each answer of a target.
class RunTable
{
public:
    using Rows = Table<TaskId, TaskRun>::Rows;

    const TaskRun *find(const TaskId &task) const
    {
        return m_runs.find(task);
    }

    bool contains(const TaskId &task) const
    {
        return m_runs.contains(task);
    }

    void put(const TaskRun &run);
    void erase(const TaskId &task);

    const Rows &rows() const
    {
        return m_runs.rows();
    }

    std::size_t size() const
    {
        return m_runs.size();
    }

    bool isEmpty() const
    {
        return m_runs.isEmpty();
    }

    /// Tasks whose runs have changed in the present step.
    const std::set<TaskId> &changes() const
    {
        return m_runs.changes();
    }

    void clearChanges()
    {
        m_runs.clearChanges();
    }

    /// The use of each target that has runs.
    const std::map<TargetId, TargetUse> &usedTargets() const
    {
        return m_usedTargets;
    }

    /// The use of the target; empty if it has no runs.
    const TargetUse &useOf(const TargetId &target) const;

    /// Tasks whose runs need an order.
    const std::set<TaskId> &needingOrders() const
    {
        return m_needingOrders;
    }

    friend bool operator==(const RunTable &left, const RunTable &right)
    {
        return left.m_runs == right.m_runs;
    }

private:
    void addToIndexes(const TaskRun &run);
    void removeFromIndexes(const TaskRun &run);

    Table<TaskId, TaskRun> m_runs;
    std::map<TargetId, TargetUse> m_usedTargets;
    std::set<TaskId> m_needingOrders;
};

}
