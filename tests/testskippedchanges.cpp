#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts, and too few targets for their heartbeats to show that a watch is silent, which would let the owner read everything again. Watches of the owner are
/// answered and leave a change out.
struct SkippedChanges : DomainTest
{
    static constexpr Duration longestDelay{1'700};

    SkippedChanges()
    {
        addTargets(4);
        addHost("h1");
        addHost("h2");
        run(Duration{4'000});
    }

    /// The owner's watch of the prefix leaves out its next change.
    void skipNext(const std::string &prefix)
    {
        store.faults.skippingWatches.insert({HostId{owner()}, prefix});
    }

    bool hasSkipped() const
    {
        return store.faults.skippingWatches.empty();
    }

    long long lostWatches(const std::string &cause)
    {
        return board(owner()).counters.values[{"watchesLost", cause}];
    }

    void submitTask(int number, Duration work = Duration{500})
    {
        answerTo(submit(id(number), batch(1, {1'000, 1'000, 1}), {work, {}}));
    }
};

// Guards against a job that stands still until the owner changes, because the owner's watch of the intake has left its submission out.
TEST_F(SkippedChanges, submissionThatTheWatchLeavesOutIsStartedSoon)
{
    skipNext("intake/");
    submitTask(1);
    ASSERT_TRUE(hasSkipped());
    runUntil([&] { return fleet.starts[id(1)] == 1; }, longestDelay);
}

// Guards against a change that is lost because it lies before a later one that the watch has reported.
TEST_F(SkippedChanges, submissionThatIsLeftOutBetweenOthersIsStartedSoon)
{
    submitTask(1);
    skipNext("intake/");
    submitTask(2);
    submitTask(3);
    runUntil([&] { return fleet.starts[id(2)] == 1; }, longestDelay);
    EXPECT_EQ(fleet.starts[id(1)], 1);
    EXPECT_EQ(fleet.starts[id(3)], 1);
    EXPECT_EQ(lostWatches("leftOut"), 1);
}

// Guards against a single repeat that leaves the same change out again.
TEST_F(SkippedChanges, submissionThatIsLeftOutTwiceIsStartedSoon)
{
    skipNext("intake/");
    submitTask(1);
    skipNext("intake/");
    runUntil([&] { return fleet.starts[id(1)] == 1; }, longestDelay);
    EXPECT_TRUE(hasSkipped());
}

// Guards against a cancelled workflow that runs on because the watch has left its cancellation out.
TEST_F(SkippedChanges, cancellationThatTheWatchLeavesOutStopsTheWorkSoon)
{
    submitTask(1, Duration{60'000});
    runUntil([&] { return fleet.starts[id(1)] == 1; }, longestDelay);
    skipNext("intake/");
    answerTo(cancel(id(1)));
    ASSERT_TRUE(hasSkipped());
    runUntil([&] { return storedState(id(1)) == WorkflowState::Cancelled; }, longestDelay);
}

// Guards against a target that gets work after its drain, or none after its return, because the watch has left its registration out.
TEST_F(SkippedChanges, registrationThatTheWatchLeavesOutIsKnownWithTheNextHeartbeat)
{
    skipNext("targets/");
    drain("t1");
    runUntil([&] { return board(owner()).targets.find({"t1"})->registration.isDraining; }, longestDelay);
}

// Guards against reading the whole intake again because a repeat reaches behind the history that the store has kept.
TEST_F(SkippedChanges, repeatsBehindTheHistoryOfTheStoreReadNothingAgain)
{
    submitTask(1);
    const auto before = lostWatches("intake/");
    forgetHistory(store);
    run(Duration{5'000});
    EXPECT_EQ(lostWatches("intake/"), before);
}

}
