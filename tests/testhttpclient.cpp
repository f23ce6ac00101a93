#include "loopback.h"
#include "net/httpclient.h"
#include "soak/proxy.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace sequoiastand
{

namespace
{

/// Timeout of calls that must not be answered; long enough to send a request on a busy machine.
constexpr Duration unansweredTimeout{200};

/// A loopback listener whose backlog is full, so that connections to it are never established.
class FullListener
{
public:
    FullListener()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(bind(m_listener, reinterpret_cast<const sockaddr *>(&address), size), 0);
        EXPECT_EQ(listen(m_listener, 0), 0);
        EXPECT_EQ(getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size), 0);
        m_port = ntohs(address.sin_port);
        for (auto &waiting : m_waiting) {
            waiting = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            // Connections beyond the backlog stay in progress.
            const int result = connect(waiting, reinterpret_cast<const sockaddr *>(&address), size);
            EXPECT_TRUE(result == 0 || errno == EINPROGRESS);
        }
    }

    ~FullListener()
    {
        std::ranges::for_each(m_waiting, ::close);
        ::close(m_listener);
    }

    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    std::string address() const
    {
        return loopbackAddress(m_port);
    }

private:
    int m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int m_port = 0;
    std::array<int, 4> m_waiting{};
};

const std::string okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}

class HttpClientCall : public testing::Test
{
protected:
    HttpAnswer call(const std::string &address, Duration timeout = testTimeout, bool isRetryable = false, Duration stallTimeout = {})
    {
        std::optional<HttpAnswer> answer;
        HttpCall request{.address = address, .path = "/v1/x", .body = "{}", .timeout = timeout};
        request.isRetryable = isRetryable;
        request.stallTimeout = stallTimeout;
        m_client.send(request, [&answer](const HttpAnswer &received) { answer = received; });
        EXPECT_TRUE(m_loop.runUntil([&answer] { return answer.has_value(); }, testTimeout));
        return answer.value_or(HttpAnswer{});
    }

    static int requestsIn(const std::string &received)
    {
        int count = 0;
        for (auto at = received.find("POST /v1/x"); at != std::string::npos; at = received.find("POST /v1/x", at + 1)) {
            ++count;
        }
        return count;
    }

    EventLoop m_loop;
    HttpClient m_client{m_loop};
};

TEST_F(HttpClientCall, answerOfAServerIsReturned)
{
    ScriptedListener server(m_loop, {{okAnswer}});
    EXPECT_EQ((HttpAnswer{HttpOutcome::Answered, 200, "ok", ""}), call(server.address()));
}

TEST_F(HttpClientCall, refusedConnectionIsNotSent)
{
    const auto answer = call(loopbackAddress(closedPort()));
    EXPECT_EQ(HttpOutcome::NotSent, answer.outcome);
    EXPECT_FALSE(answer.error.empty());
}

// Guards against a large answer that is given up on a slow link shortly before its end, again and again.
TEST_F(HttpClientCall, answerThatArrivesForLongerThanTheTimeoutIsReturned)
{
    constexpr int parts = 10;
    ScriptedListener server(m_loop, {{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(parts + 1) + "\r\n\r\nx"}});
    int sent = 0;
    Timer timer(m_loop, [&] {
        server.sendOnLastConnection("x");
        if (++sent < parts) {
            timer.startIn(unansweredTimeout / 3);
        }
    });
    timer.startIn(unansweredTimeout / 3);
    const auto answer = call(server.address(), unansweredTimeout, false, unansweredTimeout);
    EXPECT_EQ((HttpAnswer{HttpOutcome::Answered, 200, std::string(parts + 1, 'x'), ""}), answer);
}

// Guards against a call that stays open for ever because its answer has begun.
TEST_F(HttpClientCall, answerThatStopsArrivingIsUnknown)
{
    ScriptedListener server(m_loop, {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx"}});
    const auto answer = call(server.address(), unansweredTimeout, false, unansweredTimeout);
    EXPECT_EQ(HttpOutcome::Unknown, answer.outcome);
    EXPECT_EQ("x", answer.body);
}

TEST_F(HttpClientCall, timeoutAfterTheRequestIsUnknown)
{
    ScriptedListener server(m_loop, {});
    EXPECT_EQ(HttpOutcome::Unknown, call(server.address(), unansweredTimeout).outcome);
}

TEST_F(HttpClientCall, closeWithoutAnAnswerIsUnknown)
{
    ScriptedListener server(m_loop, {{"", true}});
    EXPECT_EQ(HttpOutcome::Unknown, call(server.address()).outcome);
}

TEST_F(HttpClientCall, truncatedAnswerIsUnknown)
{
    ScriptedListener server(m_loop, {{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart", true}});
    EXPECT_EQ(HttpOutcome::Unknown, call(server.address()).outcome);
}

// Guards against reusing a connection that no longer responds while new connections work.
TEST_F(HttpClientCall, callAfterASilentConnectionOpensANewOne)
{
    ScriptedListener server(m_loop, {{okAnswer}, {okAnswer}});
    ASSERT_EQ(HttpOutcome::Answered, call(server.address()).outcome);
    ASSERT_EQ(HttpOutcome::Unknown, call(server.address(), unansweredTimeout).outcome) << "the first connection answers only once";
    ASSERT_EQ(1U, server.acceptedCount());

    EXPECT_EQ(HttpOutcome::Answered, call(server.address()).outcome);
    EXPECT_EQ(2U, server.acceptedCount());
}

// Guards against a pool of connections that have gone silent together: each of them cost a call of its own its whole timeout.
TEST_F(HttpClientCall, callsAfterAnUnansweredOneAvoidAllConnectionsThatWereIdleBefore)
{
    constexpr std::size_t connections = 4;
    LoopbackServer server(m_loop, [](const HttpRequest &) { return HttpResponse{.body = "ok"}; });
    Proxy proxy(m_loop, server.address());
    ASSERT_TRUE(proxy.listen().ok());
    std::size_t answers = 0;
    for (std::size_t number = 0; number < connections; ++number) {
        m_client.send({.address = proxy.address(), .path = "/v1/x", .body = "{}", .timeout = testTimeout}, [&](const HttpAnswer &) { ++answers; });
    }
    ASSERT_TRUE(m_loop.runUntil([&] { return answers == connections; }, testTimeout));
    ASSERT_EQ(connections, proxy.connectionCount());
    // Times are in whole milliseconds, and a connection that has answered in the millisecond of the next call counts as working.
    std::this_thread::sleep_for(Duration{2});
    proxy.silenceConnections();
    ASSERT_EQ(HttpOutcome::Unknown, call(proxy.address(), unansweredTimeout).outcome);

    for (std::size_t number = 0; number < 2 * connections; ++number) {
        EXPECT_EQ(HttpOutcome::Answered, call(proxy.address(), unansweredTimeout).outcome) << "call " << number;
    }
}

// Guards against shutting down a caller's connection: libcurl closes a connection that it could not establish in time without reporting it, and the descriptor is
// used again.
TEST_F(HttpClientCall, unansweredCallLeavesConnectionsOfOtherPartsOpen)
{
    const FullListener peer;
    ASSERT_EQ(HttpOutcome::NotSent, call(peer.address(), unansweredTimeout).outcome);
    std::array<int, 2> ends{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()), 0);
    ASSERT_EQ(HttpOutcome::NotSent, call(peer.address(), unansweredTimeout).outcome);

    for (const int end : ends) {
        char byte = 0;
        EXPECT_EQ(recv(end, &byte, 1, MSG_DONTWAIT), -1) << "the connection has been shut down";
    }
    EXPECT_EQ(m_client.endedConnections(), 0U);
    std::ranges::for_each(ends, ::close);
}

// Guards against giving up connections that work: a call to one slow path would cost all others their connections.
TEST_F(HttpClientCall, connectionThatHasAnsweredSinceTheUnansweredCallIsReused)
{
    LoopbackServer server(m_loop, [](const HttpRequest &) { return HttpResponse{.body = "ok"}; });
    Proxy proxy(m_loop, server.address());
    ASSERT_TRUE(proxy.listen().ok());
    ASSERT_EQ(HttpOutcome::Answered, call(proxy.address()).outcome);
    std::this_thread::sleep_for(Duration{2});
    proxy.silenceConnections();
    std::optional<HttpAnswer> unanswered;
    m_client.send({.address = proxy.address(), .path = "/v1/x", .body = "{}", .timeout = unansweredTimeout},
                  [&](const HttpAnswer &answer) { unanswered = answer; });
    std::this_thread::sleep_for(Duration{2});
    ASSERT_EQ(HttpOutcome::Answered, call(proxy.address()).outcome) << "on a connection of its own";
    ASSERT_TRUE(m_loop.runUntil([&] { return unanswered.has_value(); }, testTimeout));
    ASSERT_EQ(HttpOutcome::Unknown, unanswered->outcome);

    // The first call after a failure opens a new connection in any case, beside the one that has answered. The proxy may see the end of the unanswered one late.
    ASSERT_EQ(HttpOutcome::Answered, call(proxy.address()).outcome);
    constexpr std::size_t open = 2;
    ASSERT_TRUE(m_loop.runUntil([&] { return proxy.connectionCount() == open; }, testTimeout));
    EXPECT_EQ(HttpOutcome::Answered, call(proxy.address()).outcome);
    EXPECT_EQ(open, proxy.connectionCount());
}

// Guards against libcurl's automatic retry on a reused connection, which applied one transaction twice.
TEST_F(HttpClientCall, requestOnAConnectionThatClosesIsNotSentAgain)
{
    ScriptedListener server(m_loop, {{.answer = okAnswer, .closesOnNextBytes = true}, {okAnswer}});
    const auto address = server.address();
    ASSERT_EQ(HttpOutcome::Answered, call(address).outcome);

    EXPECT_EQ(HttpOutcome::Unknown, call(address).outcome);
    EXPECT_EQ(2, requestsIn(server.received())) << "one for each call";
}

// Guards against failing calls that could safely be sent again: without a retry, each connection reset fails all calls on the connection.
TEST_F(HttpClientCall, repeatableRequestOnAConnectionThatClosesIsSentAgain)
{
    ScriptedListener server(m_loop, {{.answer = okAnswer, .closesOnNextBytes = true}, {okAnswer}});
    const auto address = server.address();
    ASSERT_EQ(HttpOutcome::Answered, call(address).outcome);

    EXPECT_EQ(HttpOutcome::Answered, call(address, testTimeout, true).outcome);
}

// Guards against a paused process that sends orders after it has resumed, although another process has taken over.
TEST_F(HttpClientCall, requestIsNotSentOnceThePermissionOfItsSenderHasEnded)
{
    ScriptedListener server(m_loop, {{okAnswer}, {okAnswer}});
    ASSERT_EQ(HttpOutcome::Answered, call(server.address()).outcome);
    const auto receivedBefore = server.received().size();
    for (const auto &address : {server.address(), std::string("127.0.0.2:") + server.address().substr(server.address().find(':') + 1)}) {
        std::optional<HttpAnswer> answer;
        HttpCall request{.address = address, .path = "/v1/x", .body = "{}", .timeout = testTimeout};
        request.sendBefore = EventLoop::now() + Duration{20};
        m_client.send(request, [&answer](const HttpAnswer &received) { answer = received; });
        // The loop does not run, as in a suspended process.
        std::this_thread::sleep_for(Duration{30});
        ASSERT_TRUE(m_loop.runUntil([&answer] { return answer.has_value(); }, testTimeout));
        EXPECT_EQ(HttpOutcome::NotSent, answer->outcome) << address;
    }
    EXPECT_EQ(receivedBefore, server.received().size());
}

// Guards against new connections for each call to hundreds of rarely called targets: libcurl's default closes idle connections beyond four per call under way.
TEST_F(HttpClientCall, idleConnectionsToManyServersAreReused)
{
    std::vector<std::unique_ptr<LoopbackServer>> servers(20);
    std::ranges::generate(
        servers, [this] { return std::make_unique<LoopbackServer>(m_loop, [](const HttpRequest &) { return HttpResponse{.status = 200, .body = "{}"}; }); });
    for (const auto &server : servers) {
        ASSERT_EQ(HttpOutcome::Answered, call(server->address()).outcome);
    }
    for (const auto &server : servers) {
        EXPECT_EQ(1U, server->openConnections());
    }
}

// libcurl retries a request when a reused connection was closed. If the retry cannot connect, the first attempt may still have been executed.
TEST_F(HttpClientCall, failedResendOfASentRequestIsUnknown)
{
    ScriptedListener server(m_loop, {{.answer = okAnswer, .stopsOnNextBytes = true}});
    const auto address = server.address();
    ASSERT_EQ(HttpOutcome::Answered, call(address).outcome);

    EXPECT_EQ(HttpOutcome::Unknown, call(address).outcome);
}

TEST_F(HttpClientCall, closedStreamGivesNoAnswer)
{
    ScriptedListener server(m_loop, {{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\npart"}});
    std::string data;
    bool hasEnded = false;
    const auto id = m_client.open(
        {.address = server.address(), .path = "/v3/watch"},
        [&data](const std::string &bytes) { data += bytes; },
        [&hasEnded](const HttpAnswer &) { hasEnded = true; });
    ASSERT_TRUE(m_loop.runUntil([&data] { return data == "part"; }, testTimeout));
    m_client.close(id);

    EXPECT_EQ(0U, m_client.openCalls());
    EXPECT_EQ(HttpOutcome::NotSent, call(loopbackAddress(closedPort())).outcome);
    EXPECT_FALSE(hasEnded);
}

TEST_F(HttpClientCall, everyCallEndsSoonAfterItsTimeout)
{
    // libcurl drops a transfer's timeout when another of its timers fires less than a millisecond earlier. Calls that start tasks then stayed open forever.
    constexpr int calls = 2'400;
    ScriptedListener listener(m_loop, {});
    int ended = 0;
    for (int call = 0; call < calls; ++call) {
        HttpCall request{.address = listener.address(), .path = "/v1/x", .body = "{}", .timeout = Duration{150 + call % 100}};
        request.isRetryable = call % 2 == 0;
        m_client.send(request, [&ended](const HttpAnswer &answer) { ended += answer.outcome == HttpOutcome::Answered ? 0 : 1; });
        m_loop.runUntil([] { return false; }, Duration{call % 3});
    }
    EXPECT_TRUE(m_loop.runUntil([&] { return ended == calls; }, Duration{2'000})) << calls - ended << " calls are still open";
}

TEST_F(HttpClientCall, callEndsAfterAPauseOfTheProcess)
{
    ScriptedListener listener(m_loop, {});
    int ended = 0;
    for (int call = 0; call < 50; ++call) {
        HttpCall request{.address = listener.address(), .path = "/v1/x", .body = "{}", .timeout = unansweredTimeout};
        m_client.send(request, [&ended](const HttpAnswer &) { ++ended; });
    }
    const auto wake = EventLoop::now() + unansweredTimeout;
    while (EventLoop::now() < wake) {
        // The event loop does not run, as in a suspended process.
    }
    EXPECT_TRUE(m_loop.runUntil([&] { return ended == 50; }, Duration{2'000}));
}

}
