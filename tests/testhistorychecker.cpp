#include "tools/historychecker.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace sequoiastand
{

/// Histories that are right but for one fault; each fault must be found, and only that one.
struct HistoryChecker : testing::Test
{
    HistoryChecker()
    {
        gang.id = {{"kask"}, {"gang"}};
        gang.taskCount = 2;
        add(0, JobSent{{1}, gang});
        add(10, CallAnswered{{1}, gang.id, std::nullopt});
    }

    void add(int milliseconds, HistoryChange change)
    {
        history.push_back({TimePoint{Duration{milliseconds}}, std::move(change)});
    }

    void start(int milliseconds, int member, int attempt = 1)
    {
        add(milliseconds, TaskStarted{{gang.id, attempt}, member, {"t1"}, {"a"}});
    }

    std::vector<int> broken() const
    {
        std::vector<int> invariants;
        std::ranges::transform(checkHistory(history), std::back_inserter(invariants), &HistoryViolation::invariant);
        return invariants;
    }

    JobSpecification gang;
    std::vector<HistoryEvent> history;
};

TEST_F(HistoryChecker, rightHistoryIsAccepted)
{
    start(100, 0);
    start(120, 1);
    add(5'000, TaskEnded{{gang.id, 1}, 0});
    add(60'000, TaskEnded{{gang.id, 1}, 1});
    add(61'000, ConfigurationApplied{{"a1"}, 2});
    EXPECT_EQ(broken(), std::vector<int>{});
}

TEST_F(HistoryChecker, secondRunOfANotIdempotentJobIsFound)
{
    start(100, 0);
    start(120, 1);
    start(9'000, 0, 2);
    start(9'010, 1, 2);
    EXPECT_EQ(broken(), (std::vector<int>{6, 6}));
}

TEST_F(HistoryChecker, partOfAGangThatKeepsRunningIsFound)
{
    start(100, 0);
    add(20'000, ConfigurationApplied{{"a1"}, 1});
    EXPECT_EQ(broken(), std::vector<int>{2});
}

TEST_F(HistoryChecker, partOfAGangThatIsStoppedInTimeIsAccepted)
{
    start(100, 0);
    add(2'000, TaskEnded{{gang.id, 1}, 0});
    add(20'000, ConfigurationApplied{{"a1"}, 1});
    EXPECT_EQ(broken(), std::vector<int>{});
}

TEST_F(HistoryChecker, startInAZoneThatIsOutIsFoundAfterTheBoundOnly)
{
    add(50, ZoneChanged{{"a"}, true});
    start(3'050, 0);
    start(3'051, 1);
    EXPECT_EQ(broken(), std::vector<int>{3});
}

TEST_F(HistoryChecker, startOnALeavingTargetIsFound)
{
    add(50, TargetLeaving{{"t1"}});
    start(100, 0);
    start(9'000, 1);
    EXPECT_EQ(broken(), std::vector<int>{7});
}

TEST_F(HistoryChecker, missingDoubledAndMixedUpAnswersAreFound)
{
    add(20, JobSent{{2}, gang});
    add(30, CallAnswered{{1}, gang.id, std::nullopt});
    add(40, JobSent{{3}, gang});
    add(50, CallAnswered{{3}, {{"kask"}, {"other"}}, std::nullopt});
    EXPECT_EQ(broken(), (std::vector<int>{4, 4, 4}));
}

TEST_F(HistoryChecker, runOfAJobThatWasRefusedAsNotRunIsFound)
{
    JobSpecification refused;
    refused.id = {{"kask"}, {"refused"}};
    add(20, JobSent{{2}, refused});
    add(30, CallAnswered{{2}, refused.id, Refusal{RefusalReason::StoreUnavailable, RequestEffect::NotRun}});
    add(40, TaskStarted{{refused.id, 1}, 0, {"t1"}, {"a"}});
    EXPECT_EQ(broken(), std::vector<int>{5});
}

TEST_F(HistoryChecker, configurationThatRevertsIsFound)
{
    add(50, ConfigurationApplied{{"a1"}, 5});
    add(60, ConfigurationApplied{{"a2"}, 4});
    add(70, ConfigurationApplied{{"a1"}, 4});
    EXPECT_EQ(broken(), std::vector<int>{9});
}

}
