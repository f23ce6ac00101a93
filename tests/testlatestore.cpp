#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Hosts whose store answers each call late, but always.
struct LateStore : DomainTest, testing::WithParamInterface<int>
{
    static constexpr Resources smallTask{4'000, 8'000, 1};
    static constexpr Duration work{500};
    static constexpr Duration jobPause{500};

    LateStore()
    {
        addTargets(16);
        addHost("h1");
        addHost("h2");
        run(Duration{3'000});
    }

    static Duration latency()
    {
        return Duration{GetParam()};
    }

    void submitJobs(int first, int count)
    {
        for (int number = first; number < first + count; ++number) {
            submit(id(number), batch(1, smallTask, work), {.work = work}, "h2", "/ordinary/");
            run(jobPause);
        }
    }

    int started(int first, int count) const
    {
        int number = 0;
        for (int job = first; job < first + count; ++job) {
            number += fleet.starts.contains(id(job)) ? 1 : 0;
        }
        return number;
    }
};

// Guards against proofs and commits that are given up before a late answer, so that nothing is placed as long as the store is late.
TEST_P(LateStore, jobsAreStarted)
{
    store.faults.latency = latency();
    submitJobs(1, 20);
    run(Duration{4'000});
    EXPECT_EQ(started(1, 20), 20);
}

// Guards against a host that refuses callers because it counts a late store as unreachable.
TEST_P(LateStore, hostsStayReady)
{
    store.faults.latency = latency();
    run(Duration{3'000});
    for (int check = 0; check < 100; ++check) {
        run(Duration{50});
        EXPECT_TRUE(isReady(board("h1")) && isReady(board("h2"))) << "after " << check * 50 << " ms";
    }
}

// Guards against a domain without an owner, because a claim is given up, or its lease lapses, before late answers.
TEST_P(LateStore, domainIsClaimedAfterItsOwnerHasCrashed)
{
    store.faults.latency = latency();
    run(Duration{3'000});
    const auto former = owner();
    const std::string other = former == "h1" ? "h2" : "h1";
    kill(former);
    runUntil([&] { return hasAuthority(board(other)); }, settings.limits.ownerLease + 6 * latency());
}

// Guards against an owner that starts work with a configuration that was confirmed too long ago.
TEST_P(LateStore, proofCountsFromItsSending)
{
    store.faults.latency = latency();
    run(Duration{5'000});
    store.faults.isDown = true;
    const auto downAt = now;
    run(settings.limits.maxProofAge + tick);
    EXPECT_FALSE(isProofFresh(board("h1")));
    EXPECT_LE(*board("h1").view.provenAt, downAt);
}

// Guards against the late conflict of a proof that undoes what a watch has reported since the proof was sent.
TEST_P(LateStore, newerEvacuationOutlivesTheConflictOfAnOlderProof)
{
    constexpr Duration watchLatency{300};
    const auto &view = board(owner() == "h1" ? "h2" : "h1").view; // The owner reads again at times, because its targets seldom write here.
    evacuate("a");
    store.faults.latency = latency();
    run(Duration{5'000});
    store.faults.watchLatency = watchLatency;
    runUntil([&] { return !view.proof && now + Duration{50} >= view.nextProofAt; }, Duration{3'000});
    returnZone("a");
    runUntil([&] { return view.proof.has_value(); }, Duration{100});
    evacuate("a");
    run(watchLatency + 2 * tick);
    for (const auto end = now + Duration{2'000}; now < end;) {
        EXPECT_TRUE(view.evacuated.contains({"a"}));
        run(tick);
    }
}

INSTANTIATE_TEST_SUITE_P(Latencies, LateStore, testing::Values(500, 700, 900));

}
