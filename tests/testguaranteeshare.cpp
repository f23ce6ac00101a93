#include "tests/domainfixture.h"
#include "workflow/guaranteeshare.h"

namespace sequoiastand
{

/// Two organisations, each with a guarantee of 16 of the 64 accelerators.
struct GuaranteeShare : DomainTest
{
    GuaranteeShare()
    {
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }

    /// Submits urgent gangs of 8 accelerators each that run for a minute.
    void submitUrgent(const std::string &organisation, int first, int count)
    {
        callerKey = "key-" + organisation;
        for (int number = first; number < first + count; ++number) {
            ASSERT_FALSE(answerTo(submit(id(number), gang(2, {4'000, 8'000, 4}), {Duration{60'000}, {}})).refusal);
        }
    }

    int runningWorkflows(int first, int count)
    {
        int found = 0;
        for (int number = first; number < first + count; ++number) {
            found += isAtWork(fleet, id(number)) ? 1 : 0;
        }
        return found;
    }
};

TEST_F(GuaranteeShare, guaranteedWorkReclaimsBorrowedRoomInTime)
{
    // Guards against guaranteed work that waits because another organisation's urgent work fills the fleet, so that nothing is less urgent.
    submitUrgent("hotels", 1, 8);
    runUntil([&] { return runningWorkflows(1, 8) == 8; }, Duration{2'000});
    submitUrgent("tailors", 101, 2);
    runUntil([&] { return runningWorkflows(101, 2) == 2; }, settings.limits.reclaimBound);
    EXPECT_EQ(runningWorkflows(1, 8), 6);
}

TEST_F(GuaranteeShare, workBeyondTheGuaranteePreemptsNothing)
{
    submitUrgent("hotels", 1, 8);
    runUntil([&] { return runningWorkflows(1, 8) == 8; }, Duration{2'000});
    submitUrgent("tailors", 101, 4);
    run(Duration{4'000});
    EXPECT_EQ(runningWorkflows(101, 4), 2);
    EXPECT_EQ(runningWorkflows(1, 8), 6);
}

TEST_F(GuaranteeShare, earliestWorkflowsAreCoveredFirst)
{
    submitUrgent("hotels", 1, 3);
    run(Duration{200});
    EXPECT_EQ(guaranteedWorkflows(board(owner())), (std::set<RequestId>{id(1), id(2)}));
}

TEST_F(GuaranteeShare, ordinaryWorkIsNeverCovered)
{
    answerTo(submit(id(1), gang(2, {4'000, 8'000, 4}), {Duration{60'000}, {}}, "h1", "/ordinary/"));
    run(Duration{200});
    EXPECT_TRUE(guaranteedWorkflows(board(owner())).empty());
}

}
