#include "tests/domainfixture.h"

#include <algorithm>
#include <iterator>

namespace sequoiastand
{

/// Two hosts and eight targets, among whose registrations another writer leaves well-formed entries.
struct ForeignTargets : DomainTest
{
    ForeignTargets()
    {
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
        answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{60'000}, {}}));
        runUntil([&] { return isAtWork(fleet, id(1)); }, Duration{1'000});
        const auto busy = std::ranges::find_if(fleet.targets, [](const auto &row) { return !row.second.running.empty(); });
        place = busy->first;
    }

    /// Replaces the target's entry by one that differs in its start.
    void writeEntry(const TargetId &target, Duration startFromNow)
    {
        auto registration = fleet.targets.at(target).registration;
        registration.instance.startTimeMs = (wallNow + startFromNow).time_since_epoch().count();
        putRow(store, targetRegistrationKey(target), registration, now);
    }

    const DomainTarget *targetOf(const TargetId &target)
    {
        return board(owner()).targets.find(target);
    }

    bool isRegistered(const TargetId &target)
    {
        const auto *found = targetOf(target);
        return found != nullptr && found->isRegistered;
    }

    long long holdsSentTo(const TargetId &target) const
    {
        return std::ranges::count_if(sentOrders,
                                     [&](const TargetOrder &order) { return order.target == target && std::holds_alternative<HoldRuns>(order.request); });
    }

    static constexpr Duration year{365LL * 86'400'000};
    TargetId place; ///< The target that runs the only task.
};

// Guards against an entry with a start far ahead, beside which every later entry of the target looked old, so that the target got no work any more.
TEST_F(ForeignTargets, entryWithAStartFarAheadDoesNotReplaceTheTargetsInstance)
{
    for (const auto ahead : {Duration{3'600'000}, year}) {
        writeEntry(place, ahead);
        run(Duration{5'000});
        ASSERT_TRUE(isRegistered(place));
        EXPECT_EQ(targetOf(place)->registration, fleet.targets.at(place).registration);
        EXPECT_TRUE(targetOf(place)->hasAnsweredOwner);
    }
    run(Duration{20'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
    EXPECT_FALSE(fleet.targets.at(place).running.empty());
}

// Guards against following an entry that is there before the host becomes the owner.
TEST_F(ForeignTargets, entryWithAStartFarAheadIsNoTargetOfANewOwner)
{
    unregister(place.value);
    writeEntry(place, year);
    const auto former = owner();
    kill(former);
    runUntil([&] { return !owner().empty() && owner() != former; }, Duration{20'000});
    run(Duration{1'000});
    EXPECT_FALSE(isRegistered(place));
    const auto others = std::ranges::count_if(fleet.targets, [&](const auto &row) { return isRegistered(row.first); });
    EXPECT_EQ(others, 7);
    registerAgain(place.value);
    run(Duration{1'000});
    EXPECT_TRUE(isRegistered(place));
}

// Guards against refusing true entries: the clock of a host may jump back by seconds, and that of a target may be ahead.
TEST_F(ForeignTargets, targetWhoseClockIsSecondsAheadIsFollowed)
{
    const TargetId idle{place.value == "t1" ? "t2" : "t1"};
    restartTarget(fleet, idle, now);
    fleet.targets.at(idle).registration.instance.startTimeMs = (wallNow + Duration{30'000}).time_since_epoch().count();
    registerAgain(idle.value);
    run(Duration{3'000});
    ASSERT_TRUE(isRegistered(idle));
    EXPECT_EQ(targetOf(idle)->registration, fleet.targets.at(idle).registration);
    EXPECT_TRUE(targetOf(idle)->hasAnsweredOwner);
}

// Guards against lists with a start far ahead, which made each later entry and list of the target look old, as an entry with such a start did.
TEST_F(ForeignTargets, listsWithAStartFarAheadDoNotReplaceTheTargetsInstance)
{
    const auto registration = fleet.targets.at(place).registration;
    unregister(place.value);
    putRow(store, targetRegistrationKey(place), registration, now);
    fleet.targets.at(place).registration.instance.startTimeMs = (wallNow + year).time_since_epoch().count();
    run(Duration{2'500});
    fleet.targets.at(place).registration = registration;
    run(Duration{2'000});
    ASSERT_TRUE(isRegistered(place));
    EXPECT_EQ(targetOf(place)->registration, registration);
    EXPECT_EQ(targetOf(place)->failures, 0);
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

// Guards against a hold at every step: lists of an instance that is older than the registration were asked for again at once.
TEST_F(ForeignTargets, listsOfAFormerInstanceAreNotAskedForWithoutPause)
{
    writeEntry(place, Duration{1'000});
    run(Duration{500});
    const auto before = holdsSentTo(place);
    run(Duration{5'000});
    EXPECT_LT(holdsSentTo(place) - before, 30);
}

}
