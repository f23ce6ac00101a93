#include "platform/adviserport.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace sequoiastand
{

using Json = nlohmann::json;

/// Tests the encoding of requests to the platform's adviser and the decoding of its responses.
struct PlatformAdviser : testing::Test
{
    const AdviceRequest request{CallId{3}, {{"5c0e7a21d94b36f8"}, 0, 1}, {{"i-1"}, {"i-2"}}, Duration{500}};
};

TEST_F(PlatformAdviser, requestNamesStepAndTargets)
{
    const auto call = encodeAdviceRequest(request);
    EXPECT_EQ(call.path, "/sequoiastand/advise");
    EXPECT_EQ(Json::parse(call.body), (Json{{"step", "5c0e7a21d94b36f8.0.1"}, {"workers", {"i-1", "i-2"}}}));
}

TEST_F(PlatformAdviser, answerHoldsTheTicketsOfAllowedTargets)
{
    const auto reply = decodeAdviceReply(request, 200, R"({"good":[["i-2","c81e-7a21d94b"]],"validityMs":3000})");
    EXPECT_TRUE(reply.isAnswered);
    EXPECT_EQ(reply.id, request.id);
    EXPECT_EQ(reply.tickets, (std::map<TargetId, std::string>{{{"i-2"}, "c81e-7a21d94b"}}));
    EXPECT_EQ(reply.validity, Duration{3'000});
}

TEST_F(PlatformAdviser, refusedAndInvalidResponsesLeaveTheRequestUnanswered)
{
    // Guards against treating targets as not allowed when an overloaded adviser has not checked them.
    for (const auto &reply : {decodeAdviceReply(request, 429, "{}"),
                              decodeAdviceReply(request, 200, "no JSON"),
                              decodeAdviceReply(request, 200, R"({"good":[["i-2"]],"validityMs":3000})"),
                              decodeAdviceReply(request, 200, R"({"good":[]})")}) {
        EXPECT_FALSE(reply.isAnswered);
        EXPECT_FALSE(reply.error.empty());
        EXPECT_EQ(reply.id, request.id);
    }
}

}
