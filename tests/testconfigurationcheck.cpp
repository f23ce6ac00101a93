#include "core/configurationcheck.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

/// One zone with two workers of 8 accelerators in one rack.
struct ConfigurationCheck : testing::Test
{
    ConfigurationCheck()
    {
        configuration.availabilityZones[zone] = {zone, "harju"};
        configuration.organisations[{"kask"}] = {{"kask"}};
        for (const auto *id : {"w1", "w2"}) {
            Target target{{id}, {"r1"}, zone};
            target.health = TargetHealth::Healthy;
            targets.put(target.id, target);
        }
    }

    std::optional<Refusal> refusalOf(const Shape &shape) const
    {
        return validateEdits(configuration, {{Guarantee{"g", {"kask"}, zone, shape}, ""}}, targets);
    }

    const AvailabilityZoneId zone{"harju-1"};
    Configuration configuration;
    Table<TargetId, Target> targets;
};

TEST_F(ConfigurationCheck, shapeThatFitsIsAccepted)
{
    EXPECT_EQ(refusalOf({8, 2, 1, 1}), std::nullopt);
}

// Guards against a guarantee that is accepted although the zone could never form it.
TEST_F(ConfigurationCheck, shapeThatDoesNotFitIsRefusedByName)
{
    const auto refusal = refusalOf({8, 3, 1, 1});
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, RefusalReason::NeverFits);
    EXPECT_EQ(refusal->run, RequestEffect::NotRun);
    EXPECT_NE(refusal->message.find("guarantee g"), std::string::npos) << refusal->message;
}

TEST_F(ConfigurationCheck, shapesOfTwoOrganisationsMustFitTogether)
{
    configuration.organisations[{"colombo"}] = {{"colombo"}};
    configuration.guarantees["held"] = {"held", {"colombo"}, zone, {8, 1, 1, 1}};
    EXPECT_EQ(refusalOf({8, 1, 1, 1}), std::nullopt);
    EXPECT_TRUE(refusalOf({8, 2, 1, 1}));
}

TEST_F(ConfigurationCheck, zoneWhoseTargetsAreNotListedYetIsNotChecked)
{
    targets = {};
    EXPECT_EQ(refusalOf({8, 3, 1, 1}), std::nullopt);
}

}
