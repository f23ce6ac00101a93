#include "tests/domainfixture.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace sequoiastand
{

/// One host, which owns the domain, and callers whose queries read the store.
struct CallerReads : DomainTest
{
    CallerReads()
    {
        addTargets(4);
    }

    void startHost(int maxReads)
    {
        settings.limits.maxCallerReads = maxReads;
        addHost("h1");
        run(Duration{2'000});
    }

    std::vector<CallId> queryUnknown(int count)
    {
        std::vector<CallId> calls;
        for (int number = 1; number <= count; ++number) {
            calls.push_back(query(id(number)));
        }
        return calls;
    }

    /// Number of the calls that were refused for the reason. All of them must have been answered.
    long refused(const std::vector<CallId> &calls, RefusalReason reason)
    {
        return std::ranges::count_if(calls, [&](CallId call) {
            const auto refusal = answerTo(call, Duration{0}).refusal;
            return refusal && refusal->reason == reason;
        });
    }

    static constexpr int manyQueries = 1'400;
};

// Guards against a lease and proofs that are lost because their answers wait behind those to the reads of a crowd of callers.
TEST_F(CallerReads, ownerKeepsItsLeaseAndItsProofsBesideManyQueries)
{
    startHost(settings.limits.maxCallerReads);
    store.faults.readTime = Duration{4};
    const auto ownedSince = board("h1").ownership.actingSince;
    const auto calls = queryUnknown(manyQueries);
    std::size_t mostCalls = 0;
    for (const auto end = now + callerTimeout; now < end; run(tick)) {
        ASSERT_TRUE(hasAuthority(board("h1")) && isReady(board("h1")));
        mostCalls = std::max(mostCalls, board("h1").storeCalls.size());
    }
    EXPECT_LE(mostCalls, 2U * static_cast<std::size_t>(settings.limits.maxCallerReads));
    EXPECT_EQ(board("h1").ownership.actingSince, ownedSince);
    // The link carries the answers to about half of the reads in this time.
    const auto unknown = refused(calls, RefusalReason::NotFound);
    EXPECT_GT(unknown, manyQueries / 3);
    EXPECT_EQ(unknown + refused(calls, RefusalReason::StoreUnavailable), manyQueries);
}

TEST_F(CallerReads, queryThatHasToBeAnsweredFirstIsReadFirst)
{
    startHost(2);
    store.faults.latency = Duration{200};
    const auto patient = queryUnknown(6);
    run(2 * tick);
    callerTimeout = Duration{800};
    const auto urgent = query(id(7));
    EXPECT_EQ(answerTo(urgent, callerTimeout).refusal->reason, RefusalReason::NotFound);
    EXPECT_EQ(std::ranges::count_if(patient, [this](CallId call) { return isAnswered(call); }), 3);
}

TEST_F(CallerReads, queriesThatWaitForTheSameWorkflowShareARead)
{
    startHost(2);
    store.faults.latency = Duration{100};
    const auto before = store.calls;
    std::vector<CallId> calls{query(id(1)), query(id(2))};
    std::generate_n(std::back_inserter(calls), manyQueries, [this] { return query(id(3)); });
    std::ranges::for_each(calls, [this](CallId call) { EXPECT_EQ(answerTo(call).refusal->reason, RefusalReason::NotFound); });
    EXPECT_LT(store.calls - before, 20);
}

// Guards against an answer that is older than its query, which may contradict what the caller has learned before.
TEST_F(CallerReads, queryIsNotAnsweredByAReadThatWasSentBefore)
{
    startHost(2);
    store.faults.latency = Duration{100};
    const auto first = query(id(1));
    run(2 * tick);
    putRow(store, workflowProgressKey(id(1)), WorkflowProgress{WorkflowState::Completed}, now);
    const auto second = query(id(1));
    EXPECT_TRUE(answerTo(first).refusal);
    EXPECT_EQ(answerTo(second).state, WorkflowState::Completed);
}

// Guards against a second read of a state that is known already, while other callers wait for their first.
TEST_F(CallerReads, queryOfAnOpenWorkflowIsReadOnceWhileOthersWait)
{
    startHost(1);
    store.faults.latency = Duration{100};
    putRow(store, workflowProgressKey(id(1)), WorkflowProgress{WorkflowState::Running}, now);
    const auto first = query(id(1));
    query(id(2));
    run(store.faults.latency + 2 * tick);
    EXPECT_TRUE(isAnswered(first));
}

// Guards against connections to the store without a limit while callers leave and others come.
TEST_F(CallerReads, readsWhoseCallersHaveLeftCountUntilTheyEnd)
{
    startHost(2);
    store.faults.latency = Duration{300};
    const auto own = board("h1").storeCalls.size();
    for (int round = 0; round < 10; ++round) {
        queryUnknown(4);
        run(2 * tick);
        const auto rows = board("h1").calls.rows();
        std::ranges::for_each(rows, [this](const auto &row) { board("h1").calls.erase(row.first); });
    }
    EXPECT_LE(board("h1").callerReads.size(), 2U);
    EXPECT_LE(board("h1").storeCalls.size(), own + 2 + 4);
}

// Guards against serving with a key that was withdrawn while the query waited.
TEST_F(CallerReads, queryThatWaitsLongerThanItsProofLastsIsNotRead)
{
    startHost(1);
    store.faults.answersToDrop = 1;
    query(id(1));
    const auto waiting = query(id(2));
    run(2 * tick);
    board("h1").view.provenAt.reset();
    board("h1").view.currentAt.reset();
    board("h1").view.nextProofAt = now + Duration{60'000};
    EXPECT_EQ(answerTo(waiting).refusal->reason, RefusalReason::StoreUnavailable);
}

}
