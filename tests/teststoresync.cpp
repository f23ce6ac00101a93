#include "fakecluster.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace sequoiastand
{

struct StoreSync : testing::Test
{
    StoreSync()
    {
        addHost(cluster, "a1", "a");
        putConfiguration(cluster.store, 1, {AvailabilityZone{AvailabilityZoneId{"a"}}}, cluster.now);
    }

    Blackboard &board()
    {
        return boardOf(cluster, "a1");
    }

    /// A record that no controller handles.
    static ConfigurationChange record(const std::string &text)
    {
        ConfigurationChange value;
        value.statement = text;
        return value;
    }

    static StoreKey key(const std::string &name)
    {
        return {"config/history/" + name};
    }

    void write(const std::string &name, const std::string &text, Revision expected)
    {
        requestWrite(board().store, StoreWrite{key(name), record(text), expected}, "test");
    }

    FakeCluster cluster;
};

TEST_F(StoreSync, firstReadLoadsConfigurationAndOpensWatch)
{
    run(cluster, Duration{100});
    EXPECT_TRUE(board().store.isLoaded);
    EXPECT_TRUE(board().store.isWatching);
    EXPECT_EQ(board().configuration.version, 1);
    EXPECT_TRUE(board().configuration.availabilityZones.contains(AvailabilityZoneId{"a"}));
}

TEST_F(StoreSync, hostRecordIsWrittenUnderLease)
{
    run(cluster, Duration{200});
    ASSERT_TRUE(cluster.store.rows.contains(hostKey(HostId{"a1"})));
    EXPECT_EQ(cluster.store.boundTo.at(hostKey(HostId{"a1"})), board().store.lease);
}

TEST_F(StoreSync, queuedWritesGoOutAsOneGroup)
{
    run(cluster, Duration{500});
    const int before = cluster.store.calls;
    write("r1", "one", 0);
    write("r2", "two", 0);
    run(cluster, Duration{100});
    EXPECT_TRUE(cluster.store.rows.contains(key("r1")));
    EXPECT_TRUE(cluster.store.rows.contains(key("r2")));
    EXPECT_EQ(cluster.store.calls - before, 1);
}

/// The same host after its first full read, before a failure is injected.
struct StoreSyncInFailure : StoreSync
{
    StoreSyncInFailure()
    {
        run(cluster, Duration{1'500});
    }

    std::string stored(const std::string &request)
    {
        const auto row = cluster.store.rows.find(key(request));
        return row == cluster.store.rows.end() ? "" : std::get<ConfigurationChange>(row->second.record).statement;
    }

    int applied(const std::string &request)
    {
        return cluster.store.appliedWrites[key(request)];
    }

    /// Runs until the write to the key is resolved and returns the result.
    std::optional<WriteResult> result(const std::string &request)
    {
        std::optional<WriteResult> found;
        runUntil(cluster, Duration{30'000}, [&] {
            for (const auto &candidate : board().store.results) {
                if (candidate.key == key(request)) {
                    found = candidate;
                }
            }
            return found.has_value() || (board().store.writes.empty() && !board().store.batch && !stored(request).empty());
        });
        return found;
    }
};

// Guards against a write that is repeated because its reply was lost after it took effect.
TEST_F(StoreSyncInFailure, writeWithLostAnswerIsReadBackAndNotRepeated)
{
    cluster.store.faults.answersToLose = 1;
    write("r1", "one", 0);
    result("r1");
    run(cluster, Duration{5'000});
    EXPECT_EQ(stored("r1"), "one");
    EXPECT_EQ(applied("r1"), 1);
    EXPECT_FALSE(board().store.batch);
}

// A repeated write without a condition causes no conflict, so the store cannot detect it.
TEST_F(StoreSyncInFailure, unconditionalWriteWithLostAnswerIsNotRepeated)
{
    cluster.store.faults.answersToLose = 1;
    requestWrite(board().store, StoreWrite{key("r1"), record("one"), std::nullopt}, "test");
    run(cluster, Duration{5'000});
    EXPECT_EQ(stored("r1"), "one");
    EXPECT_EQ(applied("r1"), 1);
}

// Guards against counting a write as applied although its call was lost.
TEST_F(StoreSyncInFailure, writeWhoseCallIsLostIsSentAgain)
{
    cluster.store.faults.callsToLose = 1;
    write("r1", "one", 0);
    result("r1");
    EXPECT_EQ(stored("r1"), "one");
    EXPECT_EQ(applied("r1"), 1);
}

// Guards against a session that waits without end for a reply that never arrives.
TEST_F(StoreSyncInFailure, missingReplyTimesOutAndIsReadBack)
{
    write("r1", "one", 0);
    cluster.store.faults.answersToDrop = 1;
    result("r1");
    run(cluster, Duration{10'000});
    EXPECT_EQ(stored("r1"), "one");
    EXPECT_EQ(applied("r1"), 1);
    EXPECT_FALSE(board().store.inFlight);
}

// Guards against a conflicting write that blocks the other writes of its group.
TEST_F(StoreSyncInFailure, conflictIsReportedAndTheRestOfTheGroupApplied)
{
    putRow(cluster.store, key("r1"), record("other"), cluster.now);
    write("r1", "one", 0);
    write("r2", "two", 0);
    run(cluster, Duration{500});
    EXPECT_EQ(stored("r1"), "other");
    EXPECT_EQ(stored("r2"), "two");
    EXPECT_EQ((board().counters.values[{"storeWrites", "conflict"}]), 1);
}

// Guards against a host whose own writes conflict because it changes a record faster than the store answers.
TEST_F(StoreSyncInFailure, queuedWriteExpectsTheRevisionOfTheOneInFlight)
{
    cluster.store.faults.latency = Duration{200};
    write("r1", "one", 0);
    run(cluster, Duration{100});
    write("r1", "two", 0);
    run(cluster, Duration{1'000});
    EXPECT_EQ(stored("r1"), "two");
    EXPECT_EQ((board().counters.values[{"storeWrites", "conflict"}]), 0);
}

// Guards against the loss of writes that were queued before an outage, and against calls in a tight loop during the outage.
TEST_F(StoreSyncInFailure, writesWaitThroughOutageAndCallsStayFew)
{
    cluster.store.faults.isDown = true;
    write("r1", "one", 0);
    write("r2", "two", 0);
    const int before = cluster.store.calls;
    run(cluster, Duration{60'000});
    EXPECT_LT(cluster.store.calls - before, 60 * 4);
    EXPECT_EQ(stored("r1"), "");
    cluster.store.faults.isDown = false;
    run(cluster, Duration{3'000});
    EXPECT_EQ(stored("r1"), "one");
    EXPECT_EQ(stored("r2"), "two");
    EXPECT_TRUE(board().store.isWatching);
}

// Guards against a watch whose connection stays open without reporting changes: a change must still reach the host.
TEST_F(StoreSyncInFailure, unresponsiveWatchIsReplacedByFullRead)
{
    cluster.store.faults.areWatchesSilent = true;
    putConfiguration(cluster.store, 2, {AvailabilityZone{AvailabilityZoneId{"z"}}}, cluster.now);
    run(cluster, Duration{100});
    EXPECT_EQ(board().configuration.version, 1);
    run(cluster, Duration{5'000});
    EXPECT_EQ(board().configuration.version, 2);
    EXPECT_GE((board().counters.values[{"storeWatchLost", "silent"}]), 1);
}

// Guards against a host whose record stays missing after a pause that is longer than its store lease.
TEST_F(StoreSyncInFailure, recordReturnsUnderNewLeaseAfterPause)
{
    const auto lease = board().store.lease;
    cluster.paused.insert(HostId{"a1"});
    run(cluster, Duration{12'000});
    EXPECT_FALSE(cluster.store.rows.contains(hostKey(HostId{"a1"})));
    cluster.paused.clear();
    run(cluster, Duration{6'000});
    EXPECT_TRUE(cluster.store.rows.contains(hostKey(HostId{"a1"})));
    EXPECT_NE(board().store.lease, lease);
}

// Guards against a full read that combines the items of one configuration change with the version of another.
TEST_F(StoreSyncInFailure, itemsAreReadAgainIfTheVersionChangedMeanwhile)
{
    addHost(cluster, "a2", "a");
    cluster.store.faults.latency = Duration{100};
    ASSERT_TRUE(runUntil(cluster, Duration{2'000}, [this] {
        const auto &load = boardOf(cluster, "a2").store.load;
        return load && load->stage == 3;
    }));
    run(cluster, Duration{50});
    putConfiguration(cluster.store, 2, {AvailabilityZone{AvailabilityZoneId{"z"}}}, cluster.now);
    ASSERT_TRUE(runUntil(cluster, Duration{3'000}, [this] { return boardOf(cluster, "a2").store.isLoaded; }));
    run(cluster, Duration{20});
    EXPECT_EQ(boardOf(cluster, "a2").configuration.version, 2);
    EXPECT_TRUE(boardOf(cluster, "a2").configuration.availabilityZones.contains(AvailabilityZoneId{"z"}));
}

// Guards against a stopped host that other hosts consider suspect until its store lease expires.
TEST_F(StoreSyncInFailure, stoppedHostRevokesItsLease)
{
    post(cluster, "a1", StopRequested{});
    run(cluster, Duration{5'000});
    EXPECT_FALSE(cluster.store.rows.contains(hostKey(HostId{"a1"})));
    EXPECT_EQ(board().store.lease, 0);
}

/// Two hosts, one of which cannot reach the store.
struct StoreRelayService : StoreSyncInFailure
{
    StoreRelayService()
    {
        addHost(cluster, "b1", "b");
        run(cluster, Duration{2'000});
        cluster.store.faults.cutOff.insert(HostId{"a1"});
        run(cluster, Duration{4'000});
    }
};

TEST_F(StoreRelayService, writeGoesThroughPeerAndIsAppliedOnce)
{
    write("r1", "one", 0);
    run(cluster, Duration{3'000});
    EXPECT_EQ(stored("r1"), "one");
    EXPECT_EQ(applied("r1"), 1);
    EXPECT_TRUE(board().store.writes.empty());
}

TEST_F(StoreRelayService, leaseIsRenewedThroughPeer)
{
    const auto lease = board().store.lease;
    run(cluster, Duration{30'000});
    EXPECT_EQ(board().store.lease, lease);
    EXPECT_TRUE(cluster.store.rows.contains(hostKey(HostId{"a1"})));
}

TEST_F(StoreRelayService, directCallsResumeOnceTheStoreIsReachable)
{
    cluster.store.faults.cutOff.clear();
    run(cluster, Duration{4'000});
    const auto relayed = board().counters.values[{"storeCalls", "relayed"}];
    write("r1", "one", 0);
    run(cluster, Duration{4'000});
    EXPECT_EQ(stored("r1"), "one");
    EXPECT_EQ((board().counters.values[{"storeCalls", "relayed"}]), relayed);
}

// Guards against a host that runs out of memory, or overloads the store, because a peer asks for more relayed calls than it waits for.
TEST_F(StoreRelayService, callsBeyondTheLimitOfAPeerAreNotSent)
{
    std::vector<Event> requests;
    for (unsigned long long number = 1; number <= 20; ++number) {
        requests.emplace_back(PeerMessageReceived{{"a1"}, StoreRelay{{number}, {{100 + number}, StoreRange{key("r1")}, 0, Duration{3'600'000}}}});
    }
    auto &relay = boardOf(cluster, "b1");
    step(relay, requests, cluster.now, cluster.wallNow);

    const auto isRefused = [](const OutgoingMessage &message) {
        const auto *sent = std::get_if<PeerSend>(&message);
        const auto *reply = sent == nullptr ? nullptr : std::get_if<StoreRelayReply>(&sent->message);
        return reply != nullptr && reply->reply.outcome == StoreOutcome::NotSent;
    };
    const auto isLong = [&relay](const OutgoingMessage &message) {
        const auto *call = std::get_if<StoreCall>(&message);
        return call != nullptr && call->timeout > relay.self.limits.storeCallTimeout;
    };
    EXPECT_EQ(8U, relay.store.relayed.size());
    EXPECT_EQ(12, std::ranges::count_if(relay.outbox, isRefused));
    EXPECT_TRUE(std::ranges::none_of(relay.outbox, isLong));
}

}
