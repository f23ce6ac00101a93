#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts and eight targets: time until a gang runs again after a member has failed.
struct BrokenGang : DomainTest
{
    static constexpr Duration work{1'000};

    /// Time from the failure of the first run until the second run starts.
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

TEST_F(BrokenGang, gangWithSlowStopsRestartsWithoutStopOrders)
{
    // Guards against sending stop orders, which take most of a second here, although the targets end the members faster by themselves.
    EXPECT_LT(pauseWith(Duration{900}), Duration{300});
}

TEST_F(BrokenGang, gangWithQuickStopsIsStoppedAtOnce)
{
    EXPECT_LT(pauseWith(Duration{200}), Duration{150});
}

}
