#include "platform/callerport.h"
#include "platform/platformrecords.h"
#include "wire/jsonfields.h"

#include <gtest/gtest.h>

#include <string>

namespace sequoiastand
{

/// Tests the decoding of submissions and the responses to callers.
struct PlatformFront : testing::Test
{
    static std::string errorOf(const std::string &body)
    {
        const auto read = readSubmission(body);
        return read.ok() ? "" : std::string(read.status().message());
    }

    static int statusOf(RefusalReason reason)
    {
        return responseOf({CallId{1}, Refusal{reason, RequestEffect::NotRun, Duration{0}, "why"}, {}, {}}).status;
    }
};

TEST_F(PlatformFront, submissionIsDecodedIntoStepsAndSchedule)
{
    const auto read = readSubmission(R"({"spec":"p","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":2,"estimateMs":900,"affinity":"r1-3","gang":true,
        "sameRack":true},{"count":20,"after":[0],"savesProgress":true,"requiredLabel":"b","maxPerServer":3,"longRunning":true,"image":"i","targetMs":50,
        "fills":true,"maxUnavailable":2,"speculative":true,"unknown":1}],"times":3,"startAtMs":1700000000000,"intervalMs":2000})");
    ASSERT_TRUE(read.ok()) << read.status();
    ASSERT_EQ(read->steps.size(), 2U);
    const auto &first = read->steps.front();
    EXPECT_EQ(first.taskCount, 4);
    EXPECT_EQ(first.perTask, (Resources{500, 256, 2}));
    EXPECT_EQ(first.dataRack, RackId{"r1-3"});
    EXPECT_TRUE(first.isGang);
    EXPECT_TRUE(first.needsOneRack);
    const auto &second = read->steps.back();
    EXPECT_EQ(second.after, std::vector<int>{0});
    EXPECT_TRUE(second.isCheckpointable);
    EXPECT_TRUE(second.isLasting);
    EXPECT_TRUE(second.isFiller);
    EXPECT_TRUE(second.isSpeculative);
    EXPECT_EQ(second.maxPerTarget, 3);
    EXPECT_EQ(second.maxUnavailable, 2);
    EXPECT_EQ(second.latencyTarget, Duration{50});
    EXPECT_EQ(read->schedule, (OccurrenceSchedule{3, WallTime{Duration{1'700'000'000'000}}, Duration{2'000}}));
}

// Guards against refusing a submission that is sent again as one with another specification: the stored record must be equal to the decoded body.
TEST_F(PlatformFront, storedSpecificationEqualsTheSubmittedOne)
{
    for (const std::string body :
         {R"({"spec":"p \u00e9 \"q\"","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":2,"estimateMs":900,"affinity":"r1-3","gang":true,"sameRack":true},
              {"count":20,"after":[0],"savesProgress":true,"requiredLabel":"b","maxPerServer":3,"longRunning":true,"image":"i","targetMs":50,"fills":true,
              "maxUnavailable":2,"speculative":true}],"times":3,"startAtMs":1700000000000,"intervalMs":2000})",
          R"({"spec":"","steps":[{}]})",
          R"({"spec":"p","steps":[{"count":1}],"times":0,"startAtMs":1700000000000,"intervalMs":2000})"}) {
        SCOPED_TRACE(body);
        const auto read = readSubmission(body);
        ASSERT_TRUE(read.ok()) << read.status();
        Workflow workflow;
        workflow.id = {"0000000000000001"};
        workflow.specification = *read;
        const auto stored = readPlatformRecord(workflowKey(workflow.id), writePlatformRecord(workflow));
        ASSERT_TRUE(stored.ok()) << stored.status();
        EXPECT_EQ(std::get<Workflow>(*stored).specification, *read);
    }
}

TEST_F(PlatformFront, invalidSubmissionsNameTheField)
{
    EXPECT_NE(errorOf(R"({"steps":[{"count":1}]})").find("spec"), std::string::npos);
    EXPECT_NE(errorOf(R"({"spec":"p"})").find("steps"), std::string::npos);
    EXPECT_NE(errorOf(R"({"spec":"p","steps":[{"count":"many"}]})").find("steps[0].count"), std::string::npos);
    EXPECT_NE(errorOf(R"({"spec":"p","steps":[{"count":1,"cpu":-5}]})").find("cpu"), std::string::npos);
    EXPECT_NE(errorOf(R"({"spec":"p","spec":"q","steps":[{"count":1}]})").find("twice"), std::string::npos);
    EXPECT_FALSE(errorOf("not json").empty());
    EXPECT_FALSE(errorOf("").empty());
}

// Guards against a submission whose decoded steps or values take many times the memory of its body.
TEST_F(PlatformFront, submissionOfTooManyStepsOrValuesIsRefused)
{
    std::string steps = "{}";
    std::string values = "0";
    for (std::size_t count = 0; count < maxWorkflowSteps; ++count) {
        steps += ",{}";
    }
    for (std::size_t count = 0; count < maxStrictJsonValues; ++count) {
        values += ",0";
    }
    EXPECT_NE(errorOf(R"({"spec":"p","steps":[)" + steps + "]}").find("steps"), std::string::npos);
    EXPECT_NE(errorOf(R"({"spec":"p","steps":[{}],"unknown":[)" + values + "]}").find("values"), std::string::npos);
}

// Guards against limits on steps and values that refuse the largest legal submission.
TEST_F(PlatformFront, submissionOfAllStepsThatDependOnAllEarlierOnesIsRead)
{
    std::string steps;
    std::string after;
    for (std::size_t number = 0; number < maxWorkflowSteps; ++number) {
        steps += (number > 0 ? "," : "")
                 + std::string{R"({"count":1,"cpu":1,"memMb":1,"gpu":1,"estimateMs":1,"savesProgress":true,"gang":true,"sameRack":true,)"}
                 + R"("requiredLabel":"l","affinity":"r","maxPerServer":1,"speculative":false,"longRunning":false,"image":"i","targetMs":1,"fills":false,)"
                 + R"("maxUnavailable":1,"after":[)" + after + "]}";
        after += (number > 0 ? "," : "") + std::to_string(number);
    }
    const auto read = readSubmission(R"({"spec":",[{","steps":[)" + steps + "]}");
    ASSERT_TRUE(read.ok()) << read.status().message();
    EXPECT_EQ(maxWorkflowSteps, read->steps.size());
    EXPECT_FALSE(findSpecificationError(*read));
}

TEST_F(PlatformFront, deeplyNestedBodyIsRefusedAndDoesNotExhaustTheStack)
{
    std::string body = R"({"spec":"p","steps":)";
    for (int depth = 0; depth < 200'000; ++depth) {
        body += '[';
    }
    EXPECT_NE(errorOf(body).find("nested objects or arrays"), std::string::npos);
}

TEST_F(PlatformFront, refusalsThatPromiseNoRunUseTheStatusesThatSaySo)
{
    // To callers, 429 and 503 mean that the work will never run, 502 and 504 that it may have been accepted.
    EXPECT_EQ(statusOf(RefusalReason::StoreUnavailable), 503);
    EXPECT_EQ(statusOf(RefusalReason::ShuttingDown), 503);
    EXPECT_EQ(statusOf(RefusalReason::Timeout), 504);
    EXPECT_EQ(statusOf(RefusalReason::NotFound), 410);
    EXPECT_EQ(statusOf(RefusalReason::UnknownQueue), 404);
    EXPECT_EQ(statusOf(RefusalReason::Unauthorised), 401);
    EXPECT_EQ(statusOf(RefusalReason::BadRequest), 400);
}

TEST_F(PlatformFront, answersCarryStateCountAndTimeToReturn)
{
    EXPECT_EQ(responseOf({CallId{1}, {}, WorkflowState::Running, {}}).body, R"({"state":"running"})");
    EXPECT_EQ(responseOf({CallId{1}, {}, {}, 12}).body, R"({"waiting":12})");
    const auto refused = responseOf({CallId{1}, Refusal{RefusalReason::StoreUnavailable, RequestEffect::NotRun, Duration{1'500}, "why"}, {}, {}});
    EXPECT_EQ(refused.retryAfter, Duration{1'500});
}

TEST_F(PlatformFront, numberOutOfRangeIsAnErrorOfTheBody)
{
    // Guards against an uncaught exception of the parser, which would end the process.
    EXPECT_FALSE(errorOf(R"({"spec":"p","steps":[{"count":1e999}]})").empty());
    EXPECT_FALSE(errorOf(R"({"spec":"p","steps":[{"count":99999999999999999999}]})").empty());
}

}
