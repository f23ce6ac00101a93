#include "workflowtable.h"

#include <utility>

namespace sequoiastand
{

void WorkflowTable::put(const RequestId &id, WorkflowEntry entry)
{
    if (hasEnded(entry.progress.state)) {
        m_open.erase(id);
    } else {
        m_open.insert(id);
    }
    m_workflows.put(id, std::move(entry));
}

void WorkflowTable::erase(const RequestId &id)
{
    m_open.erase(id);
    m_workflows.erase(id);
}

}
