#include "tests/domainfixture.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace sequoiastand
{

/// Two hosts and a store that executes submissions seconds after it should have answered them.
struct LateSubmissions : DomainTest
{
    LateSubmissions()
    {
        addTargets(4);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }

    static WorkflowSpecification work()
    {
        return batch(1, {1'000, 1'000, 1});
    }

    /// Submits the workflow at h2; both copies of its write are executed two seconds later, and the caller is told that the outcome is unknown.
    void submitLate(const RequestId &id)
    {
        store.faults.writesToDelay = 2;
        const auto answer = answerTo(submit(id, work(), {}, "h2"));
        ASSERT_TRUE(answer.refusal);
        ASSERT_EQ(answer.refusal->run, RequestEffect::Unknown);
        ASSERT_EQ(store.lateCalls.size(), 2U);
    }

    std::optional<RefusalReason> refusalOf(CallId call)
    {
        const auto answer = answerTo(call);
        return answer.refusal ? std::optional(answer.refusal->reason) : std::nullopt;
    }

    bool hasTombstone(const RequestId &id) const
    {
        return store.rows.contains(workflowTombstoneKey(id, {"tailors"}, {"urgent"}));
    }

    static constexpr Duration lateness{3'000}; // Longer than the delay of the late writes.
};

// Guards against running work unasked: the caller was told that the workflow does not exist, and the write of its submission takes effect afterwards.
TEST_F(LateSubmissions, submissionThatArrivesAfterItsCancellingHasNoEffect)
{
    submitLate(id(1));
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::NotFound);
    run(lateness);
    EXPECT_TRUE(store.lateCalls.empty());
    EXPECT_FALSE(storedState(id(1)));
    EXPECT_EQ(fleet.starts[id(1)], 0);
}

// Guards against a cancelling that is answered before its tombstone is stored: the store loses the first copy of the tombstone's write.
TEST_F(LateSubmissions, cancellingIsAnsweredOnlyOnceItsTombstoneIsStored)
{
    submitLate(id(1));
    answerTo(cancel(id(2), "h1")); // So that the host has a lease for tombstones.
    store.faults.callsToLose = 1;
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::NotFound);
    EXPECT_TRUE(hasTombstone(id(1)));
    run(lateness);
    EXPECT_FALSE(storedState(id(1)));
}

TEST_F(LateSubmissions, cancellingWithoutAnAnswerOfTheStoreIsNotAnsweredAsDone)
{
    answerTo(cancel(id(2), "h1"));
    store.faults.callsToLose = 2;
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::Timeout);
}

// Guards against running work unasked: a host that was suspended, or was cut off from callers, reads a submission only after the workflow was cancelled at another
// host. It cannot tell this submission from a new one.
TEST_F(LateSubmissions, submissionThatIsReadAfterItsCancellingIsRefused)
{
    submitLate(id(1));
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::NotFound);
    const auto answer = answerTo(submit(id(1), work(), {}, "h2"));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::Cancelled);
    EXPECT_EQ(answer.refusal->run, RequestEffect::NotRun);
    EXPECT_EQ(answer.refusal->retryAfter, Duration{0});
    run(lateness);
    EXPECT_FALSE(storedState(id(1)));
    EXPECT_EQ(fleet.starts[id(1)], 0);
}

// Guards against a cancelling that takes the effect of another organisation's cancelling away.
TEST_F(LateSubmissions, submissionIsRefusedAlthoughAnotherOrganisationHasCancelledTheIdSince)
{
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::NotFound);
    callerKey = "key-hotels";
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::NotFound);
    callerKey = "key-tailors";
    EXPECT_EQ(refusalOf(submit(id(1), work(), {}, "h2")), RefusalReason::Cancelled);
}

TEST_F(LateSubmissions, cancellingOnOneQueueDoesNotBlockTheIdOnAnother)
{
    EXPECT_EQ(refusalOf(cancel(id(1), "h1", "/patient/")), RefusalReason::NotFound);
    EXPECT_EQ(refusalOf(submit(id(1), work(), {}, "h2")), std::nullopt);
}

// Guards against running work unasked: a host that was suspended sends a submission again that has been cancelled meanwhile.
TEST_F(LateSubmissions, submissionInProgressIsRefusedOnceItHasBeenCancelled)
{
    store.faults.callsToLose = 1;
    const auto submission = submit(id(1), work(), {}, "h2");
    run(tick);
    pause("h2");
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::NotFound);
    resume("h2");
    const auto answer = answerTo(submission);
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::Cancelled);
    EXPECT_EQ(answer.refusal->run, RequestEffect::NotRun);
    run(lateness);
    EXPECT_FALSE(storedState(id(1)));
}

// Guards against running work unasked: a submission that has waited for a proof of the configuration may have been cancelled while it waited.
TEST_F(LateSubmissions, submissionThatHasWaitedIsRefusedOnceItHasBeenCancelled)
{
    auto &own = board("h2");
    own.view.provenAt.reset();
    own.view.currentAt.reset();
    own.view.proof.reset();
    own.view.nextProofAt = now + Duration{300}; // Short enough for the proof not to count as late, which would refuse the submission.
    const auto submission = submit(id(1), work(), {}, "h2");
    run(tick);
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::NotFound);
    EXPECT_EQ(refusalOf(submission), RefusalReason::Cancelled);
    run(lateness);
    EXPECT_FALSE(storedState(id(1)));
}

// Guards against one organisation that keeps the ids of another one from being used.
TEST_F(LateSubmissions, cancellingOfOneOrganisationDoesNotBlockTheIdOfAnother)
{
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::NotFound);
    callerKey = "key-hotels";
    EXPECT_EQ(refusalOf(submit(id(1), work(), {}, "h2")), std::nullopt);
    EXPECT_EQ(refusalOf(query(id(1), "h1")), std::nullopt);
}

TEST_F(LateSubmissions, cancellingOfAWorkflowThatIsStoredMeanwhileCancelsIt)
{
    submitLate(id(1));
    answerTo(cancel(id(2), "h1"));
    store.faults.latency = Duration{100};
    runUntil([&] { return store.lateCalls.front().due - now <= Duration{50}; }, Duration{2'000});
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), std::nullopt);
    store.faults.latency = Duration{1};
    runUntil([&] { return storedState(id(1)) == WorkflowState::Cancelled; }, Duration{2'000});
    EXPECT_FALSE(hasTombstone(id(1)));
}

// Guards against a flood of cancellings of unknown workflows that takes the store's write calls from other callers.
TEST_F(LateSubmissions, floodOfUnknownCancellingsIsBounded)
{
    std::vector<CallId> calls;
    for (int number = 1; number <= 200; ++number) {
        calls.push_back(cancel(id(number), "h1"));
    }
    const auto accepted = submit(id(500), work(), {}, "h1");
    const auto before = now;
    EXPECT_FALSE(answerTo(accepted).refusal);
    std::vector<Refusal> refusals;
    std::ranges::transform(calls, std::back_inserter(refusals), [&](CallId call) { return *answerTo(call).refusal; });
    const auto done = std::ranges::count(refusals, RefusalReason::NotFound, &Refusal::reason);
    EXPECT_EQ(done, settings.limits.maxTombstoneBurst + 1);
    EXPECT_TRUE(std::ranges::all_of(refusals, [](const Refusal &refusal) {
        return refusal.reason == RefusalReason::NotFound || (refusal.reason == RefusalReason::QuotaExceeded && refusal.retryAfter > Duration{0});
    }));
    EXPECT_LT(now - before, Duration{100});
    EXPECT_FALSE(answerTo(cancel(id(500), "h1")).refusal) << "a workflow that exists can be cancelled all the same";
    run(Duration{5'000});
    EXPECT_EQ(refusalOf(cancel(id(300), "h1")), RefusalReason::NotFound);
}

// Guards against tombstones that stay in the store for good, and against those that end while a write may still be late.
TEST_F(LateSubmissions, tombstoneLivesForAtLeastHalfItsLease)
{
    settings.limits.tombstoneLease = Duration{8'000};
    kill("h1");
    start("h1");
    run(Duration{1'000});
    answerTo(cancel(id(1), "h1"));
    run(Duration{3'800});
    answerTo(cancel(id(2), "h1"));
    run(Duration{3'800});
    answerTo(cancel(id(3), "h1"));
    EXPECT_TRUE(hasTombstone(id(2)));
    run(Duration{3'900});
    EXPECT_FALSE(hasTombstone(id(1)));
    EXPECT_TRUE(hasTombstone(id(3)));
    run(Duration{8'000});
    EXPECT_FALSE(hasTombstone(id(3)));
}

TEST_F(LateSubmissions, cancellingWithoutALeaseIsRefusedAtOnce)
{
    store.faults.cutOff.insert({"h1"});
    const auto before = now;
    EXPECT_EQ(refusalOf(cancel(id(1), "h1")), RefusalReason::StoreUnavailable);
    EXPECT_LT(now - before, Duration{300});
}

TEST_F(LateSubmissions, cancellingAfterTheStoreHasEndedTheLeaseGetsAnotherOne)
{
    answerTo(cancel(id(1), "h1"));
    store.leases.erase(board("h1").tombstones.lease);
    EXPECT_EQ(refusalOf(cancel(id(2), "h1")), RefusalReason::StoreUnavailable);
    EXPECT_EQ(refusalOf(cancel(id(2), "h1")), RefusalReason::NotFound);
    EXPECT_TRUE(hasTombstone(id(2)));
}

// Guards against a write without the condition that is executed after the caller's key was removed.
TEST_F(LateSubmissions, writeOfADecidedSubmissionHasNoEffectAfterItsKeyWasRemoved)
{
    auto &own = board("h2");
    own.view.provenAt.reset();
    own.view.currentAt.reset();
    own.view.proof.reset();
    own.view.lateProofs.clear();
    own.view.nextProofAt = now + Duration{200};
    store.faults.delay = Duration{8'000};
    store.faults.writesToDelay = 2;
    const auto call = submit(id(1), work(), {Duration{60'000}, {}}, "h2");
    runUntil([&] { return !store.lateCalls.empty(); }, Duration{2'000});
    removeKey("key-tailors");
    EXPECT_EQ(answerTo(call).refusal->run, RequestEffect::Unknown);
    run(Duration{11'000});
    EXPECT_FALSE(storedState(id(1)));
    EXPECT_EQ(fleet.starts[id(1)], 0);
}

// Guards against a refusal that says a tombstone was not written although an unanswered copy of it is stored.
TEST_F(LateSubmissions, cancellingWhoseTombstoneMayBeStoredIsNotSaidToBeNotRun)
{
    answerTo(cancel(id(2), "h2"));
    run(Duration{200});
    auto &own = board("h2");
    own.tombstones.nextAt = now + settings.limits.maxTombstoneBurst * settings.limits.tombstonePeriod;
    own.view.nextProofAt = now + Duration{900};
    own.view.proof.reset();
    store.faults.answersToLose = 50;
    const auto call = cancel(id(1), "h2");
    bool isProving = false;
    while (!isProving && !isAnswered(call)) {
        own.view.isCatchingUp = true;
        own.view.currentAt.reset();
        run(tick);
        isProving = !own.calls.isEmpty() && own.calls.rows().begin()->second.step == CallerStep::Proving && own.calls.rows().begin()->second.mayBeStored;
    }
    ASSERT_TRUE(isProving);
    store.faults.answersToLose = 0;
    own.tombstones.nextAt = now + settings.limits.maxTombstoneBurst * settings.limits.tombstonePeriod + Duration{3'000}; // Other cancellations.
    const auto refusal = answerTo(call).refusal;
    ASSERT_TRUE(refusal && hasTombstone(id(1)));
    EXPECT_TRUE(refusal->reason == RefusalReason::NotFound || refusal->run == RequestEffect::Unknown) << refusal->message;
}

}
