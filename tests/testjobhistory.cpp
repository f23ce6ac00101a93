#include "tests/clusterfixture.h"

#include <random>

namespace sequoiastand
{

/// Two hosts of one zone and three workers with random faults from a fixed seed.
struct JobHistory : ClusterTest, testing::WithParamInterface<unsigned>
{
    JobHistory()
    {
        recordsHistory = true;
        for (const char *name : {"t1", "t2", "t3"}) {
            addTarget(name, "r1", "a");
        }
        addEntryHost("a1", "a");
        addEntryHost("a2", "a");
        run(Duration{4'000});
    }

    int pick(int bound)
    {
        return static_cast<int>(m_random() % static_cast<unsigned>(bound));
    }

    std::string anyHost()
    {
        return pick(2) == 0 ? "a1" : "a2";
    }

    std::string anyTarget()
    {
        return "t" + std::to_string(1 + pick(3));
    }

    void submitAny()
    {
        JobSpecification job = specification("j" + std::to_string(jobs.size()), 1 + pick(4));
        job.isIdempotent = pick(2) == 0;
        job.payload = payload(200 + pick(4'000), pick(8) == 0 ? "fail" : "finish");
        jobs.push_back(job);
        calls.push_back(submit(job, anyHost()));
    }

    void injectFault()
    {
        switch (pick(8)) {
        case 0:
            pause(anyHost());
            break;
        case 1:
            setStoreUp(false);
            break;
        case 2:
            setFaults(anyTarget(), {.isSilent = true});
            break;
        case 3:
            setFaults(anyTarget(), {.losesAnswers = true});
            break;
        case 4:
            targets.at({anyTarget()}) = restarted(targets.at({anyTarget()}));
            break;
        case 5:
            losesStartAnswers = true;
            break;
        case 6:
            cluster.store.faults.answersToLose = 2;
            break;
        default:
            calls.push_back(cancel(jobs[static_cast<std::size_t>(pick(static_cast<int>(jobs.size())))].id, anyHost()));
        }
    }

    void clearFaults()
    {
        resume("a1");
        resume("a2");
        setStoreUp(true);
        losesStartAnswers = false;
        for (const char *name : {"t1", "t2", "t3"}) {
            setFaults(name, {});
        }
    }

    std::vector<JobSpecification> jobs;
    std::vector<CallId> calls;

private:
    std::mt19937 m_random{GetParam()};
};

// Guards against second runs, lost jobs, and lost or duplicate replies under combinations of faults that the other tests do not cover.
TEST_P(JobHistory, everyCallIsAnsweredOnceAndNoJobRunsTwiceUnlessIdempotent)
{
    for (int round = 0; round < 25; ++round) {
        submitAny();
        injectFault();
        run(Duration{200 + 100 * pick(80)});
        clearFaults();
        run(Duration{100 * pick(20)});
    }
    run(Duration{900'000});
    for (const JobSpecification &job : jobs) {
        if (!job.isIdempotent) {
            EXPECT_LE(startsOf(job.id), job.taskCount) << toString(job.id);
        }
        if (hasStoredRecord(job.id)) {
            EXPECT_TRUE(isTerminal(storedJob(job.id).state)) << toString(job.id) << ": " << storedJob(job.id).explanation;
        }
        EXPECT_EQ(runningTasksOf(job.id), 0) << toString(job.id);
    }
    // An unresponsive target keeps its tasks for ten minutes, so an observer may see an incomplete gang for that long.
    const HistoryBounds bounds{.gangIncomplete = Duration{600'000}};
    for (const HistoryViolation &violation : checkHistory(recordedHistory(), bounds)) {
        ADD_FAILURE() << "invariant " << violation.invariant << ": " << violation.text;
    }
    for (std::size_t index = 0; index < calls.size(); ++index) {
        EXPECT_EQ(repliesTo(calls[index]).size(), 1U) << "call " << index;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, JobHistory, testing::Range(1U, 13U));

}
