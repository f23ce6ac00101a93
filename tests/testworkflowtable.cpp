#include "workflow/workflowtable.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct WorkflowTables : testing::Test
{
    void put(const std::string &id, WorkflowState state)
    {
        WorkflowEntry entry;
        entry.progress.state = state;
        workflows.put({id}, std::move(entry));
    }

    WorkflowTable workflows;
};

// Guards against work that waits forever because the owner no longer looks at its workflow.
TEST_F(WorkflowTables, workflowIsOpenUntilItEnds)
{
    put("a", WorkflowState::Queued);
    put("b", WorkflowState::Running);
    EXPECT_EQ(workflows.open(), (std::set<RequestId>{{"a"}, {"b"}}));
    put("a", WorkflowState::Running);
    put("b", WorkflowState::Completed);
    EXPECT_EQ(workflows.open(), (std::set<RequestId>{{"a"}}));
    put("a", WorkflowState::Cancelled);
    EXPECT_TRUE(workflows.open().empty());
    EXPECT_EQ(workflows.size(), 2U);
}

TEST_F(WorkflowTables, workflowThatEndsInAnUpdateIsNotOpen)
{
    put("a", WorkflowState::Running);
    workflows.update({"a"}, [](WorkflowEntry &entry) { entry.progress.state = WorkflowState::Failed; });
    EXPECT_TRUE(workflows.open().empty());
}

TEST_F(WorkflowTables, removedWorkflowIsNotOpen)
{
    put("a", WorkflowState::Queued);
    workflows.erase({"a"});
    EXPECT_TRUE(workflows.open().empty());
}

}
