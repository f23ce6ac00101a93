#include "fakecluster.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct ConfigurationUpdate : testing::Test
{
    ConfigurationUpdate()
    {
        addHost(cluster, "a1", "a");
        addHost(cluster, "b1", "b");
        putConfiguration(cluster.store, 1, {zone("a"), zone("b")}, cluster.now);
        run(cluster, Duration{3'000});
    }

    static AvailabilityZone zone(const std::string &id)
    {
        return {AvailabilityZoneId{id}};
    }

    const Configuration &configuration(const std::string &host)
    {
        return boardOf(cluster, host).configuration;
    }

    FakeCluster cluster;
};

TEST_F(ConfigurationUpdate, itemsOfOneRevisionApplyTogether)
{
    putConfiguration(cluster.store, 2, {zone("c"), zone("d")}, cluster.now);
    run(cluster, Duration{50});
    EXPECT_EQ(configuration("a1").version, 2);
    EXPECT_EQ(configuration("a1").availabilityZones.size(), 4U);
}

// Guards invariant 9: a late or repeated change must not bring an older state back.
TEST_F(ConfigurationUpdate, olderChangeIsNotApplied)
{
    putConfiguration(cluster.store, 2, {zone("c")}, cluster.now);
    run(cluster, Duration{100});
    StoreWatchEvent old;
    old.revision = 3;
    old.put = {StoreEntry{configurationVersionKey(), ConfigurationVersion{1, OperatorId{"x"}, CommandId{"x"}}, 3}};
    old.deleted = {configurationItemKey("availabilityZone/c")};
    post(cluster, "a1", old);
    post(cluster, "a1", PeerMessageReceived{HostId{"b1"}, ConfigurationReply{CallId{1}, 1, {}}});
    run(cluster, Duration{100});
    EXPECT_EQ(configuration("a1").version, 2);
    EXPECT_TRUE(configuration("a1").availabilityZones.contains(AvailabilityZoneId{"c"}));
}

// Guards against an incomplete state when a change between was missed.
TEST_F(ConfigurationUpdate, changeAfterGapIsTakenFromFullRead)
{
    cluster.store.faults.areWatchesSilent = true;
    putConfiguration(cluster.store, 2, {zone("c")}, cluster.now);
    run(cluster, Duration{20});
    cluster.store.faults.areWatchesSilent = false;
    putConfiguration(cluster.store, 3, {zone("d")}, cluster.now);
    run(cluster, Duration{50});
    EXPECT_EQ(configuration("a1").version, 1);
    run(cluster, Duration{5'000});
    EXPECT_EQ(configuration("a1").version, 3);
    EXPECT_EQ(configuration("a1").availabilityZones.size(), 4U);
}

// Guards against a store restored from a backup taking accepted changes back.
TEST_F(ConfigurationUpdate, storeWithLowerVersionIsReportedAndRestored)
{
    const auto backup = cluster.store.rows;
    putConfiguration(cluster.store, 2, {zone("c")}, cluster.now);
    run(cluster, Duration{1'000});
    cluster.store.faults.isDown = true;
    run(cluster, Duration{4'000});
    cluster.store.rows = backup;
    cluster.store.faults.isDown = false;
    run(cluster, Duration{10'000});
    EXPECT_EQ(configuration("a1").version, 2);
    EXPECT_TRUE(configuration("a1").availabilityZones.contains(AvailabilityZoneId{"c"}));
    EXPECT_GE((boardOf(cluster, "a1").counters.values[{"configurationIgnored", "lowerVersion"}]), 1);
    EXPECT_EQ(std::get<ConfigurationVersion>(cluster.store.rows.at(configurationVersionKey()).record).version, 2);
    EXPECT_TRUE(cluster.store.rows.contains(configurationItemKey("availabilityZone/c")));
}

TEST_F(ConfigurationUpdate, changesDuringRollingRestartsReachEveryHost)
{
    for (int i = 0; i < 6; ++i) {
        restartHost(cluster, i % 2 == 0 ? "a1" : "b1");
        putConfiguration(cluster.store, 2 + i, {zone("z" + std::to_string(i))}, cluster.now);
        run(cluster, Duration{3'000});
    }
    EXPECT_EQ(configuration("a1").version, 7);
    EXPECT_EQ(configuration("a1"), configuration("b1"));
    EXPECT_EQ(configuration("a1").availabilityZones.size(), 8U);
}

}
