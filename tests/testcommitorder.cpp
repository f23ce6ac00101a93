#include "tests/domainfixture.h"

namespace sequoiastand
{

/// Two hosts, twelve targets, and a store that takes a quarter of a second for each answer while many workflows change.
struct CommitOrder : DomainTest
{
    static constexpr int busyWorkflows = 120;
    static constexpr int lastId = 1'000;

    CommitOrder()
    {
        addTargets(12);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
        store.faults.latency = Duration{250};
        for (int number = 1; number <= busyWorkflows; ++number) {
            submit(id(number), chainOfShortSteps(), {Duration{200}, {}}, "h1", "/patient/");
        }
        run(Duration{4'000});
    }

    /// Steps that follow one another, so that the workflow's progress changes all the time.
    static WorkflowSpecification chainOfShortSteps()
    {
        constexpr int steps = 40;
        auto specification = batch(1, {100, 100, 0}, Duration{200});
        const auto first = specification.steps.front();
        for (int step = 1; step < steps; ++step) {
            specification.steps.push_back(first);
            specification.steps.back().after = {step - 1};
        }
        return specification;
    }
};

// Guards against a job that stands still because its record is written only once no job with a lower id has changed.
TEST_F(CommitOrder, workflowWithTheHighestIdStartsWhileOthersChangeAllTheTime)
{
    answerTo(submit(id(lastId), batch(1, {100, 100, 0}), {Duration{500}, {}}, "h2", "/patient/"));
    run(Duration{3'000});
    EXPECT_EQ(fleet.starts[id(lastId)], 1);
}

// Guards against a summary, and so a number of waiting jobs, that is out of date for as long as progress fills every batch.
TEST_F(CommitOrder, summaryIsWrittenWhileOthersChangeAllTheTime)
{
    const int before = store.appliedWrites[domainSummaryKey()];
    submit(id(lastId), batch(1, {100, 100, 0}), {Duration{500}, {}}, "h2", "/patient/");
    submit(id(lastId + 1), batch(1, {32'001, 100, 0}), {Duration{500}, {}}, "h2", "/patient/");
    run(Duration{3'000});
    EXPECT_GT(store.appliedWrites[domainSummaryKey()], before);
}

}
