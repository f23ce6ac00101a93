#include "tests/clusterfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// Two hosts of one zone with four workers.
struct ZoneOwnership : ClusterTest
{
    ZoneOwnership()
    {
        for (const char *name : {"t1", "t2", "t3", "t4"}) {
            addTarget(name, "r1", "a");
        }
        addEntryHost("a1", "a");
        addEntryHost("a2", "a");
        run(Duration{4'000});
    }

    std::string owner()
    {
        return owners();
    }

    std::string other()
    {
        return owner() == "a1" ? "a2" : "a1";
    }

    int heldBy(const std::string &host) const
    {
        return static_cast<int>(
            std::ranges::count_if(targets, [&](const auto &row) { return row.second.holder.value == host && row.second.leaseExpiry > cluster.now; }));
    }

    bool hasRecordOf(const std::string &host) const
    {
        const auto entry = cluster.store.rows.find(zoneOwnerKey({"a"}));
        return entry != cluster.store.rows.end() && std::get<ZoneOwner>(entry->second.record).host.value == host;
    }
};

TEST_F(ZoneOwnership, oneHostOwnsTheZoneAndHoldsEveryTarget)
{
    ASSERT_EQ(owner().size(), 2U) << owner();
    EXPECT_EQ(heldBy(owner()), 4);
    EXPECT_TRUE(hasRecordOf(owner()));
    const std::string first = owner();
    run(Duration{60'000});
    EXPECT_EQ(owner(), first);
    EXPECT_EQ(cluster.store.appliedWrites.at(zoneOwnerKey({"a"})), 1);
}

TEST_F(ZoneOwnership, killedOwnerIsReplacedAndItsRunningJobAdopted)
{
    JobSpecification gang = specification("gang", 10);
    gang.isIdempotent = false;
    gang.payload = payload(30'000);
    submit(gang, owner());
    const std::string successor = other();
    runUntil([&] { return isStored(gang.id, JobState::Running); }, Duration{5'000});
    kill(owner());
    runUntil([&] { return owner() == successor && heldBy(successor) == 4; }, Duration{8'000});
    runUntil([&] { return isStored(gang.id, JobState::Finished); }, Duration{60'000});
    EXPECT_EQ(startsOf(gang.id), 10);
}

// Guards against a resumed owner that keeps using leases which another host has acquired during the pause.
TEST_F(ZoneOwnership, pausedOwnerGivesUpItsZoneToItsSuccessor)
{
    const std::string paused = owner();
    const std::string successor = other();
    JobSpecification job = specification("long");
    job.isIdempotent = false;
    job.payload = payload(40'000);
    submit(job, paused);
    runUntil([&] { return isStored(job.id, JobState::Running); }, Duration{5'000});
    pause(paused);
    runUntil([&] { return heldBy(successor) == 4; }, Duration{10'000});
    resume(paused);
    run(Duration{5'000});
    EXPECT_EQ(owner(), successor);
    EXPECT_EQ(heldBy(successor), 4);
    EXPECT_TRUE(board(paused).attempts.isEmpty());
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{60'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

// Guards against jobs that are lost because the host that schedules them was paused.
TEST_F(ZoneOwnership, pausedOwnerWithoutSuccessorResumesItsJobs)
{
    const std::string paused = owner();
    kill(other());
    JobSpecification job = specification("long");
    job.payload = payload(40'000);
    submit(job, paused);
    runUntil([&] { return isStored(job.id, JobState::Running); }, Duration{5'000});
    pause(paused);
    run(Duration{20'000});
    resume(paused);
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{60'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

TEST_F(ZoneOwnership, plannedStopHandsOverAtOnce)
{
    const std::string leaving = owner();
    const std::string successor = other();
    JobSpecification gang = specification("gang", 10);
    gang.isIdempotent = false;
    gang.payload = payload(10'000);
    submit(gang, leaving);
    runUntil([&] { return isStored(gang.id, JobState::Running); }, Duration{5'000});
    send(leaving, StopRequested{});
    runUntil([&] { return heldBy(successor) == 4; }, Duration{2'000});
    runUntil([&] { return isStored(gang.id, JobState::Finished); }, Duration{30'000});
    EXPECT_EQ(startsOf(gang.id), 10);
}

TEST_F(ZoneOwnership, ownerWithoutStoreWritesItsEpochOnceTheStoreReturns)
{
    setStoreUp(false);
    const std::string successor = other();
    kill(owner());
    runUntil([&] { return owner() == successor && heldBy(successor) == 4; }, Duration{15'000});
    EXPECT_FALSE(hasRecordOf(successor));
    setStoreUp(true);
    runUntil([&] { return hasRecordOf(successor); }, Duration{2'000});
    EXPECT_EQ(std::get<ZoneOwner>(cluster.store.rows.at(zoneOwnerKey({"a"})).record).epoch, board(successor).epoch);
}

TEST_F(ZoneOwnership, ownerReleasesItsTargetsToAHigherEpochInTheStore)
{
    const std::string first = owner();
    const Epoch higher = board(first).epoch + 5;
    putRow(cluster.store, zoneOwnerKey({"a"}), ZoneOwner{{"a9"}, 1, higher}, cluster.now);
    runUntil([&] { return owner().empty() && heldBy(first) == 0; }, Duration{1'000});
    run(Duration{3'000});
    EXPECT_EQ(owner(), "") << "the stored record names a host that may own the zone";
}

// Guards against a burst of lease calls when the owner of a zone with many targets changes.
TEST_F(ZoneOwnership, leaseCallsPerRoundAreLimited)
{
    for (int index = 0; index < 200; ++index) {
        addTarget("u" + std::to_string(index), "r2", "a");
    }
    sentCalls.clear();
    run(Duration{100});
    EXPECT_LE(sentCalls.size(), 54U);
    runUntil([&] { return heldBy(owner()) == 204; }, Duration{1'500});
    run(Duration{20'000});
    EXPECT_EQ(heldBy(owner()), 204);
    EXPECT_EQ((board(owner()).counters.values[{"leasesLapsed", "a"}]), 0);
}

}
