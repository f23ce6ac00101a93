#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts: effects of changed API keys and of a lost connection to the store on callers.
struct CallerProof : DomainTest
{
    CallerProof()
    {
        addTargets(4);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }

    std::optional<RefusalReason> refusalOf(CallId call)
    {
        const auto answer = answerTo(call);
        return answer.refusal ? std::optional(answer.refusal->reason) : std::nullopt;
    }
};

TEST_F(CallerProof, unknownKeyIsRefusedAndAnonymousQueueNeedsNone)
{
    removeKey("key-tailors");
    run(Duration{500});
    EXPECT_EQ(refusalOf(submit(id(1), batch(1, {1'000, 1'000, 1}))), RefusalReason::Unauthorised);
    auto open = configuration.queues.at({"urgent"});
    open.isAnonymous = true;
    setQueue(open);
    run(Duration{500});
    EXPECT_EQ(refusalOf(submit(id(2), batch(1, {1'000, 1'000, 1}))), std::nullopt);
}

TEST_F(CallerProof, removedKeyIsRefusedEverywhereAfterTheRevocationBound)
{
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1})));
    store.faults.cutOff.insert({"h2"});
    run(Duration{50});
    removeKey("key-tailors");
    run(settings.limits.revokeBound);
    EXPECT_TRUE(refusalOf(query(id(1), "h1")));
    EXPECT_TRUE(refusalOf(query(id(1), "h2")));
}

// Guards against a host that serves with the configuration it knew before its restart.
TEST_F(CallerProof, keyThatWasRemovedWhileAHostWasDownIsRefusedAfterItsRestart)
{
    kill("h2");
    run(Duration{500});
    removeKey("key-tailors");
    run(settings.limits.revokeBound);
    store.faults.watchLatency = Duration{2'000};
    start("h2");
    for (int number = 1; number <= 20; ++number) {
        EXPECT_TRUE(refusalOf(submit(id(number), batch(1, {1'000, 1'000, 1}), {}, "h2"))) << number;
    }
}

TEST_F(CallerProof, removedKeyCannotSubmitEvenRightAfterItsRemoval)
{
    // The watch has not reported the change yet, but the condition of the submission fails.
    store.faults.watchLatency = Duration{2'000};
    removeKey("key-tailors");
    EXPECT_EQ(refusalOf(submit(id(1), batch(1, {1'000, 1'000, 1}))), RefusalReason::Unauthorised);
    EXPECT_FALSE(storedState(id(1)));
}

TEST_F(CallerProof, suspendedHostProvesItsConfigurationBeforeItAnswers)
{
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1})));
    pause("h2");
    removeKey("key-tailors");
    run(Duration{6'000});
    store.faults.watchLatency = Duration{2'000};
    const auto call = query(id(1), "h2");
    resume("h2");
    EXPECT_EQ(refusalOf(call), RefusalReason::Unauthorised);
}

TEST_F(CallerProof, hostWithoutTheStoreRefusesAtOnceAndIsNotReady)
{
    store.faults.cutOff.insert({"h2"});
    run(Duration{2'500});
    EXPECT_FALSE(isReady(board("h2")));
    EXPECT_TRUE(isReady(board("h1")));
    const auto before = now;
    const auto answer = answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {}, "h2"));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::StoreUnavailable);
    EXPECT_EQ(answer.refusal->run, RequestEffect::NotRun);
    EXPECT_GT(answer.refusal->retryAfter, Duration{0});
    EXPECT_LT(now - before, Duration{50});
    store.faults.cutOff.clear();
    run(Duration{500});
    EXPECT_TRUE(isReady(board("h2")));
}

TEST_F(CallerProof, callerIsToldToRetryAtOnceOnlyIfAnotherHostIsReady)
{
    store.faults.cutOff.insert({"h2"});
    run(Duration{2'500});
    EXPECT_LT(answerTo(query(id(1), "h2")).refusal->retryAfter, Duration{100});
    store.faults.isDown = true;
    run(Duration{2'500});
    EXPECT_GE(answerTo(query(id(1), "h2")).refusal->retryAfter, Duration{1'000});
}

TEST_F(CallerProof, submissionWithoutAnswersIsRefusedEarly)
{
    // Guards against keeping a caller waiting until its deadline although another host could serve it.
    store.faults.answersToDrop = 1'000;
    const auto before = now;
    const auto call = submit(id(1), batch(1, {1'000, 1'000, 1}), {}, "h2");
    const auto answer = answerTo(call);
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->run, RequestEffect::Unknown);
    EXPECT_LT(now - before, Duration{1'200});
}

TEST_F(CallerProof, submissionWhoseAnswerWasLostIsAcceptedOnce)
{
    store.faults.answersToLose = 1;
    EXPECT_EQ(refusalOf(submit(id(1), batch(1, {1'000, 1'000, 1}))), std::nullopt);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{5'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

// Guards against telling a caller that its request may have run although nothing has been sent to the store, which costs the caller a retry.
TEST_F(CallerProof, submissionWhoseTimeEndsBeforeItIsSentIsAnsweredAsNotRun)
{
    auto &own = board("h1");
    own.view.provenAt.reset();
    own.view.currentAt.reset();
    own.view.proof.reset();
    own.view.nextProofAt = now + Duration{2'000};
    const auto call = submit(id(1), batch(1, {1'000, 1'000, 1}));
    run(tick);
    ASSERT_EQ(own.calls.rows().size(), 1U);
    auto open = own.calls.rows().begin()->second;
    open.answerBy = now + Duration{50};
    own.calls.put(open.request.id, open);
    const auto answer = answerTo(call);
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::StoreUnavailable);
    EXPECT_EQ(answer.refusal->run, RequestEffect::NotRun);
    run(Duration{3'000});
    EXPECT_FALSE(storedState(id(1)));
}

TEST_F(CallerProof, submissionThatMayStillBeStoredIsAnsweredAsUnknown)
{
    // The store executes the first transaction two seconds late, and is down when the host repeats the transaction.
    store.faults.writesToDelay = 1;
    const auto call = submit(id(1), batch(1, {1'000, 1'000, 1}), {}, "h2");
    run(tick);
    store.faults.isDown = true;
    const auto answer = answerTo(call);
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->run, RequestEffect::Unknown);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::Timeout);
}

// Guards against a call that is never answered, because its host reads the other hosts' answers too late to use them.
TEST_F(CallerProof, refusalIsAnsweredByAHostThatReadsReadinessAnswersLate)
{
    store.faults.cutOff.insert({"h2"});
    run(Duration{2'500});
    slowDown("h2", settings.limits.readinessAge + Duration{100});
    const auto call = query(id(1), "h2");
    run(Duration{2'000});
    EXPECT_TRUE(isAnswered(call));
}

// Guards against a count that is answered after the caller's deadline, and against a host that runs without a pause until then.
TEST_F(CallerProof, countIsRefusedInTimeWhileTheSummaryIsBeingRead)
{
    board("h2").summary.readAt.reset();
    store.faults.answersToDrop = 1'000;
    const auto call = countWaiting("/urgent/", "h2");
    run(tick);
    ASSERT_EQ(board("h2").calls.rows().size(), 1U);
    auto open = board("h2").calls.rows().begin()->second;
    ASSERT_EQ(open.step, CallerStep::Reading);
    open.answerBy = now + Duration{50};
    board("h2").calls.put(open.request.id, open);
    run(Duration{300});
    EXPECT_TRUE(isAnswered(call));
}

// Guards against serving with a key that was withdrawn by a configuration that cannot be decoded: the answer to the proof doesn't show the present keys.
TEST_F(CallerProof, hostThatCannotDecodeTheNewestConfigurationServesNobody)
{
    store.faults.undecodable.insert(queueConfigurationKey());
    removeKey("key-tailors");
    run(settings.limits.revokeBound);
    EXPECT_FALSE(isReady(board("h1")));
    const auto before = now;
    const auto answer = answerTo(submit(id(1), batch(1, {1'000, 1'000, 1})));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::StoreUnavailable);
    EXPECT_LT(now - before, Duration{500}) << "the refusal is known at once";
    store.faults.undecodable.clear();
    setKey("key-tailors", "tailors");
    run(Duration{1'000});
    EXPECT_TRUE(isReady(board("h1")));
    EXPECT_EQ(refusalOf(submit(id(2), batch(1, {1'000, 1'000, 1}))), std::nullopt);
}

// Guards against stopping the work of a domain whose newest configuration cannot be decoded.
TEST_F(CallerProof, workGoesOnWhileTheNewestConfigurationCannotBeDecoded)
{
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{8'000}, {}}));
    run(Duration{1'000});
    store.faults.undecodable.insert(queueConfigurationKey());
    setKey("key-late", "hotels");
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{9'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

TEST_F(CallerProof, configurationReceivedByTheWatchIsEnoughToServe)
{
    // A host may start before the operators have written a configuration.
    kill("h2");
    removeRow(store, queueConfigurationKey(), now);
    start("h2");
    run(Duration{500});
    EXPECT_FALSE(isReady(board("h2")));
    setKey("key-late", "hotels");
    run(Duration{1'500});
    EXPECT_TRUE(isReady(board("h2")));
}

TEST_F(CallerProof, newQueueServesWithinASecondAndRemovedQueueIsUnknown)
{
    auto queue = configuration.queues.at({"urgent"});
    queue.id = {"extra"};
    queue.prefix = "/extra/";
    setQueue(queue);
    run(Duration{1'000});
    EXPECT_EQ(refusalOf(countWaiting("/extra/", "h2")), std::nullopt);
    configuration.queues.erase({"extra"});
    setKey("key-tailors", "tailors");
    run(Duration{1'000});
    EXPECT_EQ(refusalOf(countWaiting("/extra/", "h2")), RefusalReason::UnknownQueue);
}

TEST_F(CallerProof, lowerVersionOfTheConfigurationIsNotApplied)
{
    const auto present = board("h1").view.configuration.version;
    configuration.version = present - 2;
    configuration.keys.clear();
    setKey("key-other", "hotels");
    run(Duration{1'500});
    EXPECT_EQ(board("h1").view.configuration.version, present);
}

TEST_F(CallerProof, callersAreRefusedAtOnceAfterTwoUnansweredProofs)
{
    // Guards against sending submissions to a store that does not answer, after which they count as possibly accepted.
    store.faults.answersToDrop = 1'000'000;
    const auto &limits = settings.limits;
    run(limits.proofPeriod + 2 * limits.storeTimeout + limits.storeRetry + Duration{100});
    const auto before = now;
    const auto answer = answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {}, "h2"));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::StoreUnavailable);
    EXPECT_EQ(answer.refusal->run, RequestEffect::NotRun);
    EXPECT_LT(now - before, Duration{50});
    EXPECT_FALSE(storedState(id(1)));
}

TEST_F(CallerProof, hostResumedWhileTheStoreDoesNotAnswerServesSoonAfterTheStoreIsBack)
{
    // Guards against counting a suspension as timer lag: in seed 139 of the soak, a resumed host therefore extended the timeout of each call by 15 s, and
    // served nobody until its unanswered calls had timed out.
    pause("h2");
    run(Duration{7'500});
    store.faults.answersToDrop = 1'000'000;
    resume("h2");
    run(Duration{1'500});
    const auto before = now;
    EXPECT_EQ(refusalOf(query(id(1), "h2")), RefusalReason::StoreUnavailable);
    EXPECT_LT(now - before, Duration{50});
    store.faults.answersToDrop = 0;
    run(settings.limits.storeTimeout + settings.limits.storeRetry + Duration{300});
    EXPECT_TRUE(isReady(board("h2")));
}

// Guards against reading the summary at every step, for as long as none is stored, until the caller's deadline.
TEST_F(CallerProof, countWithoutAStoredSummaryWaitsBetweenReads)
{
    kill("h1");
    kill("h2");
    removeRow(store, domainSummaryKey(), now);
    start("h2");
    run(Duration{100});
    const auto callsBefore = store.calls;
    const auto call = countWaiting("/urgent/", "h2");
    constexpr int retries = 4;
    run(retries * settings.limits.storeRetry);
    constexpr int otherCalls = 6;
    EXPECT_LE(store.calls - callsBefore, retries + otherCalls);
    EXPECT_FALSE(isAnswered(call));
    EXPECT_FALSE(answerTo(call).refusal) << "the owner has stored a summary by then";
}

}
