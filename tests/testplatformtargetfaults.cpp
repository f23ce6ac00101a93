#include "platform/standin/platformtargets.h"
#include "platform/targetport.h"
#include "tests/loopback.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiastand
{

/// Sends the product's orders to a stand-in target whose faults delay them, and crashes the target before they are due.
struct PlatformTargetFaultsAcrossCrash : testing::Test
{
    PlatformTargetFaultsAcrossCrash()
    {
        TargetRegistration registration;
        registration.instance = {target, 1'700};
        registration.capacity = {32'000, 131'072, 8};
        address = loopbackAddress(startTarget(targets, registration).value());
        workflow.id = task.step.workflow;
        workflow.specification.steps.resize(1);
        targets.fleet.workflows[workflow.id] = workflow;
    }

    void send(TargetOrderRequest request)
    {
        events.clear();
        port.send({CallId{++calls}, target, address, token, std::move(request), Duration{300}});
        loop.runUntil([this] { return !events.empty(); }, testTimeout);
    }

    TargetOrderReply reply() const
    {
        return events.empty() ? TargetOrderReply{} : std::get<TargetOrderReply>(events.front());
    }

    StartRun start() const
    {
        // The deadline lies far beyond the clock of an instance that has just started.
        return {task, 1, std::make_shared<const Workflow>(workflow), TargetClock{486'000}, "", ""};
    }

    void crashBeforeLateOrders()
    {
        crashTarget(targets, target);
        for (auto &late : targets.lateOrders) {
            late.due = EventLoop::now();
        }
        tick(targets);
    }

    const ModelTarget &instance() const
    {
        return targets.fleet.targets.at(target);
    }

    const TargetId target{"t1"};
    const TaskId task{{{"00000000000000aa"}, 0, 0}, 0};
    const Revision token = 7;
    EventLoop loop;
    HttpClientPool http{loop};
    PlatformTargets targets{loop, 1};
    std::vector<WorkflowEvent> events;
    TargetPort port{http,
                    [this](WorkflowEvent event) { events.push_back(std::move(event)); },
                    [](const std::string &, const std::string &, const std::string &) {}};
    Workflow workflow;
    std::string address;
    unsigned long long calls = 0;
};

TEST_F(PlatformTargetFaultsAcrossCrash, lateStartOfTheFormerInstanceIsDiscarded)
{
    targets.faults.lateOrderPercent = 100;
    send(start());
    EXPECT_EQ(reply().outcome, OrderOutcome::Unknown);
    crashBeforeLateOrders();
    EXPECT_THAT(targets.lateOrders, testing::IsEmpty());
    EXPECT_THAT(instance().running, testing::IsEmpty());
}

TEST_F(PlatformTargetFaultsAcrossCrash, instanceCrossingStartRunsOnTheNewInstance)
{
    // Guards against a soak in which no order of a former instance reaches the next one, as in issue 18.
    targets.faults.instanceCrossingOrderPercent = 100;
    send(start());
    EXPECT_EQ(reply().outcome, OrderOutcome::Unknown);
    EXPECT_THAT(instance().running, testing::IsEmpty());
    crashBeforeLateOrders();
    ASSERT_TRUE(instance().running.contains(task));
    EXPECT_EQ(instance().fence, token);
    EXPECT_LE(instance().heldUntil, EventLoop::now() + targets.fleet.holdMax);
    ASSERT_EQ(targets.starts.size(), 1U);
    EXPECT_TRUE(targets.starts.front().isLate);
}

TEST_F(PlatformTargetFaultsAcrossCrash, instanceCrossingHoldExtendsTheLeaseOfTheNewInstance)
{
    // Guards against a soak in which the lease of a new instance lasts only as long as its own holds and starts say.
    targets.faults.instanceCrossingOrderPercent = 100;
    send(HoldRuns{TargetClock{486'000}, 57, Duration{0}});
    EXPECT_EQ(reply().outcome, OrderOutcome::Unknown);
    crashBeforeLateOrders();
    EXPECT_EQ(instance().fence, token);
    EXPECT_GT(instance().heldUntil, EventLoop::now());
    EXPECT_LE(instance().heldUntil, EventLoop::now() + targets.fleet.holdMax);
}

TEST_F(PlatformTargetFaultsAcrossCrash, instanceCrossingStopLetsTheNewInstanceRefuseTheRun)
{
    // Guards against a late stop that has no effect on the next instance.
    targets.faults.instanceCrossingOrderPercent = 100;
    send(StopRun{task, 1});
    crashBeforeLateOrders();
    targets.faults = {};
    send(start());
    EXPECT_EQ(reply().refusal, OrderRefusal::OldRun);
    EXPECT_THAT(instance().running, testing::IsEmpty());
}

}
