#include "standins/keyvaluemodel.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct KeyValueModelChanges : testing::Test
{
    static TimePoint at(int milliseconds)
    {
        return TimePoint{Duration{milliseconds}};
    }

    absl::StatusOr<KeyValueAnswer> apply(const KeyValueRequest &request, int time = 0)
    {
        auto step = applyRequest(std::move(model), request, at(time));
        model = std::move(step.model);
        return step.answer;
    }

    /// Applies a request that must succeed.
    void expectApplied(const KeyValueRequest &request)
    {
        EXPECT_TRUE(apply(request).ok());
    }

    KeyValueRow row(const std::string &key)
    {
        const auto rows = apply(KeyValueRange{{key, ""}})->rows;
        return rows.empty() ? KeyValueRow{} : rows.front();
    }

    static KeyValueTransaction putIf(const std::string &key, long long modRevision, const std::string &value)
    {
        return {{{key, CompareTarget::ModRevision, CompareResult::Equal, modRevision, ""}}, {KeyValuePut{key, value}}, {KeyValueRange{{key, ""}}}};
    }

    KeyValueModel model;
};

TEST_F(KeyValueModelChanges, everyChangeRaisesTheRevision)
{
    expectApplied(KeyValuePut{"a", "1"});
    expectApplied(KeyValuePut{"a", "2"});
    EXPECT_EQ(row("a"), (KeyValueRow{"a", "2", 2, 3, 2, 0}));
    EXPECT_EQ(apply(KeyValueDelete{{"a", ""}})->count, 1);
    EXPECT_EQ(apply(KeyValueDelete{{"a", ""}})->revision, 4);
    expectApplied(KeyValuePut{"a", "3"});
    EXPECT_EQ(row("a"), (KeyValueRow{"a", "3", 5, 5, 1, 0}));
}

// Guards against two hosts that both succeed with the same compare-and-swap.
TEST_F(KeyValueModelChanges, staleModRevisionFailsTheTransaction)
{
    EXPECT_TRUE(apply(putIf("owner", 0, "a"))->hasSucceeded);
    const auto answer = apply(putIf("owner", 0, "b"));
    EXPECT_FALSE(answer->hasSucceeded);
    EXPECT_EQ(answer->answers.at(0).rows.at(0).value, "a");
    EXPECT_EQ(answer->revision, 2);
    EXPECT_TRUE(apply(putIf("owner", 2, "b"))->hasSucceeded);
}

TEST_F(KeyValueModelChanges, writesOfATransactionShareOneRevision)
{
    expectApplied(KeyValueTransaction{{}, {KeyValuePut{"a", "1"}, KeyValuePut{"b", "1"}, KeyValueDelete{{"c", ""}}}, {}});
    EXPECT_EQ(row("a").modRevision, 2);
    EXPECT_EQ(row("b").modRevision, 2);
}

TEST_F(KeyValueModelChanges, refusedTransactionChangesNothing)
{
    const auto before = model;
    EXPECT_FALSE(apply(KeyValueTransaction{{}, {KeyValuePut{"a", "1"}, KeyValuePut{"a", "2"}}, {}}).ok());
    EXPECT_FALSE(apply(KeyValueTransaction{{}, {KeyValuePut{"a", "1"}, KeyValuePut{"b", "2", 77}}, {}}).ok());
    EXPECT_FALSE(apply(KeyValueTransaction{{}, {KeyValuePut{"a", "1"}, KeyValueDelete{prefixSpan("a")}}, {}}).ok());
    EXPECT_FALSE(apply(KeyValueTransaction{{}, std::vector<KeyValueOperation>(129, KeyValueRange{}), {}}).ok());
    EXPECT_FALSE(apply(KeyValuePut{"a", std::string(1'048'577, 'x')}).ok());
    EXPECT_EQ(model, before);
}

TEST_F(KeyValueModelChanges, prefixRangeEndsBeforeTheNextPrefix)
{
    for (const auto *key : {"jobs", "jobs/", "jobs/a", "jobs/\xFF", "jobs0"}) {
        expectApplied(KeyValuePut{key, ""});
    }
    EXPECT_EQ(apply(KeyValueRange{prefixSpan("jobs/")})->count, 3);
    EXPECT_EQ(apply(KeyValueRange{prefixSpan("\xFF")})->count, 0);
    EXPECT_EQ(apply(KeyValueRange{prefixSpan("")})->count, 5);
    const auto limited = apply(KeyValueRange{prefixSpan("jobs/"), 2});
    EXPECT_EQ(limited->rows.size(), 2U);
    EXPECT_TRUE(limited->isTruncated);
}

struct KeyValueModelLease : KeyValueModelChanges
{
};

// Guards against a host record that stays after its host's lease has expired.
TEST_F(KeyValueModelLease, expiryDeletesItsKeysAtOneRevision)
{
    const auto id = apply(KeyValueLeaseGrant{0, Duration{1'000}})->lease;
    expectApplied(KeyValuePut{"hosts/a", "", id});
    expectApplied(KeyValuePut{"hosts/b", "", id});
    expectApplied(KeyValuePut{"hosts/b", "", 0});
    EXPECT_EQ(apply(KeyValueLeaseKeepAlive{id}, 900)->timeToLive, Duration{1'000});
    EXPECT_EQ(nextLeaseExpiry(model), at(1'900));
    model = expireLeases(std::move(model), at(1'899));
    EXPECT_EQ(model.rows.size(), 2U);
    model = expireLeases(std::move(model), at(1'900));
    EXPECT_FALSE(model.rows.contains("hosts/a"));
    EXPECT_TRUE(model.rows.contains("hosts/b"));
    EXPECT_EQ(model.revision, 5);
    EXPECT_EQ(apply(KeyValueLeaseKeepAlive{id}, 1'901)->timeToLive, Duration{0});
    EXPECT_FALSE(apply(KeyValueLeaseRevoke{id}, 1'901).ok());
}

struct KeyValueModelWatch : KeyValueModelChanges
{
};

// Guards against changes that are lost between a full read and the watch after it.
TEST_F(KeyValueModelWatch, fromARevisionSeesEveryLaterChangeOfItsSpan)
{
    expectApplied(KeyValuePut{"jobs/a", "1"});
    expectApplied(KeyValuePut{"config", "1"});
    expectApplied(KeyValuePut{"jobs/a", "2"});
    expectApplied(KeyValueDelete{prefixSpan("jobs/")});
    const auto changes = changesFrom(model, prefixSpan("jobs/"), 3);
    ASSERT_TRUE(changes.ok());
    ASSERT_EQ(changes->size(), 2U);
    EXPECT_EQ(changes->at(0), (KeyValueRow{"jobs/a", "2", 2, 4, 2, 0}));
    EXPECT_EQ(changes->at(1), (KeyValueRow{"jobs/a", "", 0, 5, 0, 0}));
    EXPECT_TRUE(changesFrom(model, prefixSpan("jobs/"), 6)->empty());
}

TEST_F(KeyValueModelWatch, fromACompactedRevisionIsRefused)
{
    expectApplied(KeyValuePut{"a", "1"});
    expectApplied(KeyValuePut{"a", "2"});
    EXPECT_TRUE(apply(KeyValueCompaction{3}).ok());
    EXPECT_EQ(changesFrom(model, {"a", ""}, 2).status().code(), absl::StatusCode::kOutOfRange);
    EXPECT_EQ(changesFrom(model, {"a", ""}, 3)->size(), 1U);
    EXPECT_FALSE(apply(KeyValueCompaction{3}).ok());
    EXPECT_FALSE(apply(KeyValueCompaction{4}).ok());
    EXPECT_EQ(row("a").value, "2");
}

}
