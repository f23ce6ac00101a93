#include "fakecluster.h"

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

}
