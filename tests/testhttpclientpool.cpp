#include "loopback.h"
#include "net/httpclientpool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace sequoiastand
{

struct HttpClientPools : testing::Test
{
    EventLoop loop;
    HttpClientPool pool{loop};
};

// Guards against an owner that stands still for seconds: libcurl's check of idle connections takes a time that grows with the square of their number.
TEST_F(HttpClientPools, hundredsOfPeersAreSpreadOverTheClients)
{
    std::map<const HttpClient *, int> peers;
    for (int number = 0; number < 540; ++number) {
        ++peers[&pool.clientFor("10.4." + std::to_string(number / 108) + "." + std::to_string(number % 108) + ":8781")];
    }
    const auto most = *std::ranges::max_element(peers, {}, [](const auto &row) { return row.second; });
    EXPECT_LE(most.second, 40) << "peers that share a client";
}

TEST_F(HttpClientPools, callsToOnePeerUseOneClient)
{
    EXPECT_EQ(&pool.clientFor("10.0.0.1:80"), &pool.clientFor("10.0.0.1:80"));
}

// Guards against connections and calls of a former owner that stay open after it has lost the domain.
TEST_F(HttpClientPools, closedPoolDropsCallsAndConnections)
{
    LoopbackServer idle(loop, [](const HttpRequest &) { return HttpResponse{.status = 200, .body = "{}"}; });
    ScriptedListener silent(loop, {});
    int answers = 0;
    pool.clientFor(idle.address()).send({.address = idle.address(), .path = "/", .body = "{}", .timeout = testTimeout}, [&](const HttpAnswer &) { ++answers; });
    ASSERT_TRUE(loop.runUntil([&] { return answers == 1; }, testTimeout));
    pool.clientFor(silent.address()).send({.address = silent.address(), .path = "/", .body = "{}", .timeout = testTimeout}, [&](const HttpAnswer &) {
        ++answers;
    });
    ASSERT_TRUE(loop.runUntil([&] { return !silent.received().empty(); }, testTimeout));
    ASSERT_EQ(idle.openConnections(), 1U);

    pool.closeAll();
    EXPECT_TRUE(loop.runUntil([&] { return idle.openConnections() == 0; }, testTimeout));
    EXPECT_EQ(pool.openCalls(), 0U);
    EXPECT_EQ(answers, 1);
}

}
