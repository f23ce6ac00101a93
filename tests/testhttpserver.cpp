#include "loopback.h"
#include "net/httpserver.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <deque>
#include <thread>

namespace sequoiastand
{

namespace
{

using testing::ElementsAre;
using testing::HasSubstr;
using testing::StartsWith;

std::string post(const std::string &body, const std::string &headers = "")
{
    return "POST /v1/jobs?waitMs=5 HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

class HttpServerLimitsTest : public testing::Test
{
protected:
    HttpServerLimitsTest()
    {
        serveWith(testTimeout);
    }

    void serveWith(Duration requestTimeout)
    {
        m_server = std::make_unique<HttpServer>(
            m_loop, HttpServerLimits{.maxBodyBytes = 64, .maxHeaderBytes = 4096, .maxConnections = 2, .requestTimeout = requestTimeout});
        m_server->setHandler([this](HttpRequestId id, const HttpRequest &request) {
            m_ids.push_back(id);
            m_requests.push_back(request);
        });
        m_server->setDisconnectHandler([this](HttpRequestId id) { m_abandoned.push_back(id); });
        m_server->setEndHandler([this](const HttpRequestSummary &summary) { m_ends.push_back(summary); });
        EXPECT_TRUE(m_server->listen("127.0.0.1", 0).ok());
    }

    bool wait(const std::function<bool()> &isDone)
    {
        return m_loop.runUntil(isDone, testTimeout);
    }

    EventLoop m_loop;
    std::unique_ptr<HttpServer> m_server;
    std::vector<HttpRequestId> m_ids;
    std::vector<HttpRequest> m_requests;
    std::vector<HttpRequestId> m_abandoned;
    std::vector<HttpRequestSummary> m_ends;
};

// Guards against requests that end without an answer unseen: each end is reported with its cause.
TEST_F(HttpServerLimitsTest, endOfARequestIsReportedWithItsCause)
{
    serveWith(Duration{200});
    RawClient answered(m_loop, m_server->port());
    answered.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    m_server->respond(m_ids[0], {.body = "done"});
    ASSERT_TRUE(wait([this] { return m_ends.size() == 1; }));
    EXPECT_TRUE(m_ends[0].isRead);
    EXPECT_EQ(m_ends[0].end, HttpRequestEnd::Answered);
    EXPECT_EQ(m_ends[0].path, "/v1/jobs");

    answered.close();
    RawClient leaving(m_loop, m_server->port());
    leaving.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 2; }));
    leaving.reset();
    ASSERT_TRUE(wait([this] { return m_ends.size() == 2; }));
    EXPECT_EQ(m_ends[1].end, HttpRequestEnd::ClientLeft);

    RawClient incomplete(m_loop, m_server->port());
    incomplete.send("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 60\r\n\r\npart");
    ASSERT_TRUE(wait([this] { return m_ends.size() == 3; }));
    EXPECT_EQ(m_ends[2].end, HttpRequestEnd::TimedOut);
    EXPECT_FALSE(m_ends[2].isRead);
    EXPECT_FALSE(isUnanswered(m_ends[2]));
}

TEST_F(HttpServerLimitsTest, suspendedRequestIsAnsweredLater)
{
    RawClient client(m_loop, m_server->port());
    client.send(post("{}", "Authorization: Bearer secret\r\n"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    EXPECT_EQ((HttpRequest{"POST", "/v1/jobs", {{"waitMs", "5"}}, "secret", "{}"}), m_requests[0]);

    m_server->respond(m_ids[0], {.status = 200, .body = "done", .retryAfter = Duration{1'200}});

    ASSERT_TRUE(wait([&client] { return client.received().ends_with("done"); }));
    EXPECT_THAT(client.received(), StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(client.received(), HasSubstr("Retry-After: 2"));
}

TEST_F(HttpServerLimitsTest, bodyOverTheLimitIsRefusedWithoutReachingTheHandler)
{
    RawClient client(m_loop, m_server->port());
    client.send(post(std::string(65, 'x')));
    ASSERT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    EXPECT_THAT(client.received(), StartsWith("HTTP/1.1 413"));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpServerLimitsTest, chunkedBodyOverTheLimitIsRefused)
{
    RawClient client(m_loop, m_server->port());
    client.send("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + std::string(80, 'x') + "\r\n0\r\n\r\n");
    ASSERT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    EXPECT_THAT(client.received(), StartsWith("HTTP/1.1 413"));
    EXPECT_TRUE(m_requests.empty());
}

TEST_F(HttpServerLimitsTest, connectionOverTheLimitIsRefusedWithAResponse)
{
    RawClient first(m_loop, m_server->port());
    RawClient second(m_loop, m_server->port());
    ASSERT_TRUE(wait([this] { return m_server->openConnections() == 2; }));
    RawClient third(m_loop, m_server->port());
    third.send(post("{}"));

    ASSERT_TRUE(wait([&third] { return third.isClosedByPeer(); }));
    EXPECT_THAT(third.received(), StartsWith("HTTP/1.1 503"));
    EXPECT_TRUE(m_requests.empty());
}

// Guards against a client that keeps a request open by sending a byte now and then: an idle timeout alone would never close it.
TEST_F(HttpServerLimitsTest, requestThatIsNeverCompletedIsClosed)
{
    serveWith(Duration{50});
    RawClient headers(m_loop, m_server->port());
    headers.send("POST /v1/jobs HTTP/1.1\r\nHost:");
    RawClient body(m_loop, m_server->port());
    body.send("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 60\r\n\r\npart");

    EXPECT_TRUE(wait([&] { return headers.isClosedByPeer() && body.isClosedByPeer(); }));
    EXPECT_TRUE(m_requests.empty());
    EXPECT_TRUE(wait([this] { return m_server->openRequests() == 0; }));
}

TEST_F(HttpServerLimitsTest, waitingRequestIsNotClosedByTheRequestTimeout)
{
    serveWith(Duration{200});
    RawClient waiting(m_loop, m_server->port());
    waiting.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    RawClient slow(m_loop, m_server->port());
    slow.send("POST");
    ASSERT_TRUE(wait([&slow] { return slow.isClosedByPeer(); })) << "the request timeout must close the connection with an incomplete request";

    EXPECT_FALSE(waiting.isClosedByPeer());
    m_server->respond(m_ids[0], {.body = "done"});
    EXPECT_TRUE(wait([&waiting] { return waiting.received().ends_with("done"); }));
}

TEST_F(HttpServerLimitsTest, clientThatResetsItsConnectionWhileWaitingIsReported)
{
    RawClient client(m_loop, m_server->port());
    client.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    client.reset();

    ASSERT_TRUE(wait([this] { return !m_abandoned.empty(); }));
    EXPECT_THAT(m_abandoned, ElementsAre(m_ids[0]));
    EXPECT_TRUE(wait([this] { return m_server->openConnections() == 0; }));
    m_server->respond(m_ids[0], {.body = "late"});
}

// Guards against telling a client that its request will never run while the request is being handled: a client that ends its sending side still reads.
TEST_F(HttpServerLimitsTest, clientThatEndsItsSendingSideGetsItsAnswer)
{
    RawClient client(m_loop, m_server->port());
    client.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    client.endSending();
    m_loop.runUntil([] { return false; }, Duration{100});
    EXPECT_TRUE(client.received().empty());
    EXPECT_TRUE(m_abandoned.empty());
    m_server->respond(m_ids[0], {.status = 200, .body = "done"});

    ASSERT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    EXPECT_THAT(client.received(), StartsWith("HTTP/1.1 200"));
    EXPECT_TRUE(client.received().ends_with("done"));
    EXPECT_TRUE(wait([this] { return m_server->openConnections() == 0; }));
}

// Guards against a response that libmicrohttpd drops because it reads the end of the client's stream first, which it does unless the connection is its oldest.
TEST_F(HttpServerLimitsTest, clientThatEndsItsSendingSideGetsItsAnswerBesideOlderConnections)
{
    std::deque<RawClient> clients;
    for (std::size_t number = 1; number <= 2; ++number) {
        auto &client = clients.emplace_back(m_loop, m_server->port());
        client.send(post("{}"));
        ASSERT_TRUE(wait([&] { return m_requests.size() == number; }));
        client.endSending();
    }
    m_loop.runUntil([] { return false; }, Duration{50});
    std::ranges::for_each(m_ids, [this](HttpRequestId id) { m_server->respond(id, {.status = 200, .body = "done"}); });
    for (auto &client : clients) {
        EXPECT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
        EXPECT_TRUE(client.received().ends_with("done")) << client.received();
    }
}

TEST_F(HttpServerLimitsTest, requestIsAnsweredThoughItsEndAndTheEndOfTheStreamArriveTogether)
{
    RawClient client(m_loop, m_server->port());
    client.send(post("{}"));
    client.endSending();
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    m_server->respond(m_ids[0], {.status = 200, .body = "done"});
    EXPECT_TRUE(wait([&client] { return client.received().ends_with("done"); }));
}

TEST_F(HttpServerLimitsTest, pipelinedRequestsAreAnsweredAfterTheEndOfTheStream)
{
    RawClient client(m_loop, m_server->port());
    client.send(post("{}") + post("{\"second\":1}"));
    client.endSending();
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    m_server->respond(m_ids[0], {.body = "first"});
    ASSERT_TRUE(wait([this] { return m_requests.size() == 2; }));
    m_server->respond(m_ids[1], {.body = "second"});
    EXPECT_TRUE(wait([&client] { return client.received().ends_with("second"); }));
    EXPECT_THAT(client.received(), HasSubstr("first"));
}

// Guards against a connection that stays open for good after its client has gone in order.
TEST_F(HttpServerLimitsTest, connectionThatItsClientHasClosedEndsWithTheAnswer)
{
    RawClient client(m_loop, m_server->port());
    client.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    client.close();
    m_loop.runUntil([] { return false; }, Duration{50});
    m_server->respond(m_ids[0], {.body = "done"});
    EXPECT_TRUE(wait([this] { return m_server->openConnections() == 0 && m_server->openRequests() == 0; }));
}

// Guards against a loop that never sleeps: the end of the stream stays readable until the request is answered.
TEST_F(HttpServerLimitsTest, requestWhoseClientHasEndedItsSendingSideWaitsWithoutProcessorTime)
{
    RawClient client(m_loop, m_server->port());
    client.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    client.endSending();
    const auto before = std::clock();
    m_loop.runUntil([] { return false; }, Duration{500});
    EXPECT_LT(static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC, 0.1);
}

TEST_F(HttpServerLimitsTest, openRequestIsAnsweredAfterAcceptingHasStopped)
{
    RawClient client(m_loop, m_server->port());
    client.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    m_server->stopAccepting();
    m_server->respond(m_ids[0], {.body = "done"});
    EXPECT_TRUE(wait([&client] { return client.received().ends_with("done"); }));
}

// Guards against a planned stop that resets the connections in the listener's backlog, with requests that were already sent.
TEST_F(HttpServerLimitsTest, connectionInTheBacklogIsAnsweredAfterAcceptingHasStopped)
{
    RawClient first(m_loop, m_server->port());
    RawClient second(m_loop, m_server->port());
    first.send(post("{}"));
    second.send(post("{}"));
    m_server->stopAccepting();
    ASSERT_TRUE(wait([this] { return m_requests.size() == 2; }));
    m_server->respond(m_ids[0], {.body = "done"});
    m_server->respond(m_ids[1], {.body = "done"});
    EXPECT_TRUE(wait([&] { return first.received().ends_with("done") && second.received().ends_with("done"); }));
}

// Guards against a sweep that closes a connection whose request is in the socket's buffer while the loop was busy beyond the deadline.
TEST_F(HttpServerLimitsTest, requestThatHasArrivedBeforeTheDeadlineIsSweptIsAnswered)
{
    serveWith(Duration{100});
    RawClient unused(m_loop, m_server->port());
    RawClient incomplete(m_loop, m_server->port());
    incomplete.send("POST /v1/jobs HTTP/1.1\r\n");
    ASSERT_TRUE(wait([this] { return m_server->openConnections() == 2; }));
    m_loop.runUntil([] { return false; }, Duration{20});
    unused.send(post("{}"));
    incomplete.send("Host: x\r\nContent-Length: 2\r\n\r\n{}");
    std::this_thread::sleep_for(Duration{250});
    ASSERT_TRUE(wait([this] { return m_requests.size() == 2; }));
    m_server->respond(m_ids[0], {.body = "done"});
    m_server->respond(m_ids[1], {.body = "done"});
    EXPECT_TRUE(wait([&] { return unused.received().ends_with("done") && incomplete.received().ends_with("done"); }));
}

// Guards against a client that cannot tell whether its request was handled, because the request crossed the end of its idle connection.
TEST_F(HttpServerLimitsTest, requestThatCrossesTheEndOfItsIdleConnectionIsRefusedOnce)
{
    RawClient client(m_loop, m_server->port());
    RawClient busy(m_loop, m_server->port());
    client.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    busy.send(post("{}"));
    ASSERT_TRUE(wait([this] { return m_requests.size() == 2; }));
    m_server->respond(m_ids[0], {.body = "done"});
    ASSERT_TRUE(wait([&] { return client.received().ends_with("done"); }));

    m_server->endIdleConnections({.status = 503, .body = "stopping"});
    m_server->endIdleConnections({.status = 503, .body = "stopping"});
    client.send(post("{}"));

    ASSERT_TRUE(wait([&] { return client.isClosedByPeer() && m_server->openConnections() == 1; }));
    EXPECT_TRUE(client.received().ends_with("stopping"));
    EXPECT_EQ(client.received().find("HTTP/1.1 503"), client.received().rfind("HTTP/1.1 503"));
    EXPECT_EQ(m_requests.size(), 2U) << "a request that was refused must not be handled";
    EXPECT_EQ(m_ends.back().end, HttpRequestEnd::Answered);
    m_server->respond(m_ids[1], {.body = "done"});
    EXPECT_TRUE(wait([&busy] { return busy.received().ends_with("done"); }));
}

// Guards against a request that is refused unread although it had arrived before its connection was ended.
TEST_F(HttpServerLimitsTest, requestInTheSocketBufferIsHandledWhenIdleConnectionsEnd)
{
    RawClient client(m_loop, m_server->port());
    ASSERT_TRUE(wait([this] { return m_server->openConnections() == 1; }));
    client.send(post("{}"));
    m_server->endIdleConnections({.status = 503, .body = "stopping"});
    ASSERT_TRUE(wait([this] { return m_requests.size() == 1; }));
    m_server->respond(m_ids[0], {.body = "done"});
    EXPECT_TRUE(wait([&client] { return client.received().ends_with("done"); }));
}

}
