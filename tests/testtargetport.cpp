#include "loopback.h"
#include "platform/targetport.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// Sends orders to a target on loopback that closes its connection when it receives the second request, and refuses requests on the next connection.
struct TargetPortOrders : testing::Test
{
    TargetOrderReply send(TargetOrderRequest request)
    {
        TargetOrder order;
        order.id = CallId{m_nextCall++};
        order.target = {"t1"};
        order.address = target.address();
        order.request = std::move(request);
        order.timeout = testTimeout;
        port.send(order);
        EXPECT_TRUE(loop.runUntil([&] { return !replies.empty() && replies.back().id == order.id; }, testTimeout));
        return replies.empty() ? TargetOrderReply{} : replies.back();
    }

    static std::string answer(const std::string &status, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Number of requests for the path that the target has received.
    int received(std::string_view path) const
    {
        int count = 0;
        for (auto at = target.received().find(path); at != std::string::npos; at = target.received().find(path, at + 1)) {
            ++count;
        }
        return count;
    }

    EventLoop loop;
    HttpClientPool http{loop};
    std::vector<TargetOrderReply> replies;
    TargetPort port{http,
                    [this](WorkflowEvent event) { replies.push_back(std::get<TargetOrderReply>(std::move(event))); },
                    [](const std::string &, const std::string &, const std::string &) {}};
    ScriptedListener target{loop,
                            {{.answer = answer("200 OK", R"({"clockMs":1,"born":1,"running":[],"endedRuns":[]})"), .closesOnNextBytes = true},
                             {.answer = answer("503 Service Unavailable", "{}")}}};
    const TaskId task{{{"5c0e7a21d94b36f8"}, 0, 0}, 0};

private:
    unsigned long long m_nextCall = 1;
};

// Guards against orders of a former owner that a pause of its process has delayed until another host owns the domain.
TEST_F(TargetPortOrders, orderIsNotSentOnceTheAuthorityOfItsSenderHasEnded)
{
    TargetOrder order;
    order.id = CallId{100};
    order.target = {"t1"};
    order.address = target.address();
    order.request = StopRun{task, 1};
    order.timeout = testTimeout;
    order.sendBefore = EventLoop::now();
    port.send(order);
    ASSERT_TRUE(loop.runUntil([&] { return !replies.empty(); }, testTimeout));
    EXPECT_EQ(replies.back().outcome, OrderOutcome::NotSent);
    EXPECT_EQ(received("/sequoiastand/run-stop"), 0);
}

// Guards against taking a start for one that was never carried out: if the client sent it again by itself, the refusal of the second copy would hide the first.
TEST_F(TargetPortOrders, startOnAConnectionThatClosesIsSentOnceAndItsOutcomeIsUnknown)
{
    ASSERT_EQ(send(HoldRuns{}).outcome, OrderOutcome::Accepted);
    const auto reply = send(StartRun{task, 1, std::make_shared<const Workflow>(), TargetClock{2'500}, {}, {}});
    EXPECT_EQ(reply.outcome, OrderOutcome::Unknown);
    EXPECT_EQ(received("/sequoiastand/run-start"), 1);
}

// Stops are sent again, because a second stop of the same run has no further effect.
TEST_F(TargetPortOrders, stopOnAConnectionThatClosesIsSentAgain)
{
    ASSERT_EQ(send(HoldRuns{}).outcome, OrderOutcome::Accepted);
    EXPECT_EQ(send(StopRun{task, 1}).refusal, OrderRefusal::Unhealthy);
    EXPECT_EQ(received("/sequoiastand/run-stop"), 2);
}

}
