#include "fakecluster.h"

#include "core/heartbeat.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct Membership : testing::Test
{
    Membership()
    {
        addHost(cluster, "a1", "a");
        addHost(cluster, "a2", "a");
        addHost(cluster, "b1", "b");
        run(cluster, Duration{3'000});
    }

    const Peer *peer(const std::string &host, const std::string &other)
    {
        return boardOf(cluster, host).peers.find(HostId{other});
    }

    PeerState state(const std::string &host, const std::string &other)
    {
        return peer(host, other)->state;
    }

    static ListedHost listed(const std::string &id, const std::string &zone)
    {
        ListedHost host;
        host.kind = ListedKind::EntryHost;
        host.id = id;
        host.availabilityZone = AvailabilityZoneId{zone};
        host.address = id + ":7001";
        return host;
    }

    FakeCluster cluster;
};

TEST_F(Membership, hostsThatAnswerAreAlive)
{
    EXPECT_EQ(state("a1", "a2"), PeerState::Alive);
    EXPECT_EQ(state("a1", "b1"), PeerState::Alive);
    EXPECT_TRUE(peer("a1", "b1")->isRecorded);
    EXPECT_GE(peer("a1", "b1")->lastAnsweredSentAt, cluster.now - Duration{1'100});
}

TEST_F(Membership, unresponsiveHostIsSuspectAndGoneOnlyAfterItsLease)
{
    cluster.paused.insert(HostId{"a2"});
    run(cluster, Duration{5'000});
    EXPECT_EQ(state("a1", "a2"), PeerState::Suspect);
    run(cluster, Duration{9'000});
    EXPECT_EQ(state("a1", "a2"), PeerState::Gone);
    EXPECT_EQ(state("a1", "b1"), PeerState::Alive);
}

// Guards against a host that is declared gone although it is cut off only from this host.
TEST_F(Membership, unresponsiveHostWithLeaseStaysSuspect)
{
    setCut(cluster, "a1", "a2", true);
    run(cluster, Duration{60'000});
    EXPECT_EQ(state("a1", "a2"), PeerState::Suspect);
    EXPECT_EQ(state("b1", "a2"), PeerState::Alive);
}

// Without the store, an expired lease cannot be seen, so only the platform's list shows that a host is gone.
TEST_F(Membership, duringOutageUnresponsiveHostIsGoneOnceItIsNotListed)
{
    post(cluster, "a1", HostListRead{{listed("a2", "a"), listed("b1", "b")}});
    run(cluster, Duration{100});
    cluster.store.faults.isDown = true;
    cluster.paused.insert(HostId{"a2"});
    run(cluster, Duration{30'000});
    EXPECT_EQ(state("a1", "a2"), PeerState::Suspect);
    post(cluster, "a1", HostListRead{{listed("b1", "b")}});
    run(cluster, Duration{2'000});
    EXPECT_EQ(state("a1", "a2"), PeerState::Gone);
}

// Guards against a host that counts as gone only because the platform's list lags behind.
TEST_F(Membership, unlistedHostIsAliveWhileItAnswers)
{
    post(cluster, "a1", HostListRead{{listed("a2", "a"), listed("b1", "b")}});
    run(cluster, Duration{100});
    post(cluster, "a1", HostListRead{{listed("b1", "b")}});
    run(cluster, Duration{20'000});
    EXPECT_EQ(state("a1", "a2"), PeerState::Alive);
}

// Guards against a paused host that treats all other hosts as gone when it resumes.
TEST_F(Membership, pausedHostDoesNotSuspectItsPeers)
{
    cluster.paused.insert(HostId{"a1"});
    run(cluster, Duration{20'000});
    cluster.paused.clear();
    cluster.pending[HostId{"a1"}].clear();
    run(cluster, Duration{10});
    EXPECT_EQ(state("a1", "a2"), PeerState::Alive);
    run(cluster, Duration{3'000});
    EXPECT_EQ(state("a1", "b1"), PeerState::Alive);
}

// Guards against accepting late messages of a host's former process.
TEST_F(Membership, olderIncarnationIsIgnored)
{
    restartHost(cluster, "a2");
    run(cluster, Duration{3'000});
    ASSERT_EQ(peer("a1", "a2")->incarnation, 2);
    Heartbeat late = ownHeartbeat(boardOf(cluster, "a2"), CallId{1}, false);
    late.incarnation = 1;
    late.configurationVersion = 99;
    post(cluster, "a1", PeerMessageReceived{HostId{"a2"}, late});
    run(cluster, Duration{10});
    EXPECT_EQ(peer("a1", "a2")->configurationVersion, 0);
}

// Guards against counting a reply to an old heartbeat as recent contact.
TEST_F(Membership, lateReplyCountsFromItsHeartbeat)
{
    const auto before = *peer("a1", "a2")->lastAnsweredSentAt;
    setCut(cluster, "a1", "a2", true);
    run(cluster, Duration{1'500});
    const auto pendingHeartbeats = peer("a1", "a2")->pendingHeartbeats;
    ASSERT_FALSE(pendingHeartbeats.empty());
    const auto oldest = *pendingHeartbeats.begin();
    Heartbeat answer = ownHeartbeat(boardOf(cluster, "a2"), oldest.first, true);
    post(cluster, "a1", PeerMessageReceived{HostId{"a2"}, answer});
    run(cluster, Duration{10});
    EXPECT_EQ(peer("a1", "a2")->lastAnsweredSentAt, oldest.second);
    EXPECT_GT(oldest.second, before);
}

TEST_F(Membership, stoppingHostIsLeaving)
{
    post(cluster, "a2", StopRequested{});
    run(cluster, Duration{1'500});
    EXPECT_TRUE(peer("a1", "a2")->isLeaving);
    EXPECT_FALSE(peer("b1", "a1")->isLeaving);
}

// Guards against jobs placed in a zone without a live owner.
TEST_F(Membership, capacityOfZoneIsListedWhileItsOwnerIsAlive)
{
    auto &board = boardOf(cluster, "a1");
    ASSERT_TRUE(runUntil(cluster, Duration{10'000}, [&board] { return board.zoneCapacities.contains(AvailabilityZoneId{"b"}); }));
    EXPECT_GT(peer("a1", "b1")->ownedEpoch, 0);
    cluster.paused.insert(HostId{"b1"});
    run(cluster, Duration{5'000});
    EXPECT_FALSE(board.zoneCapacities.contains(AvailabilityZoneId{"b"}));
}

TEST_F(Membership, handoverFreesTheZoneAtOnce)
{
    ASSERT_TRUE(runUntil(cluster, Duration{10'000}, [this] { return peer("a1", "b1")->ownedEpoch > 0; }));
    post(cluster, "a1", PeerMessageReceived{HostId{"b1"}, Handover{AvailabilityZoneId{"b"}, 4}});
    run(cluster, Duration{10});
    EXPECT_EQ(peer("a1", "b1")->ownedEpoch, 0);
}

// Guards against a cost per host that grows with the number of hosts: in each round, a host sends heartbeats to the hosts of its own zone and to 24 others.
TEST_F(Membership, manyHostsGetHeartbeatsInRotationAndStayAlive)
{
    for (int i = 0; i < 60; ++i) {
        addHost(cluster, "c" + std::to_string(i), "c");
    }
    run(cluster, Duration{15'000});
    auto &board = boardOf(cluster, "a1");
    board.outbox.clear();
    sendHeartbeats(board);
    EXPECT_EQ(board.outbox.size(), 1U + 24U);
    for (const auto &[id, row] : board.peers.rows()) {
        EXPECT_EQ(row.state, PeerState::Alive) << id.value;
    }
    EXPECT_GT(suspicionTimeout(board), Duration{3'000});
}

}
