#include "loopback.h"
#include "platform/domainloop.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

namespace sequoiastand
{

class DomainLoopReadiness : public testing::Test
{
protected:
    DomainLoopReadiness()
    {
        m_settings.domain.id = {"h1"};
        m_settings.domain.callerAddress = loopbackAddress(closedPort());
        m_readinessPort = closedPort();
        m_settings.domain.readinessAddress = loopbackAddress(m_readinessPort);
        m_settings.storeAddress = loopbackAddress(closedPort());
    }

    EventLoop m_loop;
    DomainLoopSettings m_settings;
    int m_readinessPort = 0;
};

// Guards against a load balancer that takes a host out of service because other hosts hold all connections of its readiness server.
TEST_F(DomainLoopReadiness, checkIsAnsweredBesideTheConnectionsOfFortyOtherHosts)
{
    constexpr std::size_t otherHosts = 40;
    const std::string request = "GET /sequoiastand/ownership HTTP/1.1\r\nHost: h1\r\n\r\n";
    DomainLoop host(m_loop, m_settings, [](const LogEntry &) {});
    ASSERT_TRUE(host.start().ok());
    std::vector<std::unique_ptr<RawClient>> others;
    for (std::size_t number = 0; number < otherHosts; ++number) {
        others.push_back(std::make_unique<RawClient>(m_loop, m_readinessPort));
        others.back()->send(request);
        ASSERT_TRUE(m_loop.runUntil([&] { return !others.back()->received().empty(); }, testTimeout));
    }
    RawClient loadBalancer(m_loop, m_readinessPort);
    loadBalancer.send("GET /sequoiastand/ready HTTP/1.1\r\nHost: h1\r\n\r\n");
    ASSERT_TRUE(m_loop.runUntil([&] { return !loadBalancer.received().empty(); }, testTimeout));
    // Without a store the host is not ready; a refusal for too many connections has another body.
    EXPECT_TRUE(loadBalancer.received().ends_with("{}")) << loadBalancer.received();
}

class DomainLoopStop : public DomainLoopReadiness
{
protected:
    DomainLoopStop()
    {
        m_port = closedPort();
        m_settings.domain.callerAddress = loopbackAddress(m_port);
        m_settings.gracePeriod = Duration{2'000};
        m_host = std::make_unique<DomainLoop>(m_loop, m_settings, [](const LogEntry &) {});
        m_host->setStoppedHandler([this] { m_isStopped = true; });
        EXPECT_TRUE(m_host->start().ok());
    }

    int m_port = 0;
    bool m_isStopped = false;
    std::unique_ptr<DomainLoop> m_host;
};

// Guards against a request without an answer on a connection that was idle when the process exited.
TEST_F(DomainLoopStop, idleConnectionIsEndedWithARefusalBeforeTheProcessExits)
{
    RawClient idle(m_loop, m_port);
    m_host->requestStop();
    ASSERT_TRUE(m_loop.runUntil([&] { return m_isStopped || idle.isClosedByPeer(); }, testTimeout));
    EXPECT_FALSE(m_isStopped) << "the process must not exit while a client may send a request";
    EXPECT_THAT(idle.received(), testing::StartsWith("HTTP/1.1 503"));
    idle.close();
    ASSERT_TRUE(m_loop.runUntil([this] { return m_isStopped; }, testTimeout));
}

// Guards against a host that is killed because a client does not close its idle connection.
TEST_F(DomainLoopStop, stopFinishesWithinTheGracePeriodThoughAClientKeepsItsConnection)
{
    RawClient idle(m_loop, m_port);
    m_host->requestStop();
    EXPECT_TRUE(m_loop.runUntil([this] { return m_isStopped; }, m_settings.gracePeriod));
}

// Guards against a host that is killed because each further signal begins its grace period anew: a signal may be handled while the check of the stop is due.
TEST_F(DomainLoopStop, repeatedRequestsDoNotExtendTheGracePeriod)
{
    constexpr std::chrono::milliseconds busyTime{60};
    SignalWatch again(m_loop, SIGUSR1, [this] { m_host->requestStop(); });
    m_host->requestStop();
    const auto end = EventLoop::now() + m_settings.gracePeriod;
    while (!m_isStopped && EventLoop::now() < end) {
        std::this_thread::sleep_for(busyTime);
        raise(SIGUSR1);
        m_loop.runUntil([this] { return m_isStopped; }, Duration{1});
    }
    EXPECT_TRUE(m_isStopped);
}

// Guards against connections that are refused or reset because the load balancer still uses a host that is not ready, as it does while most hosts are stopping.
TEST_F(DomainLoopStop, connectionThatArrivesAfterTheRemovalPeriodWhileOthersArriveIsAnswered)
{
    m_settings.gracePeriod = Duration{6'000};
    m_host->applySettings(m_settings);
    m_host->requestStop();
    for (int number = 0; number < 3; ++number) {
        m_loop.runUntil([] { return false; }, Duration{1'200});
        ASSERT_FALSE(m_isStopped);
        RawClient client(m_loop, m_port);
        client.send("PUT /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: x\r\n\r\n");
        ASSERT_TRUE(m_loop.runUntil([&client] { return client.isClosedByPeer(); }, testTimeout));
        EXPECT_THAT(client.received(), testing::StartsWith("HTTP/1.1 405"));
    }
}

}
