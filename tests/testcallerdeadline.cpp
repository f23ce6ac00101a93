#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts, of which h1 owns the domain and h2 is asked: how calls that cannot be served end before their callers' deadlines.
struct CallerDeadline : DomainTest
{
    CallerDeadline()
    {
        addTargets(4);
        addHost("h1");
        run(Duration{500});
        addHost("h2");
        run(Duration{1'500});
    }

    /// Leaves the host without a proof, and sends the next one after the delay.
    void delayProof(Duration delay, const std::string &host = "h2")
    {
        auto &view = board(host).view;
        view.provenAt.reset();
        view.currentAt.reset();
        view.proof.reset();
        view.lateProofs.clear();
        view.nextProofAt = now + delay;
    }

    /// Checks that the call is refused before the caller's deadline; the call has just been sent.
    Refusal refusalInTime(CallId call)
    {
        const auto sentAt = now;
        run(callerTimeout - tick);
        EXPECT_TRUE(isAnswered(call)) << "no answer within " << callerTimeout.count() << " ms";
        const auto answer = answerTo(call);
        EXPECT_TRUE(answer.refusal) << "answered after " << (now - sentAt).count() << " ms";
        return answer.refusal.value_or(Refusal{});
    }

    static WorkflowSpecification work()
    {
        return batch(1, {1'000, 1'000, 1});
    }

    static constexpr Duration never{60'000};
};

// Guards against a refusal after the deadline of a caller that waits only briefly: the other hosts were asked after the call's time had ended.
TEST_F(CallerDeadline, submissionWithShortTimeoutWithoutAProofIsRefusedInTime)
{
    callerTimeout = Duration{100};
    readinessDelay = never;
    delayProof(never);
    EXPECT_EQ(refusalInTime(submit(id(1), work(), {}, "h2")).run, RequestEffect::NotRun);
}

// Guards against the same in each of the other steps of a call.
TEST_F(CallerDeadline, queryWithShortTimeoutIsRefusedInTimeWhileTheStateIsRead)
{
    callerTimeout = Duration{100};
    readinessDelay = never;
    store.faults.answersToDrop = 1'000;
    EXPECT_EQ(refusalInTime(query(id(1), "h2")).reason, RefusalReason::StoreUnavailable);
}

TEST_F(CallerDeadline, countWithShortTimeoutIsRefusedInTimeWhileTheSummaryIsRead)
{
    callerTimeout = Duration{100};
    readinessDelay = never;
    board("h2").summary.readAt.reset();
    store.faults.answersToDrop = 1'000;
    EXPECT_EQ(refusalInTime(countWaiting("/urgent/", "h2")).reason, RefusalReason::StoreUnavailable);
}

TEST_F(CallerDeadline, submissionWithShortTimeoutIsRefusedInTimeWhileItIsWritten)
{
    callerTimeout = Duration{100};
    readinessDelay = never;
    store.faults.answersToDrop = 1'000;
    const auto refusal = refusalInTime(submit(id(1), work(), {}, "h2"));
    EXPECT_EQ(refusal.reason, RefusalReason::Timeout);
    EXPECT_EQ(refusal.run, RequestEffect::Unknown);
}

TEST_F(CallerDeadline, cancellationWithShortTimeoutIsRefusedInTimeWhileItsTombstoneIsWritten)
{
    callerTimeout = Duration{100};
    readinessDelay = never;
    const auto call = cancel(id(1), "h2");
    run(2 * tick);
    ASSERT_EQ(board("h2").calls.rows().begin()->second.step, CallerStep::WritingTombstone);
    store.faults.answersToDrop = 1'000;
    callerTimeout -= 2 * tick;
    refusalInTime(call);
}

TEST_F(CallerDeadline, callWhoseStoreAnswersTooLateIsRefusedInTimeByAHostThatAsksOthers)
{
    // The read fails shortly before the caller's deadline, so there is no time left to wait for the other hosts.
    callerTimeout = settings.limits.storeTimeout + Duration{200};
    readinessDelay = never;
    store.faults.answersToDrop = 1'000;
    refusalInTime(query(id(1), "h2"));
}

// Guards against a refusal after the deadline on a host without processor time, whose timers fire late.
TEST_F(CallerDeadline, callIsRefusedInTimeByAHostWithLag)
{
    readinessDelay = never;
    slowDown("h2", Duration{300});
    run(Duration{5'000});
    delayProof(never);
    EXPECT_EQ(refusalInTime(submit(id(1), work(), {}, "h2")).run, RequestEffect::NotRun);
}

TEST_F(CallerDeadline, callIsRefusedInTimeByAHostWhoseLagBeginsAfterTheCall)
{
    readinessDelay = never;
    delayProof(never);
    const auto call = submit(id(1), work(), {}, "h2");
    run(tick);
    slowDown("h2", Duration{300});
    board("h2").lag = {Duration{300}, Duration{300}, now};
    callerTimeout -= tick;
    EXPECT_EQ(refusalInTime(call).run, RequestEffect::NotRun);
}

// Guards against a retry delay that ignores ready hosts, because these were asked too late for their answers.
TEST_F(CallerDeadline, refusalAtTheEndOfTheTimeNamesAReadyHost)
{
    callerTimeout = Duration{600};
    readinessDelay = Duration{100};
    store.faults.answersToDrop = 1'000;
    EXPECT_LT(refusalInTime(submit(id(1), work(), {}, "h2")).retryAfter, Duration{100});
}

TEST_F(CallerDeadline, queryWithShortTimeoutIsServedByAHostThatCanAnswerInTime)
{
    ASSERT_FALSE(answerTo(submit(id(1), work())).refusal);
    callerTimeout = Duration{100};
    EXPECT_FALSE(answerTo(query(id(1), "h2"), callerTimeout).refusal);
}

// Guards against keeping a caller until its deadline although another host could serve it.
TEST_F(CallerDeadline, callWhoseProofIsLateIsRefusedSoonIfAnotherHostIsReady)
{
    delayProof(never);
    const auto before = now;
    const auto refusal = answerTo(submit(id(1), work(), {}, "h2")).refusal;
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->run, RequestEffect::NotRun);
    EXPECT_LT(refusal->retryAfter, Duration{100});
    EXPECT_LT(now - before, settings.limits.storeTimeout + Duration{50});
}

// Guards against keeping callers longer the later the store answers their host.
TEST_F(CallerDeadline, callWhoseProofIsLateIsRefusedSoonByAHostWithALateStore)
{
    delayProof(never);
    const Duration late{1'000};
    board("h2").storeAnswers = {late, late};
    const auto before = now;
    ASSERT_TRUE(answerTo(submit(id(1), work(), {}, "h2")).refusal);
    EXPECT_LT(now - before, settings.limits.storeTimeout + Duration{50});
}

TEST_F(CallerDeadline, callIsServedAfterTheGapOfOneLateProof)
{
    delayProof(settings.limits.storeTimeout - Duration{50});
    EXPECT_FALSE(answerTo(submit(id(1), work(), {}, "h2")).refusal);
}

// Guards against hosts that refuse in turn, so that callers use up their retries while a proof would have come in time.
TEST_F(CallerDeadline, callWaitsForItsProofWhileNoHostIsReady)
{
    addHost("h3", "b");
    run(Duration{1'500});
    const std::vector<std::string> hosts{"h1", "h2", "h3"};
    std::vector<CallId> calls;
    for (const auto &host : hosts) {
        delayProof(Duration{1'500}, host);
        calls.push_back(submit(id(static_cast<int>(calls.size()) + 1), work(), {}, host));
    }
    std::ranges::for_each(calls, [this](CallId call) { EXPECT_FALSE(answerTo(call).refusal); });
}

TEST_F(CallerDeadline, callWaitsForItsProofWhileMostHostsAreNotReady)
{
    addHost("h3", "b");
    addHost("h4", "b");
    run(Duration{1'500});
    delayProof(Duration{2'500}, "h3");
    delayProof(Duration{2'500}, "h4");
    delayProof(Duration{1'500});
    EXPECT_FALSE(answerTo(submit(id(1), work(), {}, "h2")).refusal);
}

TEST_F(CallerDeadline, callWhoseProofIsLateIsRefusedOnceAnotherHostIsReady)
{
    delayProof(Duration{1'000}, "h1");
    delayProof(never);
    const auto before = now;
    const auto refusal = answerTo(submit(id(1), work(), {}, "h2")).refusal;
    ASSERT_TRUE(refusal);
    EXPECT_LT(refusal->retryAfter, Duration{100});
    EXPECT_LT(now - before, Duration{1'000} + settings.limits.readinessAge + Duration{50});
}

// Guards against a planned stop that cuts off calls which wait for a proof.
TEST_F(CallerDeadline, callThatWaitsForItsProofAtAPlannedStopIsAnsweredBeforeTheHostIsIdle)
{
    delayProof(Duration{1'000}, "h1");
    delayProof(Duration{1'000});
    const auto call = submit(id(1), work(), {}, "h2");
    run(tick);
    requestStop("h2");
    run(2 * tick);
    EXPECT_FALSE(isIdle(board("h2")));
    EXPECT_FALSE(answerTo(call).refusal);
    EXPECT_TRUE(isIdle(board("h2")));
}

}
