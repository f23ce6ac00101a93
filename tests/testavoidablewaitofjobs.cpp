#include "domainfixture.h"

namespace sequoiastand
{

/// An owner and 16 targets, of which those in the rack of the jobs' data are full.
struct AvoidableWaitOfJobs : DomainTest
{
    static constexpr Resources wholeTarget{16'000, 8'000, 8};
    static constexpr Resources small{1'000, 1'000, 1};
    static constexpr Duration work{60'000};
    static constexpr Duration bound{1'500};
    static constexpr Duration startTime{300}; ///< Allowed for the next placement pass, the record and the start order.

    AvoidableWaitOfJobs()
    {
        addTargets(16);
        addHost("h1");
        run(Duration{3'000});
    }

    void fillDataRack()
    {
        submitNearData(1, gang(4, wholeTarget, work), "h1");
        runUntil([&] { return fleet.starts[id(1)] == 4; }, Duration{1'000});
    }

    void submitNearData(int number, WorkflowSpecification specification, const std::string &host)
    {
        specification.steps.front().dataRack = {"r1"};
        submit(id(number), specification, {.work = work}, host, "/ordinary/");
    }

    void expectStartAtTheBound(int number)
    {
        run(bound - startTime);
        EXPECT_EQ(fleet.starts[id(number)], 0);
        runUntil([&] { return fleet.starts[id(number)] == 1; }, 2 * startTime);
    }
};

// Guards against an owner whose placement passes are given a longer bound than the one that callers rely on.
TEST_F(AvoidableWaitOfJobs, jobBesideRoomTwiceOverStartsAtTheBound)
{
    fillDataRack();
    submitNearData(2, batch(1, small, work), "h1");
    expectStartAtTheBound(2);
}

// Guards against a bound that begins only when the owner's clock reaches the acceptance by a host whose clock is ahead.
TEST_F(AvoidableWaitOfJobs, jobAcceptedByAHostWithAnAdvancedClockStartsAtTheBound)
{
    constexpr Duration ahead{5'000};
    wallNow += ahead;
    addHost("h2");
    run(tick);
    wallNow -= ahead;
    run(Duration{10'000});
    ASSERT_EQ(owner(), "h1");
    fillDataRack();
    submitNearData(2, batch(1, small, work), "h2");
    expectStartAtTheBound(2);
}

// Guards against steps that take the reserve, or leave the rack of their data, as soon as their turn comes because the job was accepted long before.
TEST_F(AvoidableWaitOfJobs, stepAfterALongStepWaitsFromItsTurnOn)
{
    fillDataRack();
    auto specification = batch(1, small, Duration{3'000});
    specification.steps.push_back(specification.steps.front());
    specification.steps.back().after = {0};
    specification.steps.back().dataRack = {"r1"};
    specification.steps.back().estimate = work;
    submit(id(2), specification, {.work = Duration{3'000}}, "h1", "/ordinary/");
    runUntil([&] { return fleet.starts[id(2)] == 1; }, Duration{1'000});
    run(Duration{3'000});
    run(bound - startTime);
    EXPECT_EQ(fleet.starts[id(2)], 1);
    runUntil([&] { return fleet.starts[id(2)] == 2; }, 3 * startTime);
}

}
