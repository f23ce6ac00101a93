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

}
