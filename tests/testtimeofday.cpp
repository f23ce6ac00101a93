#include "tests/domainfixture.h"

#include <algorithm>
#include <string_view>

namespace sequoiastand
{

/// Two hosts and eight targets whose time of day jumps by hours.
struct TimeOfDay : DomainTest
{
    static constexpr Duration hours{7'200'000};

    TimeOfDay()
    {
        settings.limits.statusRetention = Duration{30'000};
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }

    void complete(int number)
    {
        EXPECT_FALSE(answerTo(submit(id(number), batch(4, {1'000, 1'000, 1}), {Duration{300}, {}})).refusal);
        runUntil([&] { return storedState(id(number)) == WorkflowState::Completed; }, Duration{3'000});
    }
};

// Guards against a state that is forgotten as soon as the time of day jumps ahead.
TEST_F(TimeOfDay, endedWorkflowIsKnownForItsRetentionThroughAJumpAhead)
{
    complete(1);
    run(Duration{10'000});
    wallNow += hours;
    run(Duration{45'000});
    EXPECT_EQ(storedState(id(1)), WorkflowState::Completed);
}

// Guards against a new owner with a wrong time of day that forgets the states of the former one.
TEST_F(TimeOfDay, endedWorkflowIsKnownForItsRetentionAfterAChangeOfOwnerWithAJump)
{
    complete(1);
    wallNow += hours;
    const auto first = owner();
    kill(first);
    start(first);
    runUntil([&] { return !owner().empty(); }, Duration{10'000});
    run(Duration{45'000});
    EXPECT_EQ(storedState(id(1)), WorkflowState::Completed);
}

// Guards against records that are never removed because their end lies ahead of the present time of day.
TEST_F(TimeOfDay, endedWorkflowIsForgottenThoughTheClockJumpsBack)
{
    wallNow += hours;
    run(Duration{65'000});
    complete(1);
    wallNow -= hours;
    run(Duration{100'000});
    EXPECT_FALSE(storedState(id(1)));
}

TEST_F(TimeOfDay, occurrencesStartAtTheirTimesThroughAJumpAheadAndBack)
{
    auto specification = batch(1, {1'000, 1'000, 1}, Duration{100});
    specification.schedule = {2, wallNow + Duration{8'000}, Duration{1'000}};
    answerTo(submit(id(1), specification, {Duration{100}, {}}));
    wallNow += hours;
    run(Duration{5'000});
    EXPECT_EQ(fleet.starts[id(1)], 0) << "started before the due time";
    wallNow -= 2 * hours;
    run(Duration{1'000});
    wallNow += hours;
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{6'000});
    EXPECT_EQ(fleet.starts[id(1)], 2);
}

// Guards against lines of different hosts that nobody can put in order because a jump is not logged, or is logged as lasting once it has ended.
TEST_F(TimeOfDay, jumpAndItsEndAreLogged)
{
    wallNow += hours;
    run(Duration{2'000});
    wallNow -= hours;
    run(Duration{2'000});
    const auto count = [&](std::string_view text) {
        return std::ranges::count_if(history, [&](const std::string &line) { return line.find(text) != std::string::npos; });
    };
    EXPECT_EQ(count("jumped by 7200000 ms, ignored unless it lasts"), 2);
    EXPECT_EQ(count("jumped by -7200000 ms, back to the time in use"), 2);
}

TEST_F(TimeOfDay, workIsServedThroughJumpsBothWays)
{
    for (int jump = 1; jump <= 4; ++jump) {
        wallNow += jump % 2 == 0 ? -2 * hours : 2 * hours;
        complete(jump);
    }
    EXPECT_EQ(fleet.starts[id(1)] + fleet.starts[id(2)] + fleet.starts[id(3)] + fleet.starts[id(4)], 16);
}

TEST_F(TimeOfDay, removedKeyIsRefusedWithinItsBoundThroughJumps)
{
    removeKey("key-tailors");
    wallNow -= hours;
    run(settings.limits.revokeBound);
    EXPECT_TRUE(answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {}, "h1")).refusal);
    EXPECT_TRUE(answerTo(submit(id(2), batch(1, {1'000, 1'000, 1}), {}, "h2")).refusal);
}

}
