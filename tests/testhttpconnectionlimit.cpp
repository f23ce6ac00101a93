#include "loopback.h"
#include "net/httpserver.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace sequoiastand
{

namespace
{

using testing::HasSubstr;
using testing::StartsWith;

// Connections that a server with the smallest limit accepts above it.
constexpr int connectionsAboveLimit = 8;

}

/// A server that allows one connection and serves /healthz above that limit.
struct HttpConnectionLimitTest : testing::Test
{
    HttpConnectionLimitTest()
    {
        server.setHandler([this](HttpRequestId id, const HttpRequest &) { server.respond(id, {.body = "done"}); });
        server.setAlwaysServedPaths({"/healthz"});
        EXPECT_TRUE(server.listen("127.0.0.1", 0).ok());
        clients.push_back(std::make_unique<RawClient>(loop, server.port()));
        EXPECT_TRUE(wait([this] { return server.openConnections() == 1; }));
    }

    bool wait(const std::function<bool()> &isDone)
    {
        return loop.runUntil(isDone, testTimeout);
    }

    std::string answerTo(const std::string &path, const std::string &headers = "")
    {
        RawClient client(loop, server.port());
        client.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n");
        EXPECT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
        return client.received();
    }

    EventLoop loop;
    HttpServer server{loop, {.maxConnections = 1}};
    std::vector<std::unique_ptr<RawClient>> clients;
};

// Guards against a server that is taken for dead because its clients hold all connections that it allows.
TEST_F(HttpConnectionLimitTest, alwaysServedPathIsAnsweredAboveTheLimitAndItsConnectionClosed)
{
    const auto answer = answerTo("/healthz");
    EXPECT_THAT(answer, StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(answer, HasSubstr("Connection: close"));
}

TEST_F(HttpConnectionLimitTest, otherPathIsRefusedAboveTheLimit)
{
    EXPECT_THAT(answerTo("/v1/jobs"), StartsWith("HTTP/1.1 503"));
}

// Guards against a server that accepts no connection any more because clients hold those that it accepts to refuse them.
TEST_F(HttpConnectionLimitTest, oldestConnectionAboveTheLimitIsClosedWhenNoOtherCanBeAccepted)
{
    std::generate_n(std::back_inserter(clients), connectionsAboveLimit, [this] { return std::make_unique<RawClient>(loop, server.port()); });

    ASSERT_TRUE(wait([this] { return clients[1]->isClosedByPeer(); }));
    EXPECT_EQ(1, std::ranges::count_if(clients, [](const auto &client) { return client->isClosedByPeer(); }));
    EXPECT_EQ(1, server.displacedConnections());
    EXPECT_THAT(answerTo("/healthz"), StartsWith("HTTP/1.1 200"));
}

// Guards against a server that accepts no connection any more after it had as many as it accepts and all of them have been closed.
TEST_F(HttpConnectionLimitTest, connectionIsAcceptedAfterAsManyAsPossibleHaveBeenClosed)
{
    std::generate_n(std::back_inserter(clients), 2 * connectionsAboveLimit, [this] { return std::make_unique<RawClient>(loop, server.port()); });
    loop.runUntil([] { return false; }, Duration{100});
    clients.clear();
    ASSERT_TRUE(wait([this] { return server.openConnections() == 0; }));

    EXPECT_THAT(answerTo("/v1/jobs", "Connection: close\r\n"), StartsWith("HTTP/1.1 200"));
}

}
