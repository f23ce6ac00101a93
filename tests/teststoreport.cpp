#include "loopback.h"
#include "platform/storeport.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Sends calls to a store on loopback that closes its connection when it receives the second request, and refuses requests on the next connection.
struct StorePortCalls : testing::Test
{
    StoreReply send(StoreRequest request)
    {
        const StoreCall call{CallId{m_nextCall++}, std::move(request), 0, testTimeout};
        port.send(call);
        EXPECT_TRUE(loop.runUntil([&] { return !replies.empty() && replies.back().id == call.id; }, testTimeout));
        return replies.empty() ? StoreReply{} : replies.back();
    }

    static std::string answer(const std::string &status, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    EventLoop loop;
    HttpClient http{loop};
    std::vector<StoreReply> replies;
    ScriptedListener store{
        loop,
        {{.answer = answer("200 OK", R"({"currentRev":4})"), .closesOnNextBytes = true}, {.answer = answer("503 Service Unavailable", "{}")}}};
    StorePort port{loop,
                   http,
                   store.address(),
                   [this](WorkflowEvent event) { replies.push_back(std::get<StoreReply>(std::move(event))); },
                   [](const std::string &, const std::string &, const std::string &) {}};

private:
    unsigned long long m_nextCall = 1;
};

/// A store on loopback that sends the second half of a large answer when the test says so.
struct StorePortLargeAnswer : testing::Test
{
    static constexpr std::size_t largeBytes = 40'000;

    EventLoop loop;
    HttpClient http{loop};
    std::vector<WorkflowEvent> events;
    ScriptedListener store{loop, {{"HTTP/1.1 404 Not Found\r\nContent-Length: " + std::to_string(2 * largeBytes) + "\r\n\r\n" + std::string(largeBytes, ' ')}}};
    StorePort port{loop,
                   http,
                   store.address(),
                   [this](WorkflowEvent event) { events.push_back(std::move(event)); },
                   [](const std::string &, const std::string &, const std::string &) {}};
};

/// A store on loopback whose answer begins to arrive within the timeout of the call, and ends after it.
struct StorePortSlowAnswer : testing::Test
{
    static constexpr Duration callTimeout{150};
    static constexpr Duration rest{400}; ///< Time until the last byte is sent.

    static std::string page(const std::string &fields)
    {
        const auto body = R"({"currentRev":4,)" + fields + "}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() - 1);
    }

    void awaitEvent()
    {
        lastByte.startIn(rest);
        EXPECT_TRUE(loop.runUntil([&] { return !events.empty(); }, testTimeout));
        ASSERT_EQ(events.size(), 1U);
    }

    EventLoop loop;
    HttpClient http{loop};
    std::vector<WorkflowEvent> events;
    ScriptedListener store{loop, {{page(R"("items":[])")}}};
    Timer lastByte{loop, [this] { store.sendOnLastConnection("}"); }};
    StorePort port{loop,
                   http,
                   store.address(),
                   [this](WorkflowEvent event) { events.push_back(std::move(event)); },
                   [](const std::string &, const std::string &, const std::string &) {}};
};

/// A watch of a store on loopback that refuses the first two requests, answers the third, and does not answer the fourth.
struct StorePortWatch : testing::Test
{
    static std::string answer(const std::string &status, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::vector<StoreWatchCondition> conditions() const
    {
        std::vector<StoreWatchCondition> found;
        for (const auto &event : events) {
            if (const auto *condition = std::get_if<StoreWatchCondition>(&event)) {
                found.push_back(*condition);
            }
        }
        return found;
    }

    EventLoop loop;
    HttpClient http{loop};
    std::vector<WorkflowEvent> events;
    ScriptedListener store{loop,
                           {{.answer = answer("503 Service Unavailable", "{}"), .closesAfterAnswer = true},
                            {.answer = answer("503 Service Unavailable", "{}"), .closesAfterAnswer = true},
                            {.answer = answer("200 OK", R"({"events":[],"currentRev":4})"), .closesAfterAnswer = true}}};
    StorePort port{loop,
                   http,
                   store.address(),
                   [this](WorkflowEvent event) { events.push_back(std::move(event)); },
                   [](const std::string &, const std::string &, const std::string &) {}};
};

// Guards against a watch that fails again and again without anybody being told.
TEST_F(StorePortWatch, failingRequestsAreReportedOnceUntilTheyAreAnsweredAgain)
{
    port.updateWatches({{"intake/", StoreMirror{.step = MirrorStep::Watching, .revision = 3, .generation = 1}}});
    EXPECT_TRUE(loop.runUntil([&] { return conditions().size() >= 2; }, testTimeout));
    ASSERT_EQ(conditions().size(), 2U);
    EXPECT_EQ(conditions()[0].prefix, "intake/");
    EXPECT_TRUE(conditions()[0].isFailing);
    EXPECT_FALSE(conditions()[0].error.empty());
    EXPECT_FALSE(conditions()[1].isFailing);
}

/// A watch of a store on loopback at revision 9 that no longer has the history before revision 4.
struct StorePortRepeat : testing::Test
{
    static HttpResponse answer(const HttpRequest &request)
    {
        return {.status = request.query.at("after") < "4" ? 410 : 200, .body = R"({"events":[],"currentRev":9})"};
    }

    /// The revisions after which the watch has asked for changes since the repeat, up to the request after it.
    std::vector<std::string> revisionsFrom(Revision repeatAfter)
    {
        const auto mirror = [&](int repeats) {
            return std::map<std::string, StoreMirror>{
                {"intake/", StoreMirror{.step = MirrorStep::Watching, .revision = 8, .generation = 1, .repeats = repeats, .repeatedAfter = {repeatAfter}}}};
        };
        port.updateWatches(mirror(0));
        EXPECT_TRUE(loop.runUntil([&] { return store.requests().size() >= 2; }, testTimeout));
        const auto before = store.requests().size();
        port.updateWatches(mirror(1));
        EXPECT_TRUE(loop.runUntil([&] { return store.requests().size() >= before + 3; }, testTimeout));
        std::vector<std::string> revisions;
        std::ranges::transform(
            store.requests() | std::views::drop(before), std::back_inserter(revisions), [](const HttpRequest &request) { return request.query.at("after"); });
        return revisions;
    }

    EventLoop loop;
    HttpClient http{loop};
    std::vector<WorkflowEvent> events;
    LoopbackServer store{loop, answer};
    StorePort port{loop,
                   http,
                   store.address(),
                   [this](WorkflowEvent event) { events.push_back(std::move(event)); },
                   [](const std::string &, const std::string &, const std::string &) {}};
};

// Guards against a watch that never shows a change that it has left out once.
TEST_F(StorePortRepeat, repeatAsksOnceForFormerChanges)
{
    const auto revisions = revisionsFrom(5);
    EXPECT_EQ(std::ranges::count(revisions, "5"), 1);
    EXPECT_EQ(revisions.back(), "9");
}

// Guards against reading the whole prefix again because a repeat begins before the history that the store has kept.
TEST_F(StorePortRepeat, watchContinuesIfTheHistoryOfARepeatIsGone)
{
    const auto revisions = revisionsFrom(3);
    EXPECT_EQ(std::ranges::count(revisions, "3"), 1);
    EXPECT_EQ(revisions.back(), "9");
    EXPECT_TRUE(events.empty());
}

// Guards against a store that seems silent while a large answer arrives from it.
TEST_F(StorePortLargeAnswer, arrivalIsReportedOnceBeforeTheAnswer)
{
    port.send({CallId{7}, StoreRange{queueConfigurationKey(), false}, 0, testTimeout});
    EXPECT_TRUE(loop.runUntil([&] { return !events.empty(); }, testTimeout));
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(std::get<StoreAnswerBegun>(events.front()).id, CallId{7});
    store.sendOnLastConnection(std::string(largeBytes, ' '));
    EXPECT_TRUE(loop.runUntil([&] { return events.size() > 1; }, testTimeout));
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(std::get<StoreReply>(events.back()).id, CallId{7});
}

// Guards against calls that are given up shortly before the end of their answers, again and again, because their timeout is not extended.
TEST_F(StorePortSlowAnswer, answerToACallIsReceived)
{
    port.send({CallId{7}, StoreRange{queueConfigurationKey(), false}, 0, callTimeout});
    awaitEvent();
    EXPECT_EQ(std::get<StoreReply>(events.front()).outcome, StoreOutcome::Applied);
}

// Guards against a prefix that is never read because each page is given up shortly before its end.
TEST_F(StorePortSlowAnswer, pageOfAPrefixIsReceived)
{
    port.send({CallId{7}, StoreRange{{"config/"}, true}, 0, callTimeout});
    awaitEvent();
    EXPECT_EQ(std::get<StoreReply>(events.front()).outcome, StoreOutcome::Applied);
}

// Guards against telling a caller that its request will not run, although the store may apply the first copy of the transaction later.
TEST_F(StorePortCalls, transactionOnAConnectionThatClosesHasAnUnknownOutcome)
{
    ASSERT_EQ(send(StoreRange{domainOwnerKey(), false}).outcome, StoreOutcome::Applied);
    StoreTransaction transaction;
    transaction.writes.push_back({domainOwnerKey(), DomainOwner{{"h1"}, 1}, 0, false});
    EXPECT_EQ(send(transaction).outcome, StoreOutcome::Unknown);
}

}
