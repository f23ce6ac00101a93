#include "query/grammar.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct Grammar : testing::Test
{
    template<typename Kind>
    static Kind parsed(std::string_view text)
    {
        const auto result = parseStatement(text);
        if (const auto *fault = std::get_if<SyntaxError>(&result)) {
            ADD_FAILURE() << text << "\nat " << fault->offset << " expected " << fault->expected << ", found " << fault->found;
            return {};
        }
        return std::get<Kind>(std::get<Statement>(result));
    }

    static SyntaxError fault(std::string_view text)
    {
        const auto result = parseStatement(text);
        return std::holds_alternative<SyntaxError>(result) ? std::get<SyntaxError>(result) : SyntaxError{0, "nothing", ""};
    }
};

TEST_F(Grammar, createTakesSettingsAndOptionsInAnyOrder)
{
    const auto statement = parsed<ConfigureStatement>("CREATE guarantee g1 in harju-1 for kask dry run # note\n accelerators 8 workers 4 count 2 racks 1 "
                                                      "expecting version 12 command id \"a-1\" wait 10s");
    EXPECT_EQ(statement, (ConfigureStatement{true, GuaranteeChange{"g1", "kask", "harju-1", 8, 4, 1, 2}, {true, 12, "a-1", Duration{10'000}}}));
    EXPECT_EQ(parsed<ConfigureStatement>("create zone z notice 1h 30min isolated starts 0s region r"),
              (ConfigureStatement{true, ZoneChange{"z", "r", std::nullopt, Duration{5'400'000}, Duration{0}}, {}}));
    EXPECT_EQ(parsed<ConfigureStatement>("change operator anna role viewer token hash \"ab\""),
              (ConfigureStatement{false, OperatorChange{"anna", OperatorRole::Viewer, "ab"}, {}}));
}

TEST_F(Grammar, drainsAndHoldsAreTyped)
{
    ZoneChange out{.id = "harju-1", .isOut = true, .leaveNotice = Duration{30'000}};
    EXPECT_EQ(parsed<ConfigureStatement>("drain zone harju-1 notice 30s"), (ConfigureStatement{false, out, {}}));
    EXPECT_EQ(parsed<DrainStatement>("return target t.9 dry run"), (DrainStatement{true, {DrainScope::Target, "t.9"}, {.isDryRun = true}}));
    EXPECT_FALSE(parsed<HoldStatement>("release starts").isHeld);
    EXPECT_EQ(parsed<DeclareDeadStatement>("declare zone z dead").availabilityZone.value, "z");
    EXPECT_EQ(parsed<RemoveStatement>("remove zone z").path, "availabilityZone/z");
}

TEST_F(Grammar, submitFillsTheSpecification)
{
    const auto statement =
        parsed<SubmitStatement>("submit job kask/order-7.2 team profiles class urgent tasks 4 accelerators 8 adjacency rack cpu 1500 memory 2048 "
                                "idempotent checkpointable run time 2h deadline 2026-12-04T10:42 payload \"{\\\"a\\\": 1}\"");
    const auto &specification = statement.specification;
    EXPECT_EQ(toString(specification.id), "kask/order-7.2");
    EXPECT_EQ(specification.payload, "{\"a\": 1}");
    EXPECT_EQ(specification.declaredRunTime, Duration{7'200'000});
    EXPECT_EQ(specification.deadline, WallTime{std::chrono::sys_days{std::chrono::year{2026} / 12 / 4}} + Duration{38'520'000});
    EXPECT_TRUE(specification.isIdempotent && specification.isCheckpointable);
}

TEST_F(Grammar, queryKeepsValuesTypedAndColumnsPlaced)
{
    const auto statement = parsed<QueryStatement>("show jobs where state in (waiting, \"running\") and tasks >= 4 and wait > 10min and accepted < 2h ago "
                                                  "since 2026-11-01 group by team, class order by count descending limit 5");
    ASSERT_EQ(statement.conditions.size(), 4U);
    EXPECT_EQ(statement.conditions[0], (Condition{{"state", 16}, Comparison::In, {std::string{"waiting"}, std::string{"running"}}}));
    EXPECT_EQ(statement.conditions[1].values, (std::vector<QueryValue>{4LL}));
    EXPECT_EQ(statement.conditions[2].values, (std::vector<QueryValue>{Duration{600'000}}));
    EXPECT_EQ(statement.conditions[3].values, (std::vector<QueryValue>{TimeExpression{std::nullopt, Duration{7'200'000}}}));
    EXPECT_EQ(statement.groupBy.size(), 2U);
    EXPECT_TRUE(statement.orderBy.at(0).isDescending);
    EXPECT_EQ(statement.limit, 5);
}

TEST_F(Grammar, reviewOfAMonthCoversItWhole)
{
    const auto statement = parsed<ReviewStatement>("review month 2026-12 organisation kask as html");
    EXPECT_EQ(statement.from->at, WallTime{std::chrono::sys_days{std::chrono::year{2026} / 12 / 1}});
    EXPECT_EQ(statement.until->at, WallTime{std::chrono::sys_days{std::chrono::year{2027} / 1 / 1}});
    EXPECT_TRUE(statement.isHtml);
}

// Guards against a fault that points elsewhere than at the wrong word or names nothing that could stand there.
TEST_F(Grammar, wrongWordIsAnsweredWithPlaceAndExpectation)
{
    EXPECT_EQ(fault("creat zone z").found, "\"creat\"");
    EXPECT_EQ(fault("create zon z"), (SyntaxError{7, "organisation, guarantee, zone, team or operator", "\"zon\""}));
    EXPECT_EQ(fault("create team a quota many"), (SyntaxError{20, "a whole number", "\"many\""}));
    EXPECT_EQ(fault("create team a quota 99999999999").offset, 20U);
    EXPECT_EQ(fault("drain rack r1  noticed 3s"), (SyntaxError{15, "dry run, expecting version, command id, wait or ;", "\"noticed\""}));
    EXPECT_EQ(fault("show jobs where state ~ x"), (SyntaxError{22, "=, !=, <, <=, >, >=, contains or in", "\"~\""}));
    EXPECT_EQ(fault("show jobs since 2026-02-30").expected, "a time such as 2026-11-30, 2026-11-30T09:15 or 2h ago");
    EXPECT_EQ(fault("explain job kask"), (SyntaxError{12, "a job as ORGANISATION/REQUEST", "\"kask\""}));
    EXPECT_EQ(fault("cancel job"), (SyntaxError{10, "a job as ORGANISATION/REQUEST", "the end of the statement"}));
    EXPECT_EQ(fault("submit job kask/r1 tasks -4").expected, "a whole number");
    EXPECT_EQ(fault("create zone \"a/b\"").expected, "a name of 1 to 128 letters, digits, dots, hyphens or underscores");
    EXPECT_EQ(fault("drain rack r1 command id \"a/b\"").offset, 25U);
    EXPECT_EQ(fault("").expected.substr(0, 12), "a statement:");
}

}
