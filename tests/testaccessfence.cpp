#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts, of which h1 owns the domain, and callers of h2.
struct FenceOfAccess : DomainTest
{
    FenceOfAccess()
    {
        addTargets(4);
        addHost("h1");
        run(Duration{1'000});
        addHost("h2");
        run(Duration{1'000});
    }

    static WorkflowSpecification work()
    {
        return batch(1, {1'000, 1'000, 1});
    }

    Revision fenceRevision() const
    {
        const auto row = store.rows.find(accessFenceKey());
        return row == store.rows.end() ? 0 : row->second.revision;
    }

    AccessFence fence() const
    {
        return std::get<AccessFence>(store.rows.at(accessFenceKey()).record);
    }

    /// Submits at h2 and advances the time until the write has been sent.
    CallId submitAndSend(int number)
    {
        const auto call = submit(id(number), work(), {}, "h2");
        runUntil([&] { return findCall(call).call.has_value(); }, Duration{3'000});
        return call;
    }

    OpenCallerCall findCall(CallId call)
    {
        const auto found = board("h2").calls.rows().find(call);
        return found == board("h2").calls.rows().end() ? OpenCallerCall{} : found->second;
    }

    /// Lets the configuration that h2 knows decide the calls that it receives from now on, as if a proof had just been confirmed.
    void proveAhead()
    {
        board("h2").view.currentAt = now + Duration{60'000};
    }

    /// Hides changes of the configuration and the fence from h2 except by the conflicts of its writes.
    void silenceWatches()
    {
        store.faults.silentWatches = {{{"h2"}, "config/"}, {{"h2"}, domainOwnerKey().path}};
        board("h2").view.nextProofAt = now + Duration{1'000};
    }

    static constexpr Duration lateness{4'000};
};

TEST_F(FenceOfAccess, fenceIsReplacedOnlyForWithdrawals)
{
    const auto first = fenceRevision();
    ASSERT_GT(first, 0);
    setKey("key-new", "hotels");
    run(Duration{500});
    EXPECT_EQ(fenceRevision(), first);
    removeKey("key-new");
    run(Duration{500});
    EXPECT_GT(fenceRevision(), first);
    EXPECT_EQ(fence().configuration, store.rows.at(queueConfigurationKey()).revision);
    EXPECT_EQ(board("h2").accessFence.revision, fenceRevision());
}

// Guards against a key that moves to another organisation: a late copy would run at the expense of the former one.
TEST_F(FenceOfAccess, lateCopyIsNotStoredForTheFormerOrganisationOfItsKey)
{
    proveAhead();
    store.faults.delay = lateness;
    store.faults.writesToDelay = 2;
    const auto call = submit(id(1), work(), {Duration{60'000}, {}}, "h2");
    runUntil([&] { return store.lateCalls.size() == 2; }, Duration{500});
    setKey("key-tailors", "hotels");
    answerTo(call);
    run(2 * lateness);
    const auto row = store.rows.find(workflowProgressKey(id(1)));
    EXPECT_TRUE(row == store.rows.end() || std::get<WorkflowProgress>(row->second.record).organisation == OrganisationId{"hotels"});
}

// Guards against submissions that are refused or wait because their host knows no fence yet.
TEST_F(FenceOfAccess, submissionWithoutAKnownFenceIsConditionalOnTheConfiguration)
{
    proveAhead();
    board("h2").accessFence = {};
    const auto call = submitAndSend(1);
    EXPECT_FALSE(findCall(call).isFenced);
    EXPECT_EQ(findCall(call).requiredRevision, board("h2").view.revision);
    EXPECT_FALSE(answerTo(call).refusal);
}

// Guards against a submission that fails because the fence is replaced for another caller's key while its write is under way.
TEST_F(FenceOfAccess, submissionWhoseFenceIsReplacedIsSentAgainAndAccepted)
{
    setKey("key-other", "hotels");
    run(Duration{1'500});
    silenceWatches();
    proveAhead();
    removeKey("key-other");
    runUntil([&] { return board("h1").accessFence.fence.configuration == store.rows.at(queueConfigurationKey()).revision; }, Duration{1'000});
    const auto call = submitAndSend(1);
    EXPECT_TRUE(findCall(call).isFenced);
    EXPECT_FALSE(answerTo(call).refusal);
    EXPECT_EQ(store.appliedWrites.at(workflowKey(id(1))), 1);
}

// Guards against a host that uses the fence of a withdrawal which it has not received: the condition would hold although the key has been removed.
TEST_F(FenceOfAccess, hostThatDoesNotKnowTheFencedConfigurationWaitsForIt)
{
    silenceWatches();
    store.faults.silentWatches.erase({{"h2"}, domainOwnerKey().path});
    proveAhead();
    removeKey("key-tailors");
    runUntil([&] { return board("h2").accessFence.fence.configuration > board("h2").view.revision; }, Duration{500});
    const auto answer = answerTo(submit(id(1), work(), {}, "h2"));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::Unauthorised);
    EXPECT_FALSE(storedState(id(1)));
}

// Guards against a refusal that says a submission has not run: a copy that was conditional on the configuration may still be executed after the fence changed.
TEST_F(FenceOfAccess, copyWithAnotherConditionMayStillBeStored)
{
    setKey("key-other", "hotels");
    run(Duration{1'500});
    proveAhead();
    const auto fenced = board("h2").accessFence;
    board("h2").accessFence = {};
    store.faults.delay = lateness;
    store.faults.writesToDelay = 1;
    const auto call = submit(id(1), work(), {}, "h2");
    runUntil([&] { return !store.lateCalls.empty(); }, Duration{500});
    board("h2").accessFence = {fenced.revision - 1, fenced.fence, {}, {}, {}};
    runUntil([&] { return findCall(call).isFenced || isAnswered(call); }, Duration{500});
    EXPECT_TRUE(findCall(call).hasUnfencedCopy);
    runUntil([&] { return board("h2").accessFence.revision == fenceRevision(); }, Duration{500});
    EXPECT_TRUE(findCall(call).mayBeStored || isAnswered(call));
    EXPECT_FALSE(answerTo(call).refusal);
    run(lateness);
    EXPECT_EQ(store.appliedWrites.at(workflowKey(id(1))), 1);
}

// Guards against a withdrawal that is never fenced because the domain had no owner, or the owner's write was lost.
TEST_F(FenceOfAccess, nextOwnerFencesAWithdrawalAlthoughItsFirstWriteIsLost)
{
    kill("h1");
    removeKey("key-tailors");
    const auto before = fenceRevision();
    runUntil([&] { return owner() == "h2"; }, Duration{5'000});
    store.faults.callsToLose = 1;
    run(Duration{1'000});
    EXPECT_GT(fenceRevision(), before);
    EXPECT_EQ(fence().configuration, store.rows.at(queueConfigurationKey()).revision);
}

// Guards against submissions that conflict again and again because the fence's key has been removed.
TEST_F(FenceOfAccess, submissionIsAcceptedAndTheFenceWrittenAgainAfterItsKeyWasRemoved)
{
    silenceWatches();
    proveAhead();
    removeRow(store, accessFenceKey(), now);
    EXPECT_FALSE(answerTo(submit(id(1), work(), {}, "h2")).refusal);
    run(Duration{1'000});
    EXPECT_GT(fenceRevision(), 0);
}

}
