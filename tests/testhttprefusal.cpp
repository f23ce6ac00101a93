#include "loopback.h"
#include "net/httpserver.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <vector>

namespace sequoiastand
{

namespace
{

using testing::HasSubstr;
using testing::StartsWith;

constexpr std::size_t maxBodyBytes = 4'096;
const HttpServerLimits limits{.maxBodyBytes = maxBodyBytes, .maxHeaderBytes = 4'096, .receiveBudgetBytes = 1}; // The smallest budget: two bodies.

const std::string announcedHeader = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n";
const std::string chunkedHeader = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t size)
{
    std::array<char, 16> length{};
    std::snprintf(length.data(), length.size(), "%zx\r\n", size);
    return length.data() + std::string(size, 'x') + "\r\n";
}

std::string post(std::size_t bodyBytes, const std::string &headers = "")
{
    return "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

}

class HttpRefusalTest : public testing::Test
{
protected:
    HttpRefusalTest()
        : m_server(m_loop, limits)
    {
        m_server.setHandler([this](HttpRequestId id, const HttpRequest &request) {
            m_requests.push_back(request);
            m_server.respond(id, {.body = "done"});
        });
        m_server.setEndHandler([this](const HttpRequestSummary &summary) { m_ends.push_back(summary); });
        EXPECT_TRUE(m_server.listen("127.0.0.1", 0).ok());
    }

    bool wait(const std::function<bool()> &isDone)
    {
        return m_loop.runUntil(isDone, testTimeout);
    }

    /// Waits for the complete 413 response, sends bytes in pieces after it, and checks that the connection still takes them.
    void expectRefusalWhileSending(RawClient &client, const std::string &piece)
    {
        ASSERT_TRUE(wait([&client] { return client.received().find("\r\n\r\n") != std::string::npos || client.isClosedByPeer(); }));
        EXPECT_THAT(client.received(), StartsWith("HTTP/1.1 413"));
        for (int count = 0; count < 5; ++count) {
            client.send(piece);
            m_loop.runUntil([] { return false; }, Duration{20});
        }
        client.endSending();
        EXPECT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
        EXPECT_TRUE(m_requests.empty());
        EXPECT_TRUE(wait([this] { return m_server.openConnections() == 0 && m_server.openRequests() == 0; }));
        ASSERT_EQ(1U, m_ends.size());
        EXPECT_FALSE(isUnanswered(m_ends[0]));
    }

    EventLoop m_loop;
    HttpServer m_server;
    std::vector<HttpRequest> m_requests;
    std::vector<HttpRequestSummary> m_ends;
};

// Guards against a refusal that is lost because the server resets the connection of a client that still sends an announced body.
TEST_F(HttpRefusalTest, announcedBodyOverTheLimitGetsAResponseWhileItIsSent)
{
    RawClient client(m_loop, m_server.port());
    client.send(announcedHeader + std::string(1'000, 'x'));
    expectRefusalWhileSending(client, std::string(2'000, 'x'));
}

// Guards against a connection that ends without a response because a chunked body is far over the limit.
TEST_F(HttpRefusalTest, chunkedBodyFarOverTheLimitGetsAResponseWhileItIsSent)
{
    RawClient client(m_loop, m_server.port());
    client.send(chunkedHeader + chunk(8 * maxBodyBytes));
    expectRefusalWhileSending(client, chunk(2'000));
}

// Guards against a refusal that is lost because the server closes the connection with unread bytes of the next requests.
TEST_F(HttpRefusalTest, requestsBehindARefusedRequestDoNotResetTheConnection)
{
    RawClient client(m_loop, m_server.port());
    client.send(post(maxBodyBytes + 1) + post(10) + post(10));
    expectRefusalWhileSending(client, post(10));
}

// Guards against a client that is refused and never stops sending: what is read after the refusal is bounded.
TEST_F(HttpRefusalTest, clientThatGoesOnSendingForeverIsClosed)
{
    RawClient client(m_loop, m_server.port());
    client.send(chunkedHeader + chunk(2 * maxBodyBytes));
    ASSERT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    EXPECT_THAT(client.received(), StartsWith("HTTP/1.1 413"));
    client.send(std::string(20 * maxBodyBytes, 'x'));
    EXPECT_TRUE(wait([this] { return m_server.openConnections() == 0; }));
}

// Guards against bodies that stop short of their end and keep the memory that ordinary requests need, and against a refusal of a request that has run.
TEST_F(HttpRefusalTest, bodiesThatStopShortAreRefusedWhenTheirMemoryIsNeeded)
{
    const std::size_t count = receiveBudget(limits) / maxBodyBytes;
    std::vector<std::unique_ptr<RawClient>> clients;
    const auto isRefused = [](const auto &client) { return client->received().starts_with("HTTP/1.1 503"); };
    for (std::size_t number = 0; number < count + 1; ++number) {
        clients.push_back(std::make_unique<RawClient>(m_loop, m_server.port()));
        clients.back()->send(post(maxBodyBytes).substr(0, maxBodyBytes));
    }
    ASSERT_TRUE(wait([&] { return std::ranges::any_of(clients, isRefused); }));
    EXPECT_LE(m_server.heldBytes(), receiveBudget(limits));
    const auto refused = std::ranges::find_if(clients, isRefused);
    (*refused)->send(std::string(maxBodyBytes, 'x'));

    RawClient ordinary(m_loop, m_server.port());
    ordinary.send(post(100));
    EXPECT_TRUE(wait([&ordinary] { return ordinary.received().ends_with("done"); }));
    EXPECT_TRUE(wait([&] { return (*refused)->isClosedByPeer(); }));
    EXPECT_EQ(1U, m_requests.size());
    clients.clear();
    EXPECT_TRUE(wait([this] { return m_server.heldBytes() == 0; }));
}

// Guards against a body that is refused although it only reaches the limit.
TEST_F(HttpRefusalTest, bodyThatEndsAtTheLimitIsAnswered)
{
    RawClient announced(m_loop, m_server.port());
    announced.send(post(maxBodyBytes));
    EXPECT_TRUE(wait([&announced] { return announced.received().ends_with("done"); }));
    RawClient chunked(m_loop, m_server.port());
    chunked.send(chunkedHeader + chunk(maxBodyBytes) + "0\r\n\r\n");
    EXPECT_TRUE(wait([&chunked] { return chunked.received().ends_with("done"); }));
    ASSERT_EQ(2U, m_requests.size());
    EXPECT_EQ(maxBodyBytes, m_requests[1].body.size());
}

// Guards against a client that waits for 100 Continue and gets neither it nor an answer.
TEST_F(HttpRefusalTest, requestThatExpectsContinueIsAnsweredOrRefused)
{
    const std::string expect = "Expect: 100-continue\r\n";
    RawClient accepted(m_loop, m_server.port());
    accepted.send("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" + expect + "Content-Length: 2\r\n\r\n");
    ASSERT_TRUE(wait([&accepted] { return accepted.received().ends_with("\r\n\r\n"); }));
    EXPECT_THAT(accepted.received(), StartsWith("HTTP/1.1 100"));
    accepted.send("{}");
    EXPECT_TRUE(wait([&accepted] { return accepted.received().ends_with("done"); }));

    RawClient refused(m_loop, m_server.port());
    refused.send("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" + expect + "Content-Length: 400000\r\n\r\n");
    EXPECT_TRUE(wait([&refused] { return refused.isClosedByPeer(); }));
    EXPECT_THAT(refused.received(), StartsWith("HTTP/1.1 413"));
}

// Guards against versions, methods and options of requests that end without a whole answer.
TEST_F(HttpRefusalTest, requestsOfOtherVersionsMethodsAndOptionsAreAnswered)
{
    RawClient old(m_loop, m_server.port());
    old.send("GET /v1/jobs HTTP/1.0\r\n\r\n");
    EXPECT_TRUE(wait([&old] { return old.isClosedByPeer(); }));
    EXPECT_TRUE(old.received().ends_with("done"));

    RawClient head(m_loop, m_server.port());
    head.send("HEAD /v1/jobs HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(wait([&head] { return head.received().ends_with("\r\n\r\n"); }));
    EXPECT_THAT(head.received(), HasSubstr("Content-Length: 4"));

    RawClient closing(m_loop, m_server.port());
    closing.send(post(10, "Connection: close\r\n"));
    EXPECT_TRUE(wait([&closing] { return closing.isClosedByPeer(); }));
    EXPECT_TRUE(closing.received().ends_with("done"));
}

}
