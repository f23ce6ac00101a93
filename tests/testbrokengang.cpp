#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts and eight targets: how soon a gang runs again once a member has failed.
struct BrokenGang : DomainTest
{
    static constexpr Duration work{1'000};

    /// From the failure of the first run until the second one starts.
    Duration pauseWith(Duration stopGrace)
    {
        settings.limits.stopGrace = stopGrace;
        fleet.stopGrace = stopGrace;
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
        answerTo(submit(id(1), gang(3, {20'000, 8'000, 4}), {work, {1}}, "h1", "/ordinary/"));
        runUntil([&] { return fleet.starts[id(1)] == 3; }, Duration{1'000});
        const auto failedAt = now + work;
        runUntil([&] { return fleet.starts[id(1)] == 6; }, Duration{5'000});
        return now - failedAt;
    }
};

TEST_F(BrokenGang, slowStopsAreNotWaitedFor)
{
    // Guards against a stop that is sent first and then takes most of a second, although the targets end the members by themselves.
    EXPECT_LT(pauseWith(Duration{900}), Duration{300});
}

TEST_F(BrokenGang, quickStopsAreSentAtOnce)
{
    EXPECT_LT(pauseWith(Duration{200}), Duration{150});
}

}
