#include "core/step.h"
#include "query/script.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct Script : testing::Test
{
    Blackboard board = makeBlackboard({.id = {"e1"}, .availabilityZone = {"harju-1"}}, TimePoint{Duration{60'000}}, WallTime{Duration{1'796'380'000'000}});
    ScriptRequest request{{{"anna"}, OperatorRole::Administrator, ""}, "", ResultFormat::Table, {"c"}, Duration{5'000}, false};

    Script()
    {
        board.configuration.version = 7;
        for (const ConfigurationItem &item : std::vector<ConfigurationItem>{Organisation{{"kask"}, 100, std::string(64, 'a')},
                                                                            AvailabilityZone{{"harju-1"}, "harju"},
                                                                            Guarantee{"g1", {"kask"}, {"harju-1"}, {8, 2, 1, 1}}}) {
            board.configuration = withItem(board.configuration, item);
        }
    }

    void addJob(const std::string &requestId, JobState state, int tasks, const std::string &team)
    {
        Job job;
        job.specification.id = {{"kask"}, {requestId}};
        job.specification.team = {team};
        job.specification.taskCount = tasks;
        job.state = state;
        job.acceptedAt = board.wallNow - Duration{3'600'000} * tasks;
        board.jobs.put(job.specification.id, job);
    }

    ScriptStep run(const std::string &text)
    {
        request.text = text;
        return continueScript(beginScript(request), board, CallId{9});
    }

    /// Answer of a script that needs no reply of the core and no store reads.
    std::string answer(const std::string &text)
    {
        const auto step = run(text);
        const auto *done = std::get_if<ScriptAnswer>(&step.action);
        return done == nullptr ? "unfinished" : done->text;
    }

    template<typename Request>
    Request posted(const std::string &text)
    {
        const auto step = run(text);
        const auto *post = std::get_if<PostEvent>(&step.action);
        if (post == nullptr) {
            ADD_FAILURE() << std::get<ScriptAnswer>(step.action).text;
            return {};
        }
        return std::get<Request>(post->event);
    }
};

TEST_F(Script, commandBecomesTheTypedEvent)
{
    const auto zone = posted<CommandRequest>("drain zone harju-1 notice 30s");
    EXPECT_EQ(zone.edits, (std::vector<ConfigurationEdit>{{AvailabilityZone{{"harju-1"}, "harju", true, Duration{30'000}}, ""}}));
    EXPECT_EQ(zone.command.value, "c-1");
    EXPECT_EQ(zone.statement, "drain zone harju-1 notice 30s");
    EXPECT_EQ(posted<CommandRequest>("remove guarantee g1 command id \"x\"").edits, (std::vector<ConfigurationEdit>{{std::nullopt, "guarantee/g1"}}));
    EXPECT_EQ(posted<CancelRequest>("cancel job kask/r1"), (CancelRequest{CallId{9}, {{"kask"}, {"r1"}}}));
    EXPECT_EQ(posted<SubmitRequest>("submit job kask/r1 tasks 2 deadline 1h").specification.deadline, board.wallNow + Duration{3'600'000});
    EXPECT_EQ(posted<HoldRequest>("hold starts"), (HoldRequest{CallId{9}, {"anna"}, true}));
    EXPECT_TRUE(std::get<AvailabilityZone>(*posted<CommandRequest>("declare zone harju-1 dead").edits.at(0).item).isDeclaredDead);
}

// Guards against a lost update: a change must not undo what another operator has changed since the item was read.
TEST_F(Script, changeOfAnItemExpectsTheVersionItWasReadFrom)
{
    const auto change = posted<CommandRequest>("change organisation kask waiting 5");
    EXPECT_EQ(change.expectedVersion, 7);
    EXPECT_EQ(std::get<Organisation>(*change.edits.at(0).item), (Organisation{{"kask"}, 5, std::string(64, 'a')}));
}

// Guards against refusing a retry as a different command because its edits were computed from the newer configuration.
TEST_F(Script, knownCommandIsSentAgainUnchanged)
{
    const auto first = posted<CommandRequest>("change organisation kask waiting 5 command id \"k\"");
    board.commands.put(first.command, CommandProgress{first});
    board.configuration = withItem(board.configuration, *first.edits.at(0).item);
    board.configuration.version = 8;
    EXPECT_EQ(posted<CommandRequest>("change organisation kask waiting 5 command id \"k\""), first);
}

TEST_F(Script, roleLimitsWhatMayBeRun)
{
    request.account.role = OperatorRole::Submitter;
    EXPECT_EQ(answer("drain rack r1"), "refused: unauthorised: operator anna needs the role administrator\n");
    EXPECT_EQ(posted<CancelRequest>("cancel job kask/r1").id, CallId{9});
    request.account.role = OperatorRole::Viewer;
    EXPECT_EQ(answer("cancel job kask/r1"), "refused: unauthorised: operator anna needs the role submitter\n");
    EXPECT_EQ(answer("show drains"), "drains\nscope  name\n(0 rows)\n");
}

TEST_F(Script, queryFiltersGroupsSortsAndLimits)
{
    addJob("r1", JobState::Waiting, 4, "b");
    addJob("r2", JobState::Running, 1, "a");
    addJob("r3", JobState::Waiting, 2, "b");
    request.format = ResultFormat::Csv;
    EXPECT_EQ(answer("show jobs where state = waiting group by team"), "team,count,tasks,accelerators,attempts,wait\r\nb,2,6,6,0,21600000\r\n");
    EXPECT_EQ(answer("show jobs since 3h ago group by job order by job descending limit 1").substr(0, 70),
              "job,count,tasks,accelerators,attempts,wait\r\nkask/r3,1,2,2,0,7200000\r\n");
    EXPECT_EQ(answer("show jobs where tasks > 1 and team in (a)  group by state"), "state,count\r\n");
    EXPECT_NE(answer("show configuration").find("kask"), std::string::npos);
    EXPECT_EQ(answer("show configuration").find("aaaa"), std::string::npos);
}

TEST_F(Script, unknownColumnIsReportedWithItsPosition)
{
    const auto text = answer("# drains\nshow drains\n  where nam = x");
    EXPECT_EQ(text, "refused: badRequest: line 3, column 9: expected a column: scope, name; found \"nam\"\n");
}

// Guards against a script that is partly executed before a syntax error in a later statement stops it.
TEST_F(Script, syntaxErrorStopsBeforeTheFirstStatement)
{
    const auto step = run("drain rack r1; # \"quoted; comment\"\n\nshow drans;");
    EXPECT_EQ(std::get<ScriptAnswer>(step.action).text.substr(0, 47), "refused: badRequest: line 3, column 6: expected");
    EXPECT_EQ(std::get<ScriptAnswer>(step.action).failure->run, RequestEffect::NotRun);
}

TEST_F(Script, failingStatementStopsTheScriptUnlessItContinuesOnFailure)
{
    const std::string script = "remove team a;\nsubmit job nobody/r1 payload \"b;c\";\nshow drains";
    EXPECT_EQ(answer(script), "refused: notFound: line 1: team/a does not exist\n2 statements were not run\n");
    const auto text = answer("on failure continue; " + script);
    EXPECT_NE(text.find("line 2: organisation nobody does not exist"), std::string::npos);
    EXPECT_NE(text.find("(0 rows)"), std::string::npos);
}

TEST_F(Script, replyOfTheCoreContinuesTheScript)
{
    auto step = run("drain rack r1; show drains");
    step = continueScript(withReply(step.run, {CallId{9}, std::nullopt, std::nullopt, "in force: version 8", true}), board, CallId{10});
    EXPECT_EQ(std::get<ScriptAnswer>(step.action).text, "in force: version 8\n\ndrains\nscope  name\n(0 rows)\n");
    step = run("drain rack r1; show drains");
    const Refusal refusal{RefusalReason::VersionConflict, RequestEffect::NotRun, Duration{0}, "expected version 7"};
    step = continueScript(withReply(step.run, {CallId{9}, refusal}), board, CallId{10});
    EXPECT_EQ(std::get<ScriptAnswer>(step.action).failure->reason, RefusalReason::VersionConflict);
}

TEST_F(Script, historyIsReadFromTheStoreAndAGapIsReported)
{
    board.recentChanges[7] = {7, {"anna"}, {"c"}, board.wallNow, "drain rack r1"};
    auto step = run("show history order by version descending");
    const auto &reads = std::get<StoreReads>(step.action);
    ASSERT_EQ(reads.ranges.size(), 1U);
    const ConfigurationChange firstChange{1, {"bob"}, {"d"}, board.wallNow, "create zone z"};
    const auto read = continueScript(withReads(step.run, {{reads.ranges[0], {{configurationHistoryKey(1), firstChange, 3}}, ""}}), board, CallId{9});
    EXPECT_NE(std::get<ScriptAnswer>(read.action).text.find("create zone z\n(2 rows)"), std::string::npos);
    const auto unread = continueScript(withReads(step.run, {{reads.ranges[0], {}, "timeout"}}), board, CallId{9});
    EXPECT_NE(std::get<ScriptAnswer>(unread.action).text.find("could not be read (timeout)"), std::string::npos);
}

}
