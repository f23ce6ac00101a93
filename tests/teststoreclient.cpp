#include "loopback.h"
#include "net/storeclient.h"

#include <absl/strings/str_format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiastand
{

namespace
{

using testing::ElementsAre;
using testing::HasSubstr;

const std::string streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &line)
{
    return absl::StrFormat("%x\r\n%s\n\r\n", line.size() + 1, line);
}

std::string progress(long long revision)
{
    return chunk(absl::StrFormat(R"({"result":{"header":{"revision":"%d"}}})", revision));
}

const std::string created = chunk(R"({"result":{"header":{"revision":"99"},"created":true}})");

std::string answerWith(int status, const std::string &body)
{
    return absl::StrFormat("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, body.size(), body);
}

}

class StoreClientSession : public testing::Test
{
protected:
    void use(std::vector<ScriptedListener::Script> scripts, Duration watchOpenTimeout = testTimeout)
    {
        m_store = std::make_unique<ScriptedListener>(m_loop, std::move(scripts));
        useAddresses({m_store->address()}, watchOpenTimeout);
    }

    void useAddresses(std::vector<std::string> addresses, Duration watchOpenTimeout = testTimeout)
    {
        m_client = std::make_unique<StoreClient>(
            m_loop,
            m_http,
            StoreClientSettings{std::move(addresses), watchOpenTimeout, Duration{40}, Duration{1}},
            [this](Event event) { m_events.push_back(std::move(event)); },
            [this](const std::string &, const std::string &, const std::string &message) { m_errors.push_back(message); });
    }

    StoreReply call(StoreRequest request, Duration timeout = testTimeout)
    {
        m_events.clear();
        m_client->send({{7}, std::move(request), 0, timeout});
        EXPECT_TRUE(waitForEvent());
        return m_events.empty() ? StoreReply{} : std::get<StoreReply>(m_events[0]);
    }

    bool waitForEvent()
    {
        return m_loop.runUntil([this] { return !m_events.empty(); }, testTimeout);
    }

    EventLoop m_loop;
    HttpClient m_http{m_loop};
    std::unique_ptr<ScriptedListener> m_store;
    std::vector<Event> m_events;
    std::vector<std::string> m_errors;
    std::unique_ptr<StoreClient> m_client;
};

TEST_F(StoreClientSession, refusedConnectionHadNoEffectAndTheNextAddressIsUsed)
{
    m_store = std::make_unique<ScriptedListener>(m_loop, std::vector<ScriptedListener::Script>{{answerWith(200, R"({"succeeded":true})")}});
    useAddresses({loopbackAddress(closedPort()), m_store->address()});

    EXPECT_EQ(StoreOutcome::NotSent, call(StoreTransaction{}).outcome);
    EXPECT_EQ(StoreOutcome::Applied, call(StoreTransaction{}).outcome);
}

// Guards against reporting a write as NotSent when its response was lost: it may have been applied, and the core would repeat it without reading back.
TEST_F(StoreClientSession, lostAnswerOfAWriteIsUnknown)
{
    use({{"", true}});
    EXPECT_EQ(StoreOutcome::Unknown, call(StoreTransaction{}).outcome);
}

TEST_F(StoreClientSession, lostAnswerOfAReadHadNoEffect)
{
    use({{"", true}});
    EXPECT_EQ(StoreOutcome::NotSent, call(StoreRange{}).outcome);
}

TEST_F(StoreClientSession, serverErrorOfAWriteIsUnknownAndClientErrorHadNoEffect)
{
    use({{answerWith(503, R"({"message":"no leader"})"), true}, {answerWith(400, R"({"message":"duplicate key"})"), true}});
    const auto unavailable = call(StoreTransaction{});
    EXPECT_EQ(StoreOutcome::Unknown, unavailable.outcome);
    EXPECT_THAT(unavailable.error, HasSubstr("status 503: no leader"));
    EXPECT_EQ(StoreOutcome::NotSent, call(StoreTransaction{}).outcome);
}

TEST_F(StoreClientSession, watchGivesChangesInOrder)
{
    use({{streamHead + created + progress(100) + progress(101)}});
    m_client->watchFrom(100);
    ASSERT_TRUE(m_loop.runUntil([this] { return m_events.size() == 2; }, testTimeout));
    EXPECT_EQ(Event(StoreWatchEvent{100, {}, {}}), m_events[0]);
    EXPECT_EQ(Event(StoreWatchEvent{101, {}, {}}), m_events[1]);
}

TEST_F(StoreClientSession, watchWithoutMessagesIsResumedAfterTheLastChange)
{
    use({{streamHead + created + progress(100)}, {streamHead + created + progress(105)}});
    m_client->watchFrom(100);
    ASSERT_TRUE(m_loop.runUntil([this] { return m_events.size() == 2; }, testTimeout));

    EXPECT_EQ(Event(StoreWatchEvent{105, {}, {}}), m_events[1]);
    EXPECT_GE(m_store->acceptedCount(), 2U);
    EXPECT_THAT(m_store->received(), HasSubstr(R"("start_revision":"101")"));
}

TEST_F(StoreClientSession, watchEndedByTheStoreIsResumed)
{
    use({{streamHead + created + progress(100), true}, {streamHead + created + progress(105)}});
    m_client->watchFrom(100);
    ASSERT_TRUE(m_loop.runUntil([this] { return m_events.size() == 2; }, testTimeout));
    EXPECT_EQ(Event(StoreWatchEvent{105, {}, {}}), m_events[1]);
}

TEST_F(StoreClientSession, watchThatIsNeverConfirmedIsLost)
{
    use({}, Duration{40});
    m_client->watchFrom(100);
    ASSERT_TRUE(waitForEvent());
    EXPECT_EQ(Event(StoreWatchLost{"silent"}), m_events[0]);
    EXPECT_THAT(m_errors, ElementsAre(HasSubstr("no message for 40 ms")));
    EXPECT_FALSE(m_client->isWatching());
}

TEST_F(StoreClientSession, compactedWatchIsLostAndCanBeOpenedAgain)
{
    use({{streamHead + chunk(R"({"result":{"header":{"revision":"200"},"canceled":true,"compact_revision":"150"}})")}, {streamHead + created + progress(201)}});
    m_client->watchFrom(100);
    ASSERT_TRUE(waitForEvent());
    EXPECT_EQ(Event(StoreWatchLost{"compacted"}), m_events[0]);
    EXPECT_THAT(m_errors, ElementsAre(HasSubstr("revision 100 is compacted; the compact revision is 150")));

    m_events.clear();
    m_client->watchFrom(201);
    ASSERT_TRUE(waitForEvent());
    EXPECT_EQ(Event(StoreWatchEvent{201, {}, {}}), m_events[0]);
}

TEST_F(StoreClientSession, unreadableWatchMessageLosesTheWatch)
{
    use({{streamHead + created + chunk("{nonsense")}});
    m_client->watchFrom(100);
    ASSERT_TRUE(waitForEvent());
    EXPECT_EQ(Event(StoreWatchLost{"unreadable"}), m_events[0]);
    EXPECT_THAT(m_errors, ElementsAre(HasSubstr("not a JSON object")));
}

}
