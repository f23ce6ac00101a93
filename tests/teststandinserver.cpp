#include "loopback.h"
#include "standins/keyvalueservice.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

/// Runs the key-value service on a free loopback port with a client that uses one connection.
struct StandInFaults : testing::Test
{
    void SetUp() override
    {
        ASSERT_TRUE(startKeyValueService(service, 0).ok());
    }

    void TearDown() override
    {
        stopKeyValueService(service);
    }

    HttpCall call(const std::string &path, const std::string &body, Duration timeout = testTimeout) const
    {
        return {.address = "127.0.0.1:" + std::to_string(portOf(service.server)), .path = path, .body = body, .timeout = timeout};
    }

    HttpAnswer send(const HttpCall &sent)
    {
        std::optional<HttpAnswer> answer;
        client.send(sent, [&answer](const HttpAnswer &received) { answer = received; });
        EXPECT_TRUE(loop.runUntil([&answer] { return answer.has_value(); }, testTimeout * 2));
        return answer.value_or(HttpAnswer{});
    }

    EventLoop loop;
    KeyValueService service{{loop}};
    HttpClient client{loop};
    const std::string put = R"({"key": "YQ==", "value": "MQ=="})";
};

// Guards against a delayed answer that is never sent, because nothing triggers libmicrohttpd after the connection is resumed.
TEST_F(StandInFaults, delayedAnswerArrivesAfterItsDelay)
{
    send(call("/fault", R"({"delayMs": 50})"));
    const auto sent = EventLoop::now();
    EXPECT_EQ(send(call("/v3/kv/put", put)).status, 200);
    EXPECT_GE(EventLoop::now() - sent, Duration{50});
}

TEST_F(StandInFaults, lostAnswerLeavesTheEffectAndOutageDoesNot)
{
    send(call("/fault", R"({"loseAnswers": true})"));
    // libcurl repeats a request if a reused connection is closed without an answer.
    client.requireNewConnection(call("", "").address);
    EXPECT_EQ(send(call("/v3/kv/put", put)).outcome, HttpOutcome::Unknown);
    EXPECT_EQ(service.model.revision, 2);
    send(call("/fault", R"({"loseAnswers": false, "outage": true})"));
    EXPECT_NE(send(call("/v3/kv/put", put)).outcome, HttpOutcome::Answered);
    EXPECT_EQ(service.model.revision, 2);
}

TEST_F(StandInFaults, silentConnectionStaysSilentWhileNewOnesWork)
{
    EXPECT_EQ(send(call("/v3/kv/put", put)).status, 200);
    silenceConnections(service.server, 0);
    EXPECT_NE(send(call("/v3/kv/put", put, Duration{200})).outcome, HttpOutcome::Answered);
    EXPECT_EQ(service.model.revision, 2);
    client.requireNewConnection(call("", "").address);
    EXPECT_EQ(send(call("/v3/kv/put", put)).status, 200);
}

TEST_F(StandInFaults, watchSeesChangesUntilItIsDropped)
{
    std::string received;
    bool hasEnded = false;
    client.open(
        call("/v3/watch", R"({"create_request": {"key": "YQ=="}})", Duration{0}),
        [&received](const std::string &data) { received += data; },
        [&hasEnded](const HttpAnswer &) { hasEnded = true; });
    EXPECT_TRUE(loop.runUntil([&received] { return received.find("created") != std::string::npos; }, testTimeout));
    send(call("/v3/kv/put", put));
    EXPECT_TRUE(loop.runUntil([&received] { return received.find("events") != std::string::npos; }, testTimeout));
    EXPECT_FALSE(hasEnded);
    send(call("/fault", R"({"dropWatches": true})"));
    EXPECT_TRUE(loop.runUntil([&hasEnded] { return hasEnded; }, testTimeout));
}

}
