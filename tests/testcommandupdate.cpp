#include "fakecluster.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiastand
{

struct CommandUpdate : testing::Test
{
    CommandUpdate()
    {
        addHost(cluster, "a1", "a");
        addHost(cluster, "b1", "b");
        putConfiguration(cluster.store, 1, {zone("a", false), zone("b", false)}, cluster.now);
        run(cluster, Duration{2'000});
    }

    static AvailabilityZone zone(const std::string &id, bool isOut)
    {
        AvailabilityZone value;
        value.id = AvailabilityZoneId{id};
        value.isOut = isOut;
        return value;
    }

    static CommandRequest request(unsigned long long call, const std::string &command, const ConfigurationItem &item, Duration wait = Duration{10'000})
    {
        CommandRequest value;
        value.id = CallId{call};
        value.command = CommandId{command};
        value.operatorId = OperatorId{"ada"};
        value.edits = {ConfigurationEdit{item, ""}};
        value.statement = "statement of " + command;
        value.wait = wait;
        return value;
    }

    FakeCluster cluster;
};

TEST_F(CommandUpdate, changeIsInForceOnceAllHostsConfirmed)
{
    post(cluster, "a1", request(901, "c1", zone("b", true)));
    const TimePoint sent = cluster.now;
    ASSERT_TRUE(runUntil(cluster, Duration{5'000}, [this] { return replyTo(cluster, CallId{901}).has_value(); }));
    const auto reply = replyTo(cluster, CallId{901});
    EXPECT_EQ(reply->text, "in force: version 2");
    EXPECT_TRUE(reply->isInForce);
    EXPECT_LT(cluster.now - sent, Duration{2'000});
    EXPECT_TRUE(isZoneOut(boardOf(cluster, "b1").configuration, AvailabilityZoneId{"b"}));
    EXPECT_TRUE(cluster.store.rows.contains(configurationHistoryKey(2)));
}

TEST_F(CommandUpdate, dryRunChangesNothing)
{
    auto dryRun = request(901, "c1", zone("b", true));
    dryRun.isDryRun = true;
    post(cluster, "a1", dryRun);
    run(cluster, Duration{1'000});
    EXPECT_EQ(replyTo(cluster, CallId{901})->text, "dry run: would change 1 items and make version 2");
    EXPECT_EQ(boardOf(cluster, "a1").configuration.version, 1);
}

TEST_F(CommandUpdate, commandSentTwiceToOneHostIsAppliedOnce)
{
    post(cluster, "a1", request(901, "c1", zone("b", true)));
    post(cluster, "a1", request(902, "c1", zone("b", true)));
    run(cluster, Duration{4'000});
    post(cluster, "a1", request(903, "c1", zone("b", true)));
    run(cluster, Duration{1'000});
    for (const auto call : {901, 902, 903}) {
        EXPECT_EQ(replyTo(cluster, CallId{static_cast<unsigned long long>(call)})->text, "in force: version 2");
    }
    EXPECT_EQ(boardOf(cluster, "a1").configuration.version, 2);
}

// Guards against applying a command twice when the operator sends it again to another host.
TEST_F(CommandUpdate, commandSentAgainToAnotherHostIsAppliedOnce)
{
    post(cluster, "a1", request(901, "c1", zone("b", true)));
    run(cluster, Duration{4'000});
    post(cluster, "a1", request(902, "c2", zone("a", true)));
    run(cluster, Duration{4'000});
    post(cluster, "b1", request(903, "c1", zone("b", true)));
    run(cluster, Duration{4'000});
    EXPECT_EQ(replyTo(cluster, CallId{903})->text, "in force: version 2");
    EXPECT_EQ(boardOf(cluster, "a1").configuration.version, 3);
}

TEST_F(CommandUpdate, reusedCommandIdWithOtherContentIsRefused)
{
    post(cluster, "a1", request(901, "c1", zone("b", true)));
    post(cluster, "a1", request(902, "c1", zone("a", true)));
    run(cluster, Duration{1'000});
    EXPECT_EQ(replyTo(cluster, CallId{902})->refusal->reason, RefusalReason::RequestIdReused);
}

TEST_F(CommandUpdate, concurrentOperatorGetsConflictWithAuthorAndStatement)
{
    post(cluster, "a1", request(901, "c1", zone("b", true)));
    auto second = request(902, "c2", zone("b", false));
    second.operatorId = OperatorId{"bo"};
    post(cluster, "b1", second);
    run(cluster, Duration{5'000});
    EXPECT_EQ(replyTo(cluster, CallId{901})->text, "in force: version 2");
    const auto refusal = replyTo(cluster, CallId{902})->refusal;
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, RefusalReason::VersionConflict);
    EXPECT_EQ(refusal->run, RequestEffect::NotRun);
    EXPECT_EQ(refusal->message, "expected version 1, present version 2; version 2 by ada: statement of c1");
}

TEST_F(CommandUpdate, outdatedExpectedVersionIsRefused)
{
    post(cluster, "a1", request(901, "c1", zone("b", true)));
    run(cluster, Duration{3'000});
    auto second = request(902, "c2", zone("a", true));
    second.expectedVersion = 1;
    post(cluster, "b1", second);
    run(cluster, Duration{1'000});
    EXPECT_EQ(replyTo(cluster, CallId{902})->refusal->message, "expected version 1, present version 2; version 2 by ada: statement of c1");
}

TEST_F(CommandUpdate, unknownReferenceIsRefused)
{
    Guarantee guarantee;
    guarantee.id = "g1";
    guarantee.organisation = OrganisationId{"kask"};
    guarantee.availabilityZone = AvailabilityZoneId{"a"};
    post(cluster, "a1", request(901, "c1", guarantee));
    run(cluster, Duration{1'000});
    EXPECT_EQ(replyTo(cluster, CallId{901})->refusal->message, "guarantee/g1: organisation \"kask\" does not exist");
}

// Guards against a second change and against a false refusal if the answer of the store is lost after the write was applied.
TEST_F(CommandUpdate, commandWithLostStoreAnswerIsReadBackAndInForce)
{
    cluster.store.faults.answersToLose = 1;
    post(cluster, "a1", request(901, "c1", zone("b", true)));
    run(cluster, Duration{5'000});
    EXPECT_EQ(replyTo(cluster, CallId{901})->text, "in force: version 2");
    EXPECT_EQ(cluster.store.appliedWrites[configurationVersionKey()], 2);
}

TEST_F(CommandUpdate, commandIsRefusedAsNotRunWhileStoreIsDown)
{
    cluster.store.faults.isDown = true;
    run(cluster, Duration{2'000});
    post(cluster, "a1", request(901, "c1", zone("b", true), Duration{1'000}));
    run(cluster, Duration{10'000});
    const auto refusal = replyTo(cluster, CallId{901})->refusal;
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, RefusalReason::StoreUnavailable);
    EXPECT_EQ(refusal->run, RequestEffect::NotRun);
    cluster.store.faults.isDown = false;
    run(cluster, Duration{20'000});
    EXPECT_EQ(boardOf(cluster, "a1").configuration.version, 1);
}

// Guards against the answer "not run" for a change that the store may have applied.
TEST_F(CommandUpdate, unknownOutcomeIsReportedAndCommandCanBeSentAgain)
{
    cluster.store.faults.answersToLose = 1;
    post(cluster, "a1", request(901, "c1", zone("b", true), Duration{1'000}));
    ASSERT_TRUE(runUntil(cluster, Duration{1'000}, [this] { return cluster.store.rows.contains(configurationHistoryKey(2)); }));
    cluster.store.faults.isDown = true;
    run(cluster, Duration{10'000});
    const auto refusal = replyTo(cluster, CallId{901})->refusal;
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->run, RequestEffect::Unknown);
    cluster.store.faults.isDown = false;
    post(cluster, "a1", request(902, "c1", zone("b", true)));
    run(cluster, Duration{12'000});
    EXPECT_EQ(replyTo(cluster, CallId{902})->text, "in force: version 2");
}

// Guards invariant 3: a change must not be reported as in force while a host of the zone may still start work.
TEST_F(CommandUpdate, drainOfUnreachableZoneIsPendingUntilItsPermitsExpired)
{
    cluster.store.faults.cutOff.insert(HostId{"b1"});
    setCut(cluster, "a1", "b1", true);
    run(cluster, Duration{500});
    post(cluster, "a1", request(901, "c1", zone("b", true), Duration{0}));
    post(cluster, "a1", request(902, "c1", zone("b", true), Duration{10'000}));
    run(cluster, Duration{200});
    ASSERT_TRUE(replyTo(cluster, CallId{901}));
    EXPECT_FALSE(replyTo(cluster, CallId{901})->isInForce);
    EXPECT_THAT(*replyTo(cluster, CallId{901})->text, testing::StartsWith("pending: version 2: zone b has not confirmed, last contact "));
    EXPECT_THAT(*replyTo(cluster, CallId{901})->text, testing::HasSubstr("in force at the latest at "));
    ASSERT_TRUE(runUntil(cluster, Duration{6'000}, [this] { return replyTo(cluster, CallId{902}).has_value(); }));
    EXPECT_TRUE(replyTo(cluster, CallId{902})->isInForce);
    EXPECT_FALSE(isValid(boardOf(cluster, "b1").permit, cluster.now));
}

// Guards against reporting a drain as in force too early, based on a shortened isolated start period that the isolated zone has not received.
TEST_F(CommandUpdate, shortenedIsolatedPeriodStillDelaysInForce)
{
    AvailabilityZone longPeriod = zone("b", false);
    longPeriod.isolatedStartPeriod = Duration{60'000};
    post(cluster, "a1", request(901, "c1", longPeriod));
    run(cluster, Duration{4'000});
    EXPECT_THAT(*replyTo(cluster, CallId{901})->text, testing::HasSubstr("a drain of it may be pending for 60 s"));
    cluster.store.faults.cutOff.insert(HostId{"b1"});
    setCut(cluster, "a1", "b1", true);
    run(cluster, Duration{1'000});
    post(cluster, "a1", request(902, "c2", zone("b", false), Duration{0}));
    run(cluster, Duration{1'000});
    post(cluster, "a1", request(903, "c3", zone("b", true), Duration{90'000}));
    while (!replyTo(cluster, CallId{903})) {
        ASSERT_FALSE(cluster.now > TimePoint{Duration{1'100'000}});
        run(cluster, Duration{10});
    }
    EXPECT_TRUE(replyTo(cluster, CallId{903})->isInForce);
    EXPECT_FALSE(isValid(boardOf(cluster, "b1").permit, cluster.now));
}

}
