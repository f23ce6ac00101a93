#include "tests/domainfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// One target that runs all tasks of a wide job and then answers no orders.
struct SilentTarget : DomainTest
{
    SilentTarget()
    {
        addTargets(1);
        addHost("h1");
        runUntil([this] { return owner() == "h1"; }, Duration{5'000});
        answerTo(submit(id(1), batch(tasks, {100, 100, 0}), {Duration{60'000}, {}}));
        runUntil([this] { return running() == tasks; }, Duration{5'000});
    }

    int running() const
    {
        return static_cast<int>(fleet.targets.at({"t1"}).running.size());
    }

    long long stopsSent() const
    {
        return std::ranges::count_if(sentOrders, [](const TargetOrder &order) { return std::holds_alternative<StopRun>(order.request); });
    }

    static constexpr int tasks = 100;
};

// Guards against hundreds of stops a second to a target that answers none of them: they kept a busy target from answering its hold until its lease had lapsed.
TEST_F(SilentTarget, cancelledJobSendsItFewStopsUntilItAnswers)
{
    cutOff("t1");
    run(Duration{300});
    cancel(id(1));
    run(Duration{1'500});
    const auto before = stopsSent();
    run(Duration{3'000});
    EXPECT_LT(stopsSent() - before, tasks);
    reconnect("t1");
    runUntil([this] { return running() == 0; }, Duration{2'500});
}

}
