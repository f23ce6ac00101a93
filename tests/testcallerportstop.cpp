#include "loopback.h"
#include "platform/callerport.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace sequoiastand
{

namespace
{

using testing::HasSubstr;
using testing::StartsWith;

const std::string query = "GET /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: x\r\n\r\n";

}

class CallerPortStopTest : public testing::Test
{
protected:
    CallerPortStopTest()
        : m_port(closedPort())
        , m_callers(std::make_unique<CallerPort>(
              m_loop,
              HttpServerLimits{},
              [this] { return CallId{++m_lastCall}; },
              [this](WorkflowEvent event) { m_events.push_back(std::move(event)); }))
    {
        EXPECT_TRUE(m_callers->listen(loopbackAddress(m_port)).ok());
    }

    bool wait(const std::function<bool()> &isDone)
    {
        return m_loop.runUntil(isDone, testTimeout);
    }

    EventLoop m_loop;
    int m_port = 0;
    unsigned long long m_lastCall = 0;
    std::vector<WorkflowEvent> m_events;
    std::unique_ptr<CallerPort> m_callers;
};

// Guards against requests that end without an answer because the process exits while they are handled.
TEST_F(CallerPortStopTest, openRequestsAreAnsweredThoughThePortIsDestroyedAtOnce)
{
    RawClient first(m_loop, m_port);
    RawClient second(m_loop, m_port);
    first.send(query);
    second.send(query);
    ASSERT_TRUE(wait([this] { return m_events.size() == 2; }));
    m_callers->closeConnections();

    m_callers->endOpenRequests();
    m_callers->poll();
    EXPECT_EQ(0U, m_callers->openRequests());
    m_callers.reset();

    EXPECT_TRUE(wait([&] { return first.isClosedByPeer() && second.isClosedByPeer(); }));
    EXPECT_THAT(first.received(), StartsWith("HTTP/1.1 504"));
    EXPECT_THAT(second.received(), StartsWith("HTTP/1.1 504"));
    EXPECT_EQ(4U, m_events.size()) << "the domain must learn that the calls are abandoned";
}

// Guards against a request that arrives on an open connection just before the exit and is cut with it.
TEST_F(CallerPortStopTest, requestThatArrivesInTheLastTurnIsRefused)
{
    RawClient client(m_loop, m_port);
    client.send(query);
    ASSERT_TRUE(wait([this] { return m_events.size() == 1; }));
    m_callers->answer({CallId{m_lastCall}, std::nullopt, WorkflowState::Running, std::nullopt});
    ASSERT_TRUE(wait([&client] { return client.received().ends_with("}"); }));

    client.send(query);
    m_callers->closeConnections();
    m_callers->refuseRequests();
    m_callers->poll();
    EXPECT_EQ(0U, m_callers->openRequests());
    m_callers.reset();

    EXPECT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    EXPECT_THAT(client.received(), HasSubstr("HTTP/1.1 503"));
    EXPECT_EQ(1U, m_events.size());
}

}
