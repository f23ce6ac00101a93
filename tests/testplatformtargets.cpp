#include "platform/targetcodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace sequoiastand
{

using Json = nlohmann::json;

/// Tests the encoding of orders to the platform's targets and the decoding of their responses.
struct PlatformTargetCodec : testing::Test
{
    static TargetOrder order(TargetOrderRequest request)
    {
        return {CallId{3}, {"i-1"}, "10.0.0.9:80", 7, std::move(request), Duration{500}};
    }

    static TargetOrder holdOrder()
    {
        return order(HoldRuns{std::nullopt, 57, Duration{0}});
    }

    static std::string lists(const std::string &running, const std::string &ended)
    {
        return R"({"clockMs":482113,"born":1700,"running":[)" + running + R"(],"endedRuns":[)" + ended + "]}";
    }

    const TaskId task{{{"5c0e7a21d94b36f8"}, 0, 1}, 17};
};

TEST_F(PlatformTargetCodec, startCarriesPayloadDeadlineAndToken)
{
    Workflow workflow;
    workflow.specification.payload = "payload";
    const auto call = encodeTargetOrder(order(StartRun{task, 2, std::make_shared<const Workflow>(workflow), TargetClock{486'000}, "c1", "t1"}));
    EXPECT_EQ(call.path, "/sequoiastand/run-start");
    EXPECT_EQ(Json::parse(call.body),
              (Json{{"task", "5c0e7a21d94b36f8.0.1.17"},
                    {"run", 2},
                    {"spec", "payload"},
                    {"deadlineMs", 486'000},
                    {"fenceToken", 7},
                    {"lastCheckpoint", "c1"},
                    {"ticket", "t1"}}));
}

TEST_F(PlatformTargetCodec, paceNamesRunAndShare)
{
    const auto call = encodeTargetOrder(order(PaceRun{task, 2, 40}));
    EXPECT_EQ(call.path, "/sequoiastand/pace");
    EXPECT_EQ(Json::parse(call.body), (Json{{"task", "5c0e7a21d94b36f8.0.1.17"}, {"run", 2}, {"percent", 40}, {"fenceToken", 7}}));
}

TEST_F(PlatformTargetCodec, holdWithoutADeadlineExtendsNothing)
{
    const auto body = Json::parse(encodeTargetOrder(holdOrder()).body);
    EXPECT_FALSE(body.contains("deadlineMs"));
    EXPECT_FALSE(body.contains("waitMs"));
    EXPECT_EQ(body["lastSeen"], 57);
}

// Guards against a start that is converted silently to another number, which would tell a wrong instance.
TEST_F(PlatformTargetCodec, listsWithAStartOutOfRangeAreNotUnderstood)
{
    for (const auto &start : {"1e300", "18446744073709551615", "18446744073709551616", "-1", "8.5", "\"1700\"", "null"}) {
        SCOPED_TRACE(start);
        const auto body = std::string(R"({"clockMs":1,"running":[],"endedRuns":[],"born":)") + start + "}";
        const auto reply = decodeTargetReply(holdOrder(), 200, body);
        EXPECT_EQ(reply.outcome, OrderOutcome::Unknown);
        EXPECT_FALSE(reply.lists);
    }
}

TEST_F(PlatformTargetCodec, listsAreDecodedWithAndWithoutALoadFigure)
{
    const auto body = lists(R"(["5c0e7a21d94b36f8.0.1.17",2,"c1",41],["5c0e7a21d94b36f8.0.1.18",1,"",7,350])",
                            R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.10",3,"alone","c9"])");
    const auto reply = decodeTargetReply(holdOrder(), 200, body);
    ASSERT_EQ(reply.outcome, OrderOutcome::Accepted);
    ASSERT_TRUE(reply.lists);
    EXPECT_EQ(reply.lists->startTimeMs, 1'700);
    EXPECT_EQ(reply.clock, TargetClock{482'113});
    ASSERT_EQ(reply.lists->running.size(), 2U);
    EXPECT_EQ(reply.lists->running.front().task, task);
    EXPECT_EQ(reply.lists->running.front().percent, 41);
    EXPECT_EQ(reply.lists->running.front().load, 0);
    EXPECT_EQ(reply.lists->running.back().load, 350);
    ASSERT_EQ(reply.lists->ended.size(), 2U);
    EXPECT_EQ(reply.lists->ended.front().end, RunEnd::Finished);
    EXPECT_EQ(reply.lists->ended.back().end, RunEnd::Alone);
    EXPECT_EQ(reply.lists->ended.back().checkpoint, "c9");
}

// Guards against taking 500 ends, of which a target lists no more in one answer, for all ends of the target.
TEST_F(PlatformTargetCodec, listOfEndsIsFullFromFiveHundredOn)
{
    const auto listsWith = [](int ends) {
        std::string rows;
        for (int number = 1; number <= ends; ++number) {
            const auto text = std::to_string(number);
            rows.append(rows.empty() ? "[" : ",[").append(text).append(R"(,"5c0e7a21d94b36f8.0.0.)").append(text).append(R"(",1,"done",""])");
        }
        return lists("", rows);
    };
    EXPECT_FALSE(decodeTargetReply(holdOrder(), 200, listsWith(499)).lists->isEndListFull);
    EXPECT_TRUE(decodeTargetReply(holdOrder(), 200, listsWith(500)).lists->isEndListFull);
}

TEST_F(PlatformTargetCodec, reasonOfARefusalIsKept)
{
    const auto refusalFor = [&](int status, const std::string &body) { return decodeTargetReply(holdOrder(), status, body).refusal; };
    EXPECT_EQ(refusalFor(409, R"({"reason":"fence"})"), OrderRefusal::Fenced);
    EXPECT_EQ(refusalFor(409, R"({"reason":"old"})"), OrderRefusal::OldRun);
    EXPECT_EQ(refusalFor(409, R"({"reason":"late"})"), OrderRefusal::TooLate);
    EXPECT_EQ(refusalFor(409, R"({"reason":"room"})"), OrderRefusal::NoRoom);
    EXPECT_EQ(refusalFor(409, R"({"reason":"ticket"})"), OrderRefusal::NoTicket);
    EXPECT_EQ(refusalFor(409, R"({"reason":"unheard of"})"), OrderRefusal::Invalid);
    EXPECT_EQ(refusalFor(421, ""), OrderRefusal::OtherInstance);
    EXPECT_EQ(refusalFor(429, ""), OrderRefusal::Unhealthy);
}

TEST_F(PlatformTargetCodec, answerWithoutReadableListsIsUnknownAndNotEmpty)
{
    // Guards against treating a target whose lists cannot be decoded as a target without runs.
    for (const std::string body : {"", "[]", "{\"clockMs\":1}", R"({"clockMs":1,"running":[["no task",1,"",0]],"endedRuns":[]})"}) {
        const auto reply = decodeTargetReply(holdOrder(), 200, body);
        EXPECT_EQ(reply.outcome, OrderOutcome::Unknown) << body;
        EXPECT_FALSE(reply.lists) << body;
    }
}

TEST_F(PlatformTargetCodec, serverErrorLeavesTheOutcomeUnknown)
{
    EXPECT_EQ(decodeTargetReply(holdOrder(), 500, "").outcome, OrderOutcome::Unknown);
    EXPECT_EQ(decodeTargetReply(holdOrder(), 400, "").outcome, OrderOutcome::Refused);
}

// Guards against a host that ends because a target gives the reason of a refusal in another form than a text.
TEST_F(PlatformTargetCodec, refusalWhoseReasonIsNoTextIsInvalid)
{
    for (const auto *reason : {"null", "5", "[]", "{}", "true"}) {
        const auto reply = decodeTargetReply(holdOrder(), 409, std::string(R"({"clockMs":4,"reason":)") + reason + "}");
        EXPECT_EQ(reply.outcome, OrderOutcome::Refused) << reason;
        EXPECT_EQ(reply.refusal, OrderRefusal::Invalid) << reason;
        EXPECT_EQ(reply.clock, TargetClock{4}) << reason;
    }
}

}
