#include "tests/domainfixture.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace sequoiastand
{

/// Two hosts that are asked about an accepted workflow while entries that a proof compares change or cannot be decoded. The store is well all the time.
struct QueriesBesideChanges : DomainTest
{
    QueriesBesideChanges()
    {
        addTargets(4);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
        answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{100'000'000}, {}}));
        run(Duration{500});
    }

    /// Asks a host while the change is made again and again, and returns the longest time until it answers with the state; the caller's timeout counts for a
    /// query that it doesn't answer so.
    Duration longestAnswer(const std::string &host, Duration period, const std::function<void(int)> &change)
    {
        Duration longest{0};
        int changes = 0;
        TimePoint nextChange = now;
        const auto runFor = [&](Duration duration, CallId call) {
            const auto end = now + duration;
            while (now < end && !isAnswered(call)) {
                if (now >= nextChange) {
                    change(changes++);
                    nextChange = now + period;
                }
                run(tick);
            }
        };
        for (int number = 0; number < 8; ++number) {
            runFor(Duration{1'000}, CallId{});
            const auto call = query(id(1), host);
            const auto sentAt = now;
            runFor(callerTimeout, call);
            longest = std::max(longest, isAnswered(call) && answerTo(call).state ? now - sentAt : callerTimeout);
        }
        return longest;
    }
};

// The periods are those at which the present entry is absent from the answer to a proof, and known again when the answer is read, each time.
TEST_F(QueriesBesideChanges, evacuationsThatAreSetAndRemovedDoNotDelayTheAnswers)
{
    for (const auto &[latency, watchLatency] : {std::pair{50, 120}, std::pair{200, 1}}) {
        store.faults.latency = Duration{latency};
        store.faults.watchLatency = Duration{watchLatency};
        const auto change = [&](int number) { number % 2 == 0 ? evacuate("a") : returnZone("a"); };
        EXPECT_LT(longestAnswer("h2", Duration{10}, change), Duration{1'000}) << latency;
    }
}

TEST_F(QueriesBesideChanges, ownersThatClaimAndReleaseDoNotDelayTheAnswers)
{
    kill("h1");
    const auto change = [&](int number) {
        if (number % 2 == 0) {
            putRow(store, domainOwnerKey(), DomainOwner{{"h9"}, number}, now);
        } else {
            removeRow(store, domainOwnerKey(), now);
        }
    };
    for (const auto &[period, copyTime] : {std::pair{10, 0}, std::pair{50, 300}, std::pair{500, 600}, std::pair{1'000, 1'600}}) {
        store.faults.copyTime = Duration{copyTime};
        EXPECT_LT(longestAnswer("h2", Duration{period}, change), Duration{1'000}) << period;
    }
}

// Guards against refusing all calls because of an entry that shows nothing about queues and keys.
TEST_F(QueriesBesideChanges, ownerOrEvacuationThatCannotBeDecodedDoesNotKeepTheStateFromItsCaller)
{
    store.faults.undecodable = {domainOwnerKey(), zoneEvacuationKey({"a"})};
    evacuate("a");
    EXPECT_LT(longestAnswer("h2", Duration{60'000}, [](int) {}), Duration{1'000});
    EXPECT_FALSE(isProofFresh(board("h2"))) << "starts need the evacuations";
    putRow(store, domainOwnerKey(), DomainOwner{{"h9"}, 1}, now);
    EXPECT_LT(longestAnswer("h2", Duration{60'000}, [](int) {}), Duration{1'000});
    kill("h2");
    start("h2");
    run(Duration{500});
    EXPECT_LT(longestAnswer("h2", Duration{60'000}, [](int) {}), Duration{1'000}) << "after a restart";
}

// Guards against serving with a key that was withdrawn while another entry of the proof cannot be decoded.
TEST_F(QueriesBesideChanges, withdrawnKeyIsRefusedWhileAnEvacuationCannotBeDecoded)
{
    store.faults.undecodable = {zoneEvacuationKey({"a"})};
    evacuate("a");
    store.faults.areWatchesSilent = true;
    run(Duration{2'000});
    removeKey("key-tailors");
    run(settings.limits.revokeBound);
    EXPECT_EQ(answerTo(query(id(1), "h2")).refusal->reason, RefusalReason::Unauthorised);
}

TEST_F(QueriesBesideChanges, hostWhoseFirstReadsAreRefusedAnswersSoon)
{
    kill("h2");
    store.faults.refusedReads.insert({"h2"});
    start("h2");
    run(Duration{300});
    store.faults.refusedReads.clear();
    run(Duration{300});
    EXPECT_TRUE(answerTo(query(id(1), "h2"), Duration{500}).state);
}

}
