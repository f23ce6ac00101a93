#include "loopback.h"
#include "platform/storeport.h"

#include <gtest/gtest.h>

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

// Guards against telling a caller that its request will not run, although the store may apply the first copy of the transaction later.
TEST_F(StorePortCalls, transactionOnAConnectionThatClosesHasAnUnknownOutcome)
{
    ASSERT_EQ(send(StoreRange{domainOwnerKey(), false}).outcome, StoreOutcome::Applied);
    StoreTransaction transaction;
    transaction.writes.push_back({domainOwnerKey(), DomainOwner{{"h1"}, 1}, 0, false});
    EXPECT_EQ(send(transaction).outcome, StoreOutcome::Unknown);
}

}
