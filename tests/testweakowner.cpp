#include "tests/domainfixture.h"

namespace sequoiastand
{

/// An owner with a tenth of a core, which asks targets without runs every few seconds only.
struct WeakOwner : DomainTest
{
    static constexpr Resources wholeTarget{16'000, 8'000, 8};
    static constexpr Duration work{60'000};

    WeakOwner()
    {
        settings.processorShare = 0.1;
        addTargets(200);
        addHost("h1");
        run(Duration{10'000});
    }

    void submitGang(int number)
    {
        submit(id(number), gang(2, wholeTarget, work), {.work = work}, "h1", "/ordinary/");
    }

    const TaskRun *firstRun(int number)
    {
        return board("h1").runs.find({{id(number), 0, 0}, 0});
    }
};

// Guards against an idle fleet that counts as unresponsive between two rounds of holds.
TEST_F(WeakOwner, jobOnAnIdleFleetIsPlacedAtOnceAtAnyTime)
{
    constexpr int jobs = 20;
    constexpr Duration gap{510};
    for (int number = 1; number <= jobs; ++number) {
        submitGang(number);
        runUntil([&] { return fleet.starts[id(number)] == 2; }, Duration{200});
        answerTo(cancel(id(number), "h1", "/ordinary/"));
        run(gap);
    }
}

// Guards against a broken gang that stands still until the next hold of an idle target shows that a member never ran there.
TEST_F(WeakOwner, gangWhoseStartsWereNotExecutedRunsAgainSoonAfterItsStops)
{
    startDelay = Duration{60'000};
    submitGang(1);
    runUntil([&] { return firstRun(1) != nullptr && firstRun(1)->isStopWanted; }, Duration{5'000});
    startDelay = Duration{0};
    runUntil([&] { return fleet.starts[id(1)] == 2; }, Duration{1'200});
}

}
