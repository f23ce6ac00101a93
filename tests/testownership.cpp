#include "tests/clusterfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// Two hosts of one zone with four workers.
struct ZoneOwnership : Cluster
{
    ZoneOwnership()
    {
        for (const char *name : {"t1", "t2", "t3", "t4"}) {
            addTarget(name, "r1", "a");
        }
        addHost("a1", "a");
        addHost("a2", "a");
        run(Duration{4'000});
    }

    std::string owner() const
    {
        std::string found;
        for (const auto &[id, host] : hosts) {
            if (!host.isDown && host.board.epoch > 0) {
                found += id;
            }
        }
        return found;
    }

    std::string other() const
    {
        return owner() == "a1" ? "a2" : "a1";
    }

    int heldBy(const std::string &host) const
    {
        return static_cast<int>(
            std::ranges::count_if(targets, [&](const auto &row) { return row.second.holder.value == host && row.second.leaseExpiry > now; }));
    }

    bool hasRecordOf(const std::string &host) const
    {
        const auto entry = store.entries.find(zoneOwnerKey({"a"}));
        return entry != store.entries.end() && std::get<ZoneOwner>(entry->second.record).host.value == host;
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
    EXPECT_EQ(store.entries.at(zoneOwnerKey({"a"})).revision, 2) << "the owner's record is written once";
}

TEST_F(ZoneOwnership, deadOwnerIsReplacedAndItsRunningJobAdopted)
{
    JobSpecification gang = specification("gang", 10);
    gang.isIdempotent = false;
    gang.payload = payload(30'000);
    submit(gang, owner());
    const std::string successor = other();
    runUntil([&] { return isStored(gang.id, JobState::Running); }, Duration{5'000});
    hosts.at(owner()).isDown = true;
    runUntil([&] { return owner() == successor && heldBy(successor) == 4; }, Duration{8'000});
    runUntil([&] { return isStored(gang.id, JobState::Finished); }, Duration{60'000});
    EXPECT_EQ(startsOf(gang.id), 10);
}

// Guards against a paused owner that goes on with leases that another host holds by now.
TEST_F(ZoneOwnership, pausedOwnerYieldsToItsSuccessor)
{
    const std::string paused = owner();
    const std::string successor = other();
    JobSpecification job = specification("long");
    job.isIdempotent = false;
    job.payload = payload(40'000);
    submit(job, paused);
    runUntil([&] { return isStored(job.id, JobState::Running); }, Duration{5'000});
    hosts.at(paused).isPaused = true;
    runUntil([&] { return heldBy(successor) == 4; }, Duration{10'000});
    hosts.at(paused).isPaused = false;
    run(Duration{5'000});
    EXPECT_EQ(owner(), successor);
    EXPECT_EQ(heldBy(successor), 4);
    EXPECT_TRUE(board(paused).attempts.isEmpty());
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{60'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

// Guards against jobs that die because their own scheduler stood still for a while.
TEST_F(ZoneOwnership, pausedOnlyOwnerGoesOnWithItsJobs)
{
    const std::string paused = owner();
    hosts.erase(other());
    board(paused).peers = {};
    JobSpecification job = specification("long");
    job.payload = payload(40'000);
    submit(job, paused);
    runUntil([&] { return isStored(job.id, JobState::Running); }, Duration{5'000});
    hosts.at(paused).isPaused = true;
    run(Duration{20'000});
    hosts.at(paused).isPaused = false;
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
    hosts.at(leaving).arriving.emplace_back(StopRequested{});
    runUntil([&] { return heldBy(successor) == 4; }, Duration{2'000});
    runUntil([&] { return isStored(gang.id, JobState::Finished); }, Duration{30'000});
    EXPECT_EQ(startsOf(gang.id), 10);
}

TEST_F(ZoneOwnership, ownerWithoutStoreWritesItsEpochOnceTheStoreReturns)
{
    store.isUp = false;
    const std::string successor = other();
    hosts.at(owner()).isDown = true;
    runUntil([&] { return owner() == successor && heldBy(successor) == 4; }, Duration{15'000});
    EXPECT_FALSE(hasRecordOf(successor));
    store.isUp = true;
    runUntil([&] { return hasRecordOf(successor); }, Duration{2'000});
    EXPECT_EQ(std::get<ZoneOwner>(store.entries.at(zoneOwnerKey({"a"})).record).epoch, board(successor).epoch);
}

TEST_F(ZoneOwnership, ownerReleasesItsTargetsToAHigherEpochInTheStore)
{
    const std::string first = owner();
    const Epoch higher = board(first).epoch + 5;
    writeRow(store, {zoneOwnerKey({"a"}), ZoneOwner{{"a9"}, 1, higher}, std::nullopt, false});
    runUntil([&] { return owner().empty() && heldBy(first) == 0; }, Duration{1'000});
    run(Duration{3'000});
    EXPECT_EQ(owner(), "") << "the record names a host that may own the zone";
}

// Guards against a burst of lease calls when a zone with many targets changes hands.
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
