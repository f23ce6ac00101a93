#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts, a queue of two organisations and an anonymous queue, whose callers carry no keys.
struct CallerAccess : DomainTest
{
    CallerAccess()
    {
        addTargets(4);
        addHost("h1");
        addHost("h2");
        auto open = configuration.queues.at({"urgent"});
        open.id = {"open"};
        open.prefix = "/open/";
        open.isAnonymous = true;
        setQueue(open);
        run(Duration{1'000});
    }

    static WorkflowSpecification work(int tasks = 1)
    {
        return batch(tasks, {1'000, 1'000, 1});
    }

    /// Submits a workflow that runs for a minute.
    void submitLong(const std::string &prefix)
    {
        ASSERT_FALSE(answerTo(submit(id(1), work(), {Duration{60'000}, {}}, "h1", prefix)).refusal);
        runUntil([&] { return isAtWork(fleet, id(1)); }, Duration{1'000});
    }

    std::optional<RefusalReason> refusalOf(CallId call)
    {
        const auto answer = answerTo(call);
        return answer.refusal ? std::optional(answer.refusal->reason) : std::nullopt;
    }

    static constexpr const char *noKey = "none"; // No configuration holds this key, which an anonymous queue ignores.
};

// Guards against showing an organisation's work to a caller without a key: any id could be named under the prefix of an anonymous queue.
TEST_F(CallerAccess, anonymousQueryDoesNotReachTheWorkOfAnotherQueue)
{
    submitLong("/urgent/");
    callerKey = noKey;
    EXPECT_EQ(refusalOf(query(id(1), "h1", "/open/")), RefusalReason::NotFound);
    EXPECT_EQ(refusalOf(query(id(1), "h2", "/open/")), RefusalReason::NotFound);
}

// Guards against stopping an organisation's work for a caller without a key.
TEST_F(CallerAccess, anonymousCancellationDoesNotReachTheWorkOfAnotherQueue)
{
    submitLong("/urgent/");
    callerKey = noKey;
    EXPECT_EQ(refusalOf(cancel(id(1), "h1", "/open/")), RefusalReason::NotFound);
    EXPECT_EQ(refusalOf(cancel(id(1), "h2", "/open/")), RefusalReason::NotFound);
    run(Duration{1'000});
    EXPECT_EQ(storedState(id(1)), WorkflowState::Running);
    EXPECT_TRUE(isAtWork(fleet, id(1)));
}

TEST_F(CallerAccess, workOfAnAnonymousQueueIsReachedThereWithoutAKey)
{
    callerKey = noKey;
    submitLong("/open/");
    EXPECT_EQ(refusalOf(query(id(1), "h2", "/open/")), std::nullopt);
    EXPECT_EQ(refusalOf(cancel(id(1), "h2", "/open/")), std::nullopt);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Cancelled; }, Duration{1'000});
}

// Guards against losing sight of accepted work: a key that the caller carried on an anonymous queue may be withdrawn.
TEST_F(CallerAccess, workOfAnAnonymousQueueIsReachedThereAfterItsKeyWasRemoved)
{
    submitLong("/open/");
    removeKey("key-tailors");
    run(Duration{500});
    EXPECT_EQ(refusalOf(query(id(1), "h2", "/open/")), std::nullopt);
}

// Guards against running work unasked: a caller of an anonymous queue may carry a key with its submission and none with its cancelling.
TEST_F(CallerAccess, submissionWithAKeyIsRefusedAfterItsCancellingWithoutAKey)
{
    callerKey = noKey;
    EXPECT_EQ(refusalOf(cancel(id(1), "h1", "/open/")), RefusalReason::NotFound);
    callerKey = "key-tailors";
    EXPECT_EQ(refusalOf(submit(id(1), work(), {}, "h2", "/open/")), RefusalReason::Cancelled);
}

TEST_F(CallerAccess, workOfAnAnonymousQueueIsNotReachedThroughAnotherQueue)
{
    callerKey = noKey;
    submitLong("/open/");
    callerKey = "key-hotels";
    EXPECT_EQ(refusalOf(query(id(1), "h1", "/urgent/")), RefusalReason::NotFound);
    EXPECT_EQ(refusalOf(cancel(id(1), "h1", "/urgent/")), RefusalReason::NotFound);
}

TEST_F(CallerAccess, workOfARemovedQueueIsReachedThroughItsSuccessor)
{
    submitLong("/urgent/");
    auto successor = configuration.queues.at({"urgent"});
    configuration.queues.erase({"urgent"});
    successor.id = {"urgent-2"};
    setQueue(successor);
    run(Duration{500});
    EXPECT_EQ(refusalOf(query(id(1), "h2", "/urgent/")), std::nullopt);
    callerKey = "key-hotels";
    EXPECT_EQ(refusalOf(query(id(1), "h2", "/urgent/")), RefusalReason::NotFound);
}

// Guards against a success that is stored nowhere: two workflows of one organisation with the same id on two queues counted as one.
TEST_F(CallerAccess, idOfAWorkflowOnAnotherQueueIsRefused)
{
    submitLong("/urgent/");
    EXPECT_EQ(refusalOf(submit(id(1), work(), {}, "h2", "/patient/")), RefusalReason::RequestIdReused);
    EXPECT_EQ(refusalOf(submit(id(1), work(), {}, "h2", "/open/")), RefusalReason::RequestIdReused);
    EXPECT_EQ(refusalOf(query(id(1), "h2", "/patient/")), RefusalReason::NotFound);
    EXPECT_EQ(refusalOf(cancel(id(1), "h2", "/patient/")), RefusalReason::NotFound);
    run(Duration{500});
    EXPECT_EQ(storedState(id(1)), WorkflowState::Running);
}

// Guards against running another specification than the one whose acceptance was answered.
TEST_F(CallerAccess, idOfAWorkflowWithAnotherSpecificationIsRefused)
{
    submitLong("/urgent/");
    EXPECT_EQ(refusalOf(submit(id(1), work(2), {}, "h2")), RefusalReason::RequestIdReused);
}

TEST_F(CallerAccess, sameSubmissionIsAcceptedAgainAndRunsOnce)
{
    submitLong("/urgent/");
    EXPECT_EQ(refusalOf(submit(id(1), work(), {Duration{60'000}, {}}, "h2")), std::nullopt);
    run(Duration{1'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

/// Adds a queue whose prefix goes on with the first digits of the ids that the tests use.
struct CallerAccessBesideALongerPrefix : CallerAccess
{
    void addQueue(bool isAnonymous)
    {
        auto longer = configuration.queues.at({"urgent"});
        longer.id = {"longer"};
        longer.prefix = "/urgent/00";
        longer.isAnonymous = isAnonymous;
        setQueue(longer);
        run(Duration{500});
    }
};

// Guards against showing accepted work as unknown after a configuration has added a queue whose longer prefix takes over its id.
TEST_F(CallerAccessBesideALongerPrefix, workOfTheShorterPrefixIsQueriedAndCancelled)
{
    submitLong("/urgent/");
    addQueue(false);
    EXPECT_EQ(answerTo(query(id(1), "h2")).state, WorkflowState::Running);
    EXPECT_EQ(refusalOf(cancel(id(1), "h2")), std::nullopt);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Cancelled; }, Duration{1'000});
}

TEST_F(CallerAccessBesideALongerPrefix, submissionSentAgainIsAcceptedOnce)
{
    submitLong("/urgent/");
    addQueue(false);
    EXPECT_EQ(refusalOf(submit(id(1), work(), {Duration{60'000}, {}}, "h2")), std::nullopt);
    run(Duration{1'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

TEST_F(CallerAccessBesideALongerPrefix, workOfEachPrefixIsReachedOnlyThere)
{
    addQueue(false);
    submitLong("/urgent/00");
    run(Duration{500});
    EXPECT_EQ(answerTo(query(id(1), "h2", "/urgent/00")).state, WorkflowState::Running);
    EXPECT_EQ(refusalOf(query(id(1), "h2", "/urgent/")), RefusalReason::NotFound);
    EXPECT_EQ(refusalOf(countWaiting("/urgent/00", "h2")), std::nullopt);
}

// Guards against reaching an organisation's work without a key through an anonymous queue beside its own.
TEST_F(CallerAccessBesideALongerPrefix, keyIsRequiredForWorkOfTheShorterPrefixBesideAnAnonymousQueue)
{
    submitLong("/urgent/");
    addQueue(true);
    callerKey = noKey;
    EXPECT_EQ(refusalOf(query(id(1), "h2")), RefusalReason::Unauthorised);
    EXPECT_EQ(refusalOf(cancel(id(1), "h2")), RefusalReason::Unauthorised);
    EXPECT_EQ(refusalOf(query(id(1), "h2", "/urgent/00")), RefusalReason::NotFound);
    EXPECT_EQ(storedState(id(1)), WorkflowState::Running);
}

// Guards against showing accepted work as unknown because this host cannot decode its stored state.
TEST_F(CallerAccess, workWhoseStateCannotBeDecodedIsNotSaidToBeUnknown)
{
    submitLong("/urgent/");
    store.faults.undecodable.insert(workflowProgressKey(id(1)));
    EXPECT_EQ(refusalOf(query(id(1), "h2")), RefusalReason::StoreUnavailable);
    EXPECT_EQ(refusalOf(cancel(id(1), "h2")), RefusalReason::StoreUnavailable);
    EXPECT_FALSE(store.rows.contains(workflowTombstoneKey(id(1), {"tailors"}, {"urgent"})));
    store.faults.undecodable.clear();
    EXPECT_EQ(answerTo(query(id(1), "h2")).state, WorkflowState::Running);
}

// Guards against a refusal that says a stored workflow never runs, because this host cannot decode what it met in the store.
TEST_F(CallerAccess, submissionSentAgainWhoseWorkflowCannotBeDecodedIsAnsweredAsUnknown)
{
    submitLong("/urgent/");
    store.faults.undecodable.insert(workflowKey(id(1)));
    const auto answer = answerTo(submit(id(1), work(), {Duration{60'000}, {}}, "h2"));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->run, RequestEffect::Unknown);
}

}
