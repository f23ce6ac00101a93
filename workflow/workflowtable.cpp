#include "workflowtable.h"

#include <utility>

namespace sequoiastand
{

void WorkflowTable::updateIndex(const RequestId &id, WorkflowState state)
{
    if (hasEnded(state)) {
        m_open.erase(id);
    } else {
        m_open.insert(id);
    }
}

void WorkflowTable::put(const RequestId &id, WorkflowEntry entry)
{
    updateIndex(id, entry.progress.state);
    m_workflows.put(id, std::move(entry));
}

void WorkflowTable::update(const RequestId &id, const std::function<void(WorkflowEntry &)> &change)
{
    m_workflows.update(id, change);
    if (const auto *entry = m_workflows.find(id)) {
        updateIndex(id, entry->progress.state);
    }
}

void WorkflowTable::erase(const RequestId &id)
{
    m_open.erase(id);
    m_workflows.erase(id);
}

}
