#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts. A change of the configuration arrives after h2 has sent the write of a submission, whose answer is lost.
struct WriteBesideAChange : DomainTest
{
    WriteBesideAChange()
    {
        addTargets(4);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
        store.faults.latency = Duration{20}; // The watch reports the change before the write is answered.
    }

    static WorkflowSpecification work()
    {
        return batch(1, {1'000, 1'000, 1});
    }

    /// Sends a submission that is stored and whose answer is lost.
    CallId submitWithLostAnswer()
    {
        store.faults.answersToLose = 1;
        const auto call = submit(id(1), work(), {Duration{60'000}, {}}, "h2");
        run(tick);
        return call;
    }

    /// Checks that the submission is either accepted or answered as possibly accepted.
    void expectNoClaimThatItHasNotRun(CallId call)
    {
        const auto answer = answerTo(call);
        ASSERT_TRUE(storedState(id(1)));
        EXPECT_TRUE(!answer.refusal || answer.refusal->run == RequestEffect::Unknown) << answer.refusal->message;
    }
};

// Each test guards against a refusal that says a stored submission never runs.
TEST_F(WriteBesideAChange, submissionWhoseKeyIsRemovedIsNotSaidToBeNotRun)
{
    const auto call = submitWithLostAnswer();
    removeKey("key-tailors");
    expectNoClaimThatItHasNotRun(call);
}

TEST_F(WriteBesideAChange, submissionWhoseQueueIsRemovedIsNotSaidToBeNotRun)
{
    const auto call = submitWithLostAnswer();
    configuration.queues.erase({"urgent"});
    setKey("key-late", "hotels");
    expectNoClaimThatItHasNotRun(call);
}

TEST_F(WriteBesideAChange, submissionLargerThanANewLimitIsNotSaidToBeNotRun)
{
    const auto call = submitWithLostAnswer();
    configuration.maxBodyBytes = 1;
    setKey("key-late", "hotels");
    expectNoClaimThatItHasNotRun(call);
}

TEST_F(WriteBesideAChange, submissionLargerThanANewCapIsNotSaidToBeNotRun)
{
    const auto call = submitWithLostAnswer();
    setCap("tailors", {{}, {}, 0});
    expectNoClaimThatItHasNotRun(call);
}

TEST_F(WriteBesideAChange, submissionSentAgainWhoseKeyIsRemovedIsNotSaidToBeNotRun)
{
    ASSERT_FALSE(answerTo(submit(id(1), work(), {Duration{60'000}, {}}, "h1")).refusal);
    const auto call = submit(id(1), work(), {Duration{60'000}, {}}, "h2");
    run(tick);
    removeKey("key-tailors");
    expectNoClaimThatItHasNotRun(call);
}

TEST_F(WriteBesideAChange, submissionSentAgainWhoseQueueIsRemovedIsNotSaidToBeNotRun)
{
    ASSERT_FALSE(answerTo(submit(id(1), work(), {Duration{60'000}, {}}, "h1")).refusal);
    const auto call = submit(id(1), work(), {Duration{60'000}, {}}, "h2");
    run(tick);
    configuration.queues.erase({"urgent"});
    setKey("key-late", "hotels");
    expectNoClaimThatItHasNotRun(call);
}

TEST_F(WriteBesideAChange, submissionWhoseKeyMovesToAnotherOrganisationIsNotSaidToBeNotRun)
{
    const auto call = submitWithLostAnswer();
    setKey("key-tailors", "hotels");
    expectNoClaimThatItHasNotRun(call);
}

TEST_F(WriteBesideAChange, submissionWhosePrefixMovesToAnotherQueueIsNotSaidToBeNotRun)
{
    const auto call = submitWithLostAnswer();
    auto other = configuration.queues.at({"urgent"});
    configuration.queues.at({"urgent"}).prefix = "/urgent-former/";
    other.id = {"urgent-2"};
    configuration.queues[{"urgent-2"}] = other;
    setKey("key-late", "hotels");
    expectNoClaimThatItHasNotRun(call);
}

}
