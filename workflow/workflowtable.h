#pragma once

#include "core/table.h"
#include "core/time.h"
#include "core/workflow.h"
#include "core/workflowprogress.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace sequoiastand
{

/// A workflow on the owner's board, until it is removed some time after its end.
struct WorkflowEntry
{
    std::shared_ptr<const Workflow> workflow;
    WorkflowProgress progress;
    bool isCancelRequested = false;
    std::optional<TimePoint> endKnownAt;  ///< When this owner learned of the end, from which its state is kept for queries.
    unsigned long long version = 0;       ///< Version of `progress`; increases with every change.
    unsigned long long storedVersion = 0; ///< Newest version that is in the store.

    friend bool operator==(const WorkflowEntry &, const WorkflowEntry &) = default;
};

/// The owner's workflows, with an index of those that have not ended. Ended workflows stay for as long as their state can be queried and soon outnumber the
/// others, so controllers that look for work go through the index.
class WorkflowTable
{
public:
    using Rows = Table<RequestId, WorkflowEntry>::Rows;

    const WorkflowEntry *find(const RequestId &id) const
    {
        return m_workflows.find(id);
    }

    bool contains(const RequestId &id) const
    {
        return m_workflows.contains(id);
    }

    void put(const RequestId &id, WorkflowEntry entry);

    /// Replaces the entry by what `change` makes of it, without copying its progress. Does nothing if there is no such entry.
    void update(const RequestId &id, const std::function<void(WorkflowEntry &)> &change);

    void erase(const RequestId &id);

    const Rows &rows() const
    {
        return m_workflows.rows();
    }

    std::size_t size() const
    {
        return m_workflows.size();
    }

    /// Workflows that have not ended.
    const std::set<RequestId> &open() const
    {
        return m_open;
    }

    const std::set<RequestId> &changes() const
    {
        return m_workflows.changes();
    }

    void clearChanges()
    {
        m_workflows.clearChanges();
    }

    friend bool operator==(const WorkflowTable &left, const WorkflowTable &right)
    {
        return left.m_workflows == right.m_workflows;
    }

private:
    void updateIndex(const RequestId &id, WorkflowState state);

    Table<RequestId, WorkflowEntry> m_workflows;
    std::set<RequestId> m_open;
};

}
