#include "tests/domainfixture.h"

#include <algorithm>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Hosts that receive a copy of the configuration for longer than the store may be silent.
struct LargeConfiguration : DomainTest
{
    static constexpr Duration copyTime{1'600};
    static constexpr Duration applyBound{3'000};

    LargeConfiguration()
    {
        addTargets(4); // With more of them, the owner would read everything again whenever their registrations pause.
        std::ranges::for_each(hosts, [this](const std::string &host) { addHost(host); });
        run(Duration{2'000});
        store.faults.copyTime = copyTime;
    }

    std::vector<std::string> hosts{"h1", "h2", "h3"};
};

// Guards against a host that starts and never receives the configuration, so that it refuses all queries: each read was given up shortly before its end.
TEST_F(LargeConfiguration, hostThatStartsReceivesTheConfiguration)
{
    addHost("h4");
    run(copyTime + Duration{500});
    EXPECT_TRUE(board("h4").view.isLoaded);
    EXPECT_TRUE(isReady(board("h4")));
}

// Guards against accepted work that nobody can ask about after all hosts have started again.
TEST_F(LargeConfiguration, queryIsAnsweredAfterAllHostsHaveStartedAgain)
{
    ASSERT_FALSE(answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{50}, {}}, "h1")).refusal);
    std::ranges::for_each(hosts, [this](const std::string &host) {
        kill(host);
        start(host);
    });
    run(copyTime + Duration{1'000});
    for (const auto &host : hosts) {
        EXPECT_FALSE(answerTo(query(id(1), host)).refusal) << host;
    }
}

// Guards against a change that a host with a narrow link never learns of, and against a host that counts a store as lost that is sending it a large answer.
TEST_F(LargeConfiguration, changeIsInForceWithinTheBoundAndTheStoreStaysReachable)
{
    run(Duration{500});
    setKey("key-large", "hotels");
    const auto end = now + applyBound + copyTime;
    while (now < end) {
        run(tick);
        for (const auto &host : hosts) {
            ASSERT_TRUE(board(host).view.isStoreReachable) << host;
        }
    }
    for (const auto &host : hosts) {
        EXPECT_EQ(board(host).view.configuration.version, configuration.version) << host;
        EXPECT_TRUE(isProofFresh(board(host))) << host;
    }
}

// Guards against a host that is behind for ever, because it asks for a further copy before the last one has arrived.
TEST_F(LargeConfiguration, seriesIsInForceOnceItsNewestVersionHasBeenReceived)
{
    constexpr int versions = 6;
    constexpr Duration period{200};
    for (int version = 0; version < versions; ++version) {
        setKey("key-" + std::to_string(version), "hotels");
        run(period);
    }
    // At most the copy under way, the one whose request crosses the last version, and that version.
    run(3 * copyTime + applyBound);
    for (const auto &host : hosts) {
        EXPECT_EQ(board(host).view.configuration.version, configuration.version) << host;
        EXPECT_TRUE(isProofFresh(board(host))) << host;
    }
}

// Guards against a proof that counts as missed, or is repeated, although its answer arrives: each further proof brings a further copy over the same link.
TEST_F(LargeConfiguration, proofWhoseAnswerArrivesIsNeitherMissedNorRepeated)
{
    constexpr int copies = 2; // One by the watch, one by a proof.
    store.copiesSent.clear();
    setKey("key-large", "hotels");
    const auto end = now + applyBound + copyTime;
    while (now < end) {
        run(tick);
        for (const auto &host : hosts) {
            ASSERT_EQ(board(host).view.failedProofs, 0) << host;
        }
    }
    for (const auto &host : hosts) {
        EXPECT_LE(store.copiesSent[{host}], copies) << host;
    }
}

// Guards against a proof that is sent although the answer to one that had counted as missed arrives.
TEST_F(LargeConfiguration, noProofIsSentWhileTheAnswerToALateOneArrives)
{
    constexpr int copies = 2; // One by the watch, one by the late proof.
    store.copiesSent.clear();
    store.faults.latency = settings.limits.storeTimeout + settings.limits.storeRetry / 2;
    setKey("key-large", "hotels");
    run(applyBound + copies * copyTime);
    for (const auto &host : hosts) {
        EXPECT_LE(store.copiesSent[{host}], copies) << host;
        EXPECT_TRUE(isProofFresh(board(host))) << host;
    }
}

// Guards against proofs without end on a link on which an answer begins to arrive only after the next proof has been sent.
TEST_F(LargeConfiguration, noFurtherProofIsSentOnceTheAnswerToALateOneArrives)
{
    constexpr int copies = 3; // One by the watch, two by the proofs that are sent before an answer begins.
    store.copiesSent.clear();
    store.faults.latency = settings.limits.storeTimeout + 2 * settings.limits.storeRetry;
    setKey("key-large", "hotels");
    run(applyBound + copies * copyTime);
    for (const auto &host : hosts) {
        EXPECT_LE(store.copiesSent[{host}], copies) << host;
        EXPECT_TRUE(isProofFresh(board(host))) << host;
    }
}

// Guards against a host that has received the newest configuration and still refuses callers, because it waits before it proves it.
TEST_F(LargeConfiguration, configurationIsProvedAtOnceAfterACopyThatTookLongerThanAProofMayAge)
{
    constexpr Duration leeway{100};
    store.faults.copyTime = settings.limits.maxProofAge + leeway;
    setKey("key-large", "hotels");
    runUntil([&] { return board("h1").view.configuration.version == configuration.version; }, 2 * applyBound);
    runUntil([&] { return !board("h1").view.proof; }, 2 * applyBound);
    run(leeway);
    EXPECT_TRUE(isProofFresh(board("h1")));
}

// Guards against a host that uses up its processor time while the store does not answer, because the reads that wait for the store wake it up again and again.
TEST_F(LargeConfiguration, hostWithoutTheStoreIsNotWokenByReadsThatWait)
{
    constexpr int ticks = 200;
    store.faults.isDown = true;
    run(Duration{3'000});
    ASSERT_FALSE(board("h1").view.isStoreReachable);
    int wakeUps = 0;
    for (int count = 0; count < ticks; ++count) {
        run(tick);
        wakeUps += nextDue(board("h1").timers) <= std::optional(now + Duration{1}) ? 1 : 0;
    }
    EXPECT_LT(wakeUps, ticks / 2);
}

}
