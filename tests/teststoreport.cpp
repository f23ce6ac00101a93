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

// Guards against telling a caller that its request will not run, although the store may apply the first copy of the transaction later.
TEST_F(StorePortCalls, transactionOnAConnectionThatClosesHasAnUnknownOutcome)
{
    ASSERT_EQ(send(StoreRange{domainOwnerKey(), false}).outcome, StoreOutcome::Applied);
    StoreTransaction transaction;
    transaction.writes.push_back({domainOwnerKey(), DomainOwner{{"h1"}, 1}, 0, false});
    EXPECT_EQ(send(transaction).outcome, StoreOutcome::Unknown);
}

}
