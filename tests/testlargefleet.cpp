#include "domainfixture.h"
#include "workflow/holdpacing.h"

#include <algorithm>
#include <map>

namespace sequoiastand
{

/// An owner with a quarter of a core and 600 targets.
struct LargeFleet : DomainTest
{
    static constexpr int targetCount = 600;

    LargeFleet()
    {
        settings.processorShare = 0.25;
        addTargets(targetCount);
        addHost("h1");
    }

    void runUntilAllTargetsHaveAnswered()
    {
        runUntil(
            [&] {
                const auto &rows = board("h1").targets.rows();
                return rows.size() == targetCount && std::ranges::all_of(rows, [](const auto &row) { return row.second.hasAnsweredOwner; });
            },
            Duration{20'000});
    }

    /// Number of holds among the orders from index `first` on.
    int holdsSince(std::size_t first) const
    {
        return static_cast<int>(std::count_if(sentOrders.begin() + static_cast<std::ptrdiff_t>(first), sentOrders.end(), [](const TargetOrder &order) {
            return std::holds_alternative<HoldRuns>(order.request);
        }));
    }
};

TEST_F(LargeFleet, newOwnerLimitsItsProbesUnderWay)
{
    // Guards against a takeover that probes every target at once: a weak host cannot read the answers before they time out, sends the probes again on new
    // connections, and loses its lease meanwhile.
    std::size_t sent = 0;
    std::size_t most = 0;
    for (int steps = 0; steps < 2'000; ++steps) {
        run(Duration{5});
        most = std::max(most, sentOrders.size() - sent);
        sent = sentOrders.size();
    }
    EXPECT_LE(most, 120U) << "orders in one step, with a quarter of a core";
    runUntilAllTargetsHaveAnswered();
}

TEST_F(LargeFleet, unresponsiveTargetsDoNotDelayProbesOfOthers)
{
    // Guards against an order of probes in which targets that never answer always come first and delay the probes of the others.
    for (int number = 1; number <= 200; ++number) {
        cutOff("t" + std::to_string(number));
    }
    runUntil(
        [&] {
            const auto answered = std::ranges::count_if(board("h1").targets.rows(), [](const auto &row) { return row.second.hasAnsweredOwner; });
            return answered == targetCount - 200;
        },
        Duration{20'000});
    for (int number = 1; number <= 200; ++number) {
        reconnect("t" + std::to_string(number));
    }
    runUntilAllTargetsHaveAnswered();
}

TEST_F(LargeFleet, holdsOfIdleTargetsAreLimitedByTheOwnersProcessorShare)
{
    runUntilAllTargetsHaveAnswered();
    run(Duration{10'000});
    const auto before = sentOrders.size();
    run(Duration{10'000});
    EXPECT_LE(holdsSince(before), 10 * 150) << "holds in 10 s, with a quarter of a core";
}

TEST_F(LargeFleet, connectionsToIdleTargetsAreKeptOnlyIfUsedAgainSoon)
{
    // Guards against thousands of idle connections that the targets close one by one.
    EXPECT_TRUE(holdPace(350, 0.5, settings.limits).keepsIdleConnections);
    EXPECT_FALSE(holdPace(targetCount, 0.25, settings.limits).keepsIdleConnections);
    runUntilAllTargetsHaveAnswered();
    submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{60'000}, {}}, "h1", "/urgent/");
    runUntil([&] { return fleet.starts[id(1)] == 1; }, Duration{1'000});
    const auto busy = std::ranges::find_if(fleet.targets, [](const auto &row) { return !row.second.running.empty(); })->first;
    run(Duration{5'000});
    sentOrders.clear();
    run(Duration{10'000});
    EXPECT_TRUE(std::ranges::all_of(sentOrders, [&](const TargetOrder &order) { return order.keepsConnection == (order.target == busy); }));
}

TEST_F(LargeFleet, idleTargetsAcceptWorkBetweenTwoHolds)
{
    // Guards against treating targets as out of contact because they get holds less often.
    runUntilAllTargetsHaveAnswered();
    run(Duration{15'000});
    submit(id(1), gang(targetCount, {1'000, 1'000, 8}), {Duration{1'000}, {}}, "h1", "/urgent/");
    runUntil([&] { return fleet.starts[id(1)] == targetCount; }, Duration{4'000});
}

TEST_F(LargeFleet, zoneOfFewIdleTargetsDoesNotCountAsUnresponsive)
{
    // Guards against a small zone of a large fleet that gets no work because its targets rarely get holds.
    TargetRegistration registration = fleet.targets.at({"t1"}).registration;
    for (int number = 1; number <= 10; ++number) {
        registration.instance.target = {"small" + std::to_string(number)};
        registration.availabilityZone = {"c"};
        registration.labels = {"small", "r0"};
        registration.address = "10.0.1." + std::to_string(number) + ":80";
        addTarget(fleet, registration, now);
        registerAgain(registration.instance.target.value);
    }
    run(Duration{15'000});
    auto work = gang(10, {1'000, 1'000, 8});
    work.steps.front().requiredLabel = "small";
    for (int number = 1; number <= 5; ++number) {
        submit(id(number), work, {Duration{200}, {}}, "h1", "/urgent/");
        runUntil([&] { return fleet.starts[id(number)] == 10; }, Duration{1'000});
        run(Duration{3'000});
    }
}

TEST_F(LargeFleet, endOfARunOnAnIdleTargetIsReportedAtOnce)
{
    runUntilAllTargetsHaveAnswered();
    run(Duration{10'000});
    submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{1'500}, {}}, "h1", "/urgent/");
    runUntil([&] { return fleet.starts[id(1)] == 1; }, Duration{1'000});
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{1'800});
}

}
