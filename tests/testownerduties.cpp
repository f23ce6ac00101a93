#include "tests/domainfixture.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace sequoiastand
{

/// Three hosts and eight targets, of which the owner keeps its lease while the store refuses a part of its calls.
struct OwnerDuties : DomainTest
{
    // A job that could run must not stand still for 3 s once all has been calm for `contactMs`, which is 3 s at least.
    static constexpr Duration longestStandstill{6'000};

    OwnerDuties()
    {
        addTargets(8);
        for (const char *host : {"h1", "h2", "h3"}) {
            addHost(host);
        }
        run(Duration{4'000});
    }

    std::string otherHost()
    {
        return owner() == "h1" ? "h2" : "h1";
    }

    int startsOf(int number)
    {
        const auto starts = fleet.starts.find(id(number));
        return starts == fleet.starts.end() ? 0 : starts->second;
    }

    long long ownershipsBegun()
    {
        long long begun = 0;
        for (const char *host : {"h1", "h2", "h3"}) {
            begun += board(host).counters.values[{"ownershipsBegun", ""}];
        }
        return begun;
    }
};

// Guards against an owner that keeps the domain by renewals alone: it proves, commits and starts nothing, and no other host can take over.
TEST_F(OwnerDuties, jobStartsAlthoughTheStoreRefusesTheOwnersTransactions)
{
    const auto host = otherHost();
    store.faults.refusedTransactions.insert({owner()});
    run(Duration{1'000});
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{500}, {}}, host));
    run(longestStandstill);
    EXPECT_EQ(startsOf(1), 1);
}

// Guards against a new owner that renews its lease and never finishes reading the domain.
TEST_F(OwnerDuties, jobStartsAlthoughTheStoreRefusesTheNextOwnersReads)
{
    const auto first = owner();
    const auto host = otherHost();
    for (const char *other : {"h1", "h2", "h3"}) {
        if (other != first && other != host) {
            store.faults.refusedReads.insert({other});
        }
    }
    slowDown(host, Duration{100}); // The other host claims first.
    kill(first);
    runUntil([&] { return !owner().empty() && owner() != first; }, Duration{5'000});
    ASSERT_NE(owner(), host);
    slowDown(host, Duration{0});
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{500}, {}}, host));
    run(longestStandstill);
    EXPECT_EQ(startsOf(1), 1);
}

// Guards against an owner whose watch of the intake fails unnoticed, so that it never learns of new jobs.
TEST_F(OwnerDuties, jobStartsAlthoughTheStoreRefusesTheOwnersWatchOfTheIntake)
{
    unregister("t8"); // With eight targets that write at the same time, the owner would take its watches for deaf and read everything again.
    run(Duration{1'000});
    const auto first = owner();
    store.faults.silentWatches.insert({{first}, "intake/"});
    step(board(first), {StoreWatchCondition{"intake/", true, "status 503"}}, now, wallNow);
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{500}, {}}, otherHost()));
    run(longestStandstill);
    EXPECT_EQ(startsOf(1), 1);
}

// Guards against a hand-over by an owner whose reads take long: they were given up after the timeout of other calls and counted as a failed duty, although the
// next owner has to read even more.
TEST_F(OwnerDuties, domainKeepsItsOwnerWhileTheStoreTakesLongForReads)
{
    const auto first = owner();
    const auto before = ownershipsBegun();
    store.faults.readLatency = Duration{800};
    for (const char *prefix : {"intake/", "targets/"}) {
        step(board(first), {StoreWatchLost{"connection reset", prefix}}, now, wallNow);
        run(longestStandstill / 2);
    }
    EXPECT_EQ(owner(), first);
    EXPECT_EQ(ownershipsBegun(), before);
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{500}, {}}, otherHost()));
    run(Duration{1'000});
    EXPECT_EQ(startsOf(1), 1);
}

// Guards against an owner that stops working without a word in its log: the overdue duty is reported when that begins, repeatedly, and when it ends.
TEST_F(OwnerDuties, refusedTransactionsAreReportedUntilTheyAreServedAgain)
{
    const auto host = owner();
    const auto linesWith = [&](const std::string &text) {
        return std::ranges::count_if(history,
                                     [&](const std::string &line) { return absl::StrContains(line, host + " checkDuties") && absl::StrContains(line, text); });
    };
    store.faults.refusedTransactions = {{"h1"}, {"h2"}, {"h3"}};
    run(Duration{8'000});
    EXPECT_EQ(linesWith("proveConfiguration  overdue for"), 1);
    EXPECT_EQ(linesWith("proveConfiguration  still overdue after"), 1);
    EXPECT_EQ(linesWith("status 503"), linesWith("overdue"));
    store.faults.refusedTransactions.clear();
    run(Duration{2'000});
    EXPECT_EQ(linesWith("proveConfiguration  done again after"), 1);
    EXPECT_EQ(overdueTime(board(host), OwnerDuty::ProveConfiguration), Duration{0});
}

// Guards against a domain that is handed from host to host while the store refuses the transactions of all of them.
TEST_F(OwnerDuties, domainKeepsItsOwnerWhileTheStoreRefusesTheTransactionsOfAllHosts)
{
    const auto first = owner();
    store.faults.refusedTransactions = {{"h1"}, {"h2"}, {"h3"}};
    run(Duration{10'000});
    store.faults.refusedTransactions.clear();
    run(Duration{2'000});
    EXPECT_EQ(owner(), first);
    EXPECT_EQ(ownershipsBegun(), 1);
}

// Guards against a request for a placement pass that is forgotten because it comes while the proof of the configuration is out of date. A step that waits for
// the rack of its data gets no other request.
TEST_F(OwnerDuties, stepThatHasWaitedThroughAnOutageIsPlacedAfterIt)
{
    constexpr int acceleratorsOfRack = 32;
    auto filling = batch(acceleratorsOfRack, {1'000, 1'000, 1}, Duration{60'000});
    filling.steps.front().dataRack = {"r1"};
    answerTo(submit(id(1), filling, {Duration{60'000}, {}}, otherHost()));
    run(Duration{500});
    ASSERT_EQ(startsOf(1), acceleratorsOfRack);
    auto waiting = gang(2, {1'000, 1'000, 1}, Duration{4'000}); // It may leave the rack after twice its estimate.
    waiting.steps.front().dataRack = {"r1"};
    answerTo(submit(id(2), waiting, {Duration{500}, {}}, otherHost(), "/patient/"));
    run(Duration{300});
    store.faults.refusedTransactions = {{"h1"}, {"h2"}, {"h3"}};
    run(Duration{6'000});
    ASSERT_EQ(startsOf(2), 0);
    store.faults.refusedTransactions.clear();
    run(Duration{5'000});
    EXPECT_EQ(startsOf(2), 2);
}

// Guards against a domain that moves although no host could read it: the next owner could not even hold the targets.
TEST_F(OwnerDuties, domainKeepsItsOwnerWhileTheStoreRefusesTheReadsOfAllHosts)
{
    const auto first = owner();
    store.faults.refusedReads = {{"h1"}, {"h2"}, {"h3"}};
    for (const char *host : {"h1", "h2", "h3"}) {
        step(board(host), {StoreWatchCondition{host == first ? "intake/" : "config/", true, "status 429"}}, now, wallNow);
    }
    run(Duration{10'000});
    EXPECT_EQ(owner(), first);
    EXPECT_EQ(ownershipsBegun(), 1);
}

/// A strong host that owns the domain, and two weaker ones.
struct UnequalOwners : OwnerDuties
{
    UnequalOwners()
    {
        settings.processorShare = 0.5;
        addHost("strong");
        settings.processorShare = 0.25;
        for (const char *host : {"h1", "h2", "h3"}) {
            kill(host);
            start(host);
        }
        runUntil([&] { return owner() == "strong"; }, Duration{10'000});
        run(Duration{4'000});
    }
};

// Guards against a domain that goes back to a stronger host which has just failed at it and does not show that in its proofs.
TEST_F(UnequalOwners, strongHostThatHasFailedAtItsReadsIsNotOfferedTheDomainAgain)
{
    store.faults.refusedReads.insert({"strong"});
    step(board("strong"), {StoreWatchCondition{"intake/", true, "status 429"}}, now, wallNow);
    runUntil([&] { return !owner().empty() && owner() != "strong"; }, Duration{6'000});
    const auto next = owner();
    run(Duration{15'000});
    EXPECT_EQ(owner(), next);
}

}
