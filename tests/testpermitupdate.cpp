#include "fakecluster.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct PermitUpdate : testing::Test
{
    PermitUpdate()
    {
        addHost(cluster, "a1", "a");
        addHost(cluster, "a2", "a");
        addHost(cluster, "b1", "b");
        putConfiguration(cluster.store, 1, {zone("a"), zone("b")}, cluster.now);
    }

    static AvailabilityZone zone(const std::string &id, Duration isolatedStartPeriod = Duration{0})
    {
        AvailabilityZone value;
        value.id = AvailabilityZoneId{id};
        value.isolatedStartPeriod = isolatedStartPeriod;
        return value;
    }

    bool mayStart(const std::string &host)
    {
        return isValid(boardOf(cluster, host).permit, cluster.now);
    }

    PermitSource source(const std::string &host)
    {
        return boardOf(cluster, host).permit.source;
    }

    FakeCluster cluster;
};

TEST_F(PermitUpdate, readOfVersionGivesPermit)
{
    run(cluster, Duration{1'500});
    EXPECT_TRUE(mayStart("a1"));
    EXPECT_EQ(source("a1"), PermitSource::StoreRead);
    for (int i = 0; i < 500; ++i) {
        run(cluster, Duration{10});
        ASSERT_TRUE(mayStart("a1"));
    }
}

/// The same hosts after they have obtained permits, before a failure is injected.
struct PermitInFailure : PermitUpdate
{
    PermitInFailure()
    {
        run(cluster, Duration{3'000});
    }

    void cutOffFromStore(const std::vector<std::string> &hosts)
    {
        for (const auto &host : hosts) {
            cluster.store.faults.cutOff.insert(HostId{host});
        }
    }

    void isolateZoneB()
    {
        cutOffFromStore({"b1"});
        setCut(cluster, "a1", "b1", true);
        setCut(cluster, "a2", "b1", true);
    }

    void changeZone(const AvailabilityZone &value)
    {
        putConfiguration(cluster.store, boardOf(cluster, "a1").configuration.version + 1, {value}, cluster.now);
    }
};

// Permit rule 2: a peer that reads the store extends the permit of a host that does not.
TEST_F(PermitInFailure, peerThatReadsTheStoreGivesPermit)
{
    cutOffFromStore({"b1"});
    for (int i = 0; i < 2'000; ++i) {
        run(cluster, Duration{10});
        ASSERT_TRUE(mayStart("b1"));
    }
    EXPECT_EQ(source("b1"), PermitSource::PeerRead);
}

// Guards invariant 3: a peer's store read is no proof for a host that has not applied the peer's configuration version.
TEST_F(PermitInFailure, peerWithNewerVersionGivesNoPermitUntilItIsApplied)
{
    cutOffFromStore({"b1"});
    run(cluster, Duration{5'000});
    auto &board = boardOf(cluster, "b1");
    const TimePoint validUntil = board.permit.validUntil;
    for (const auto *peer : {"a1", "a2"}) {
        Peer row = *board.peers.find(HostId{peer});
        row.configurationVersion = 9;
        row.lastAnsweredSentAt = cluster.now;
        row.storeReadAge = Duration{0};
        board.peers.put(row.id, row);
    }
    step(board, {}, cluster.now, cluster.wallNow);
    EXPECT_EQ(board.permit.validUntil, validUntil);
}

TEST_F(PermitInFailure, changeReachesCutOffHostThroughPeer)
{
    cutOffFromStore({"b1"});
    run(cluster, Duration{5'000});
    changeZone(zone("c"));
    run(cluster, Duration{3'000});
    EXPECT_EQ(boardOf(cluster, "b1").configuration.version, 2);
    EXPECT_TRUE(mayStart("b1"));
}

// Permit rule 3: permits continue while no host reaches the store.
TEST_F(PermitInFailure, storeDownForAllKeepsPermits)
{
    cluster.store.faults.isDown = true;
    run(cluster, Duration{4'000});
    for (int i = 0; i < 3'000; ++i) {
        run(cluster, Duration{10});
        ASSERT_TRUE(mayStart("a1") && mayStart("a2") && mayStart("b1"));
    }
    EXPECT_EQ(source("a1"), PermitSource::StoreDownForAll);
}

// Permit rule 3 needs an answer of every known peer, because an unresponsive peer may still reach the store.
TEST_F(PermitInFailure, unresponsivePeerEndsPermitWhileStoreIsUnreachable)
{
    cutOffFromStore({"a1", "b1"});
    setCut(cluster, "a1", "a2", true);
    setCut(cluster, "b1", "a2", true);
    run(cluster, Duration{7'000});
    EXPECT_FALSE(mayStart("a1"));
    EXPECT_FALSE(mayStart("b1"));
    EXPECT_TRUE(mayStart("a2"));
}

// A host that starts during an outage cannot know the newest configuration version.
TEST_F(PermitInFailure, hostStartedDuringOutageHasNoPermitAndOthersContinue)
{
    cluster.store.faults.isDown = true;
    run(cluster, Duration{5'000});
    restartHost(cluster, "a2");
    run(cluster, Duration{20'000});
    EXPECT_FALSE(mayStart("a2"));
    EXPECT_TRUE(mayStart("a1"));
    cluster.store.faults.isDown = false;
    run(cluster, Duration{3'000});
    EXPECT_TRUE(mayStart("a2"));
}

// Permit rule 4 has a default period of 0 s, so an isolated zone starts no work after its permit has expired.
TEST_F(PermitInFailure, isolatedZoneStopsStartsAfterItsPermit)
{
    isolateZoneB();
    run(cluster, Duration{3'100});
    EXPECT_FALSE(mayStart("b1"));
    EXPECT_TRUE(mayStart("a1"));
}

TEST_F(PermitInFailure, isolatedZoneStartsForItsPeriodAndNoLonger)
{
    changeZone(zone("b", Duration{30'000}));
    run(cluster, Duration{2'000});
    isolateZoneB();
    run(cluster, Duration{25'000});
    EXPECT_TRUE(mayStart("b1"));
    EXPECT_EQ(source("b1"), PermitSource::IsolatedPeriod);
    run(cluster, Duration{6'000});
    EXPECT_FALSE(mayStart("b1"));
}

// Guards against a pause of the process that extends the permit.
TEST_F(PermitInFailure, pausedHostHasNoPermitWhenItResumes)
{
    cluster.paused.insert(HostId{"a1"});
    run(cluster, Duration{5'000});
    EXPECT_FALSE(mayStart("a1"));
}

// Guards against a permit that begins at the arrival of a late reply instead of the time when the read was sent.
TEST_F(PermitInFailure, permitCountsFromTheTimeTheReadWasSent)
{
    cluster.store.faults.latency = Duration{1'500};
    run(cluster, Duration{6'000});
    const auto &board = boardOf(cluster, "a1");
    EXPECT_LE(board.permit.validUntil, *board.store.lastReadSent + Duration{3'000});
    EXPECT_LE(*board.store.lastReadSent, cluster.now - Duration{1'500});
}

TEST_F(PermitInFailure, localHoldStopsStartsUntilNewerVersion)
{
    isolateZoneB();
    post(cluster, "b1", HoldRequest{CallId{77}, OperatorId{"ada"}, true});
    run(cluster, Duration{20});
    EXPECT_FALSE(mayStart("b1"));
    EXPECT_TRUE(replyTo(cluster, CallId{77})->isInForce);
    cluster.store.faults.cutOff.clear();
    cluster.cut.clear();
    run(cluster, Duration{5'000});
    EXPECT_FALSE(mayStart("b1"));
    changeZone(zone("c"));
    run(cluster, Duration{2'000});
    EXPECT_TRUE(mayStart("b1"));
}

}
