#include "fakecluster.h"

#include <gtest/gtest.h>

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

    static Job job(const std::string &request, const std::string &explanation)
    {
        Job value;
        value.specification.id = JobId{OrganisationId{"kask"}, RequestId{request}};
        value.explanation = explanation;
        return value;
    }

    static StoreKey key(const std::string &request)
    {
        return jobKey(JobId{OrganisationId{"kask"}, RequestId{request}});
    }

    void write(const std::string &request, const std::string &explanation, Revision expected)
    {
        requestWrite(board().store, StoreWrite{key(request), job(request, explanation), expected}, "test");
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

}
