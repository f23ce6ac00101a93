#include "wire/hostlistjson.h"
#include "wire/jobjson.h"
#include "wire/jsonfields.h"
#include "wire/targetjson.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

namespace
{

JobSpecification fullSpecification()
{
    return {.id = {{"kask"}, {"r 1/\"ä\""}},
            .team = {"profiles"},
            .jobClass = JobClass::Patient,
            .taskCount = 16,
            .acceleratorsPerTask = 0,
            .adjacency = Adjacency::Rack,
            .milliCpuPerTask = 1500,
            .memoryMbPerTask = 2048,
            .isIdempotent = true,
            .isCheckpointable = true,
            .declaredRunTime = Duration{90'061},
            .deadline = WallTime{Duration{1'796'380'381'123}},
            .payload = R"({"runMs": 500, "outcome": "fail"})"};
}

Job fullJob(JobState state)
{
    return {.specification = fullSpecification(),
            .availabilityZone = {"harju-1"},
            .state = state,
            .attemptCount = 3,
            .mayHaveStarted = true,
            .isCancelRequested = true,
            .attemptOwner = {"entry-2"},
            .acceptedAt = WallTime{Duration{1}},
            .startedAt = WallTime{Duration{2}},
            .finishedAt = WallTime{Duration{3}},
            .checkpointedWork = Duration{4},
            .result = "done\n",
            .explanation = "placed on rack r1",
            .held = {{1, 8, WallTime{Duration{5}}, WallTime{Duration{6}}, true, Duration{7}}, {}},
            .revision = 1LL << 60};
}

}

struct JobJson : testing::Test
{
    /// Returns the error message for a valid specification in which one field is replaced.
    static std::string errorAfter(const std::string &field, const nlohmann::json &value)
    {
        auto json = toJson(fullSpecification());
        json[field] = value;
        return std::string{jobSpecificationFromJson(json).status().message()};
    }
};

// Guards against a field that the encoder or the decoder leaves out, which would be lost at the next restart.
TEST_F(JobJson, everyJobStateSurvivesTheRoundTrip)
{
    for (int number = 0; number <= static_cast<int>(JobState::Unknown); ++number) {
        const auto job = fullJob(static_cast<JobState>(number));
        const auto parsed = parseJson(toText(toJson(job)), "job");
        ASSERT_TRUE(parsed.ok());
        const auto read = jobFromJson(*parsed);
        ASSERT_TRUE(read.ok()) << read.status();
        EXPECT_EQ(*read, job);
    }
}

TEST_F(JobJson, absentOptionalFieldsKeepTheirDefaults)
{
    JobSpecification expected;
    expected.id.request = {"r1"};
    const auto read = jobSpecificationFromJson({{"requestId", "r1"}});
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(*read, expected);
    EXPECT_EQ(*jobSpecificationFromJson(toJson(expected)), expected);
}

// Guards against ignoring a misspelt field, so that a job runs with a default that its caller did not choose.
TEST_F(JobJson, errorNamesTheField)
{
    EXPECT_EQ(errorAfter("idempotentt", true), "specification.idempotentt: is not a known field");
    EXPECT_EQ(errorAfter("idempotent", 1), "specification.idempotent: must be true or false");
    EXPECT_EQ(errorAfter("payload", nullptr), "specification.payload: must be a string");
    EXPECT_EQ(errorAfter("class", "fast"), "specification.class: has the unknown value \"fast\"");
    EXPECT_EQ(errorAfter("tasks", 0), "specification.tasks: must be an integer from 1 to 2147483647");
    EXPECT_EQ(errorAfter("tasks", 1ULL << 40), "specification.tasks: must be an integer from 1 to 2147483647");
    EXPECT_EQ(errorAfter("tasks", 1.5), "specification.tasks: must be an integer from 1 to 2147483647");
    EXPECT_EQ(errorAfter("declaredRunTimeMs", -1), "specification.declaredRunTimeMs: must be an integer from 0 to 3162240000000");
    auto job = toJson(fullJob(JobState::Running));
    job["held"][1]["from"] = 3;
    EXPECT_EQ(jobFromJson(job).status().message(), "job.held[1].from: is not a known field");
    job["specification"].erase("requestId");
    EXPECT_EQ(jobFromJson(job).status().message(), "job.specification.requestId: is missing");
    EXPECT_EQ(jobFromJson(nlohmann::json::array()).status().message(), "job: must be an object");
}

TEST_F(JobJson, everyRefusalSurvivesTheRoundTrip)
{
    for (int number = 0; number <= static_cast<int>(RefusalReason::Internal); ++number) {
        for (const auto run : {RequestEffect::NotRun, RequestEffect::Unknown}) {
            const Refusal refusal{static_cast<RefusalReason>(number), run, Duration{250}, "store is unavailable"};
            const auto read = refusalFromJson(toJson(refusal));
            ASSERT_TRUE(read.ok()) << read.status();
            EXPECT_EQ(*read, refusal);
        }
    }
}

struct HostListJson : testing::Test
{
};

TEST_F(HostListJson, bothKindsSurviveTheRoundTrip)
{
    const std::vector<ListedHost> hosts{{ListedKind::EntryHost, "e1", {""}, {"z1"}, "127.0.0.1:1", 0, 0, 0, true},
                                        {ListedKind::Target, "t1", {"r1"}, {"z1"}, "127.0.0.1:2/t1", 8, 32'000, 131'072, false}};
    const auto read = hostListFromJson(hostListToJson(hosts));
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(*read, hosts);
}

struct TargetJson : testing::Test
{
    const AttemptId attempt{{{"kask"}, {"r1"}}, 2};
};

TEST_F(TargetJson, everyCallSurvivesTheRoundTrip)
{
    const std::vector<TargetRequest> requests{LeaseTarget{Duration{6'000}, Duration{2'000}, {attempt, attempt}, 7},
                                              ReleaseTarget{},
                                              ReserveTask{attempt, 255, 0xFFFFFFFF, 4'000, 512, Duration{2'000}},
                                              StartTask{attempt, 1, fullSpecification(), Duration{77}},
                                              StopTask{attempt, 1, true},
                                              ThrottleTask{attempt, 1, 25}};
    ASSERT_EQ(requests.size(), std::variant_size_v<TargetRequest>);
    for (const auto &request : requests) {
        TargetCall call{CallId{~0ULL}, {"t1"}, "", {"entry-1"}, 1LL << 40, request};
        const auto encoded = encodeTargetCall(call);
        const auto read = decodeTargetCall(encoded.path, encoded.body);
        ASSERT_TRUE(read.ok()) << read.status();
        EXPECT_EQ(*read, call) << encoded.body;
    }
}

TEST_F(TargetJson, everyReplySurvivesTheRoundTrip)
{
    TargetReply reply{CallId{9}, {"t1"}, TargetOutcome::Refused, "held by entry-2", std::nullopt};
    EXPECT_EQ(*decodeTargetReply(encodeTargetReply(reply)), reply);
    reply.report = TargetReport{{"entry-2"}, 12, Duration{5'900}, true, {}, 9, true};
    for (const auto state : {TaskState::Reserved, TaskState::Running, TaskState::Finished, TaskState::Failed, TaskState::Stopped}) {
        reply.report->tasks.push_back({attempt, 3, state, 0xF0, Duration{8}, "result", fullSpecification()});
    }
    reply.report->tasks.back().specification = std::nullopt;
    for (const auto outcome : {TargetOutcome::Accepted, TargetOutcome::Refused, TargetOutcome::NotSent, TargetOutcome::Unknown}) {
        reply.outcome = outcome;
        const auto read = decodeTargetReply(encodeTargetReply(reply));
        ASSERT_TRUE(read.ok()) << read.status();
        EXPECT_EQ(*read, reply);
    }
}

TEST_F(TargetJson, malformedTextIsAnError)
{
    EXPECT_EQ(decodeTargetCall("/v1/stop", "{\"host\": ").status().message(), "targetCall: not valid JSON at byte 10");
    EXPECT_EQ(decodeTargetCall("/v1/halt", "{}").status().message(), "targetCall: unknown path /v1/halt");
    EXPECT_EQ(decodeTargetCall("/v1/stop", R"({"epoch": 1})").status().message(), "targetCall.host: is missing");
    EXPECT_EQ(decodeTargetReply(R"({"outcome": "ok"})").status().message(), "targetReply.outcome: has the unknown value \"ok\"");
}

}
