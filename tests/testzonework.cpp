#include "tests/clusterfixture.h"

namespace sequoiastand
{

/// Two zones with one host and one worker each.
struct ZoneWork : ClusterTest
{
    ZoneWork()
    {
        configure(AvailabilityZone{.id = {"b"}, .region = "harju"});
        addTarget("ta", "ra", "a");
        addTarget("tb", "rb", "b");
        addEntryHost("a1", "a");
        addEntryHost("b1", "b");
        run(Duration{4'000});
    }

    /// Submits jobs until one is assigned to the zone. The others run to their end.
    JobSpecification jobIn(const std::string &zone, bool isIdempotent, int runMs)
    {
        for (int number = 0; number < 20; ++number) {
            JobSpecification job = specification("job" + std::to_string(m_next++));
            job.isIdempotent = isIdempotent;
            job.payload = payload(runMs);
            submit(job, "a1");
            runUntil([&] { return hasStoredRecord(job.id); }, Duration{2'000});
            if (storedJob(job.id).availabilityZone.value == zone) {
                return job;
            }
        }
        ADD_FAILURE() << "no job was assigned to zone " << zone;
        return {};
    }

private:
    int m_next = 0;
};

TEST_F(ZoneWork, idempotentJobOfAnUnreachableZoneIsTakenOver)
{
    const JobSpecification job = jobIn("b", true, 20'000);
    runUntil([&] { return isStored(job.id, JobState::Running); }, Duration{5'000});
    kill("b1");
    setFaults("tb", {.isSilent = true});
    run(Duration{25'000});
    EXPECT_EQ(storedJob(job.id).availabilityZone.value, "b");
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{60'000});
    EXPECT_EQ(storedJob(job.id).availabilityZone.value, "a");
}

// Guards against a second run of work that is not idempotent after its zone became unreachable.
TEST_F(ZoneWork, startedNonIdempotentJobOfAnUnreachableZoneIsNotTakenOver)
{
    const JobSpecification job = jobIn("b", false, 20'000);
    runUntil([&] { return isStored(job.id, JobState::Running); }, Duration{5'000});
    kill("b1");
    run(Duration{90'000});
    EXPECT_EQ(startsOf(job.id), 1);
    EXPECT_EQ(storedJob(job.id).availabilityZone.value, "b");
}

TEST_F(ZoneWork, nonIdempotentJobThatNeverStartedIsTakenOver)
{
    holdStarts("b1", true);
    run(Duration{100});
    const JobSpecification job = jobIn("b", false, 1'000);
    kill("b1");
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{60'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

// Guards against work that starts in a zone after operators took the zone out of service.
TEST_F(ZoneWork, nothingStartsInAZoneThatIsOut)
{
    configure(AvailabilityZone{.id = {"b"}, .isOut = true});
    run(Duration{1'000});
    sentCalls.clear();
    for (int index = 0; index < 12; ++index) {
        submit(specification("w" + std::to_string(index)), index % 2 == 0 ? "a1" : "b1");
    }
    run(Duration{30'000});
    for (const TargetCall &call : sentCalls) {
        EXPECT_FALSE(std::holds_alternative<StartTask>(call.request) && call.target.value == "tb");
    }
    for (int index = 0; index < 12; ++index) {
        const Job stored = storedJob({{"kask"}, {"w" + std::to_string(index)}});
        EXPECT_EQ(stored.state, JobState::Finished) << stored.availabilityZone.value << " " << name(stored.state) << ": " << stored.explanation << " / "
                                                    << (job(stored.specification.id) != nullptr ? job(stored.specification.id)->explanation : "");
    }
}

TEST_F(ZoneWork, drainedTargetGetsNoStart)
{
    configure(Drain{DrainScope::Target, "tb"});
    run(Duration{1'000});
    sentCalls.clear();
    for (int index = 0; index < 8; ++index) {
        submit(specification("w" + std::to_string(index)));
    }
    run(Duration{10'000});
    for (const TargetCall &call : sentCalls) {
        EXPECT_FALSE(std::holds_alternative<StartTask>(call.request) && call.target.value == "tb");
    }
}

// Guards against a start on a target that was drained between reservation and start.
TEST_F(ZoneWork, drainAfterTheReservationPreventsTheStart)
{
    JobSpecification job = specification("gang", 8);
    job.isIdempotent = false;
    submit(job);
    runUntil([&] { return stateOf(job.id, "a1") == JobState::Reserving || stateOf(job.id, "b1") == JobState::Reserving; }, Duration{2'000});
    const std::string zone = storedJob(job.id).availabilityZone.value;
    const std::string host = zone + "1";
    board(host).configuration = withItem(board(host).configuration, Drain{DrainScope::Target, "t" + zone});
    run(Duration{1'000});
    EXPECT_EQ(startsOf(job.id), 0);
    EXPECT_EQ(runningTasksOf(job.id), 0);
}

// Guards against a lost cancellation: a host that does not own the zone passes it to the owner through the job record.
TEST_F(ZoneWork, cancellationAtAnotherHostStopsTheJob)
{
    const JobSpecification job = jobIn("b", true, 60'000);
    runUntil([&] { return isStored(job.id, JobState::Running); }, Duration{5'000});
    const CallId call = cancel(job.id, "a1");
    runUntil([&] { return isStored(job.id, JobState::Cancelled); }, Duration{5'000});
    EXPECT_EQ(runningTasksOf(job.id), 0);
    EXPECT_EQ(repliesTo(call).size(), 1U);
}

}
