#include "core/clusterview.h"
#include "core/guarantees.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <bit>

namespace sequoiastand
{

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/// One zone with two racks of two workers with 8 accelerators each.
struct Placements : testing::Test
{
    Placements()
    {
        for (const auto *id : {"w1", "w2", "w3", "w4"}) {
            Target target{{id}, {id[1] < '3' ? "r1" : "r2"}, zone};
            target.milliCpu = 32'000;
            target.memoryMb = 128'000;
            target.health = TargetHealth::Healthy;
            targets.put(target.id, target);
            startable.insert(target.id);
        }
        configuration.availabilityZones[zone] = {zone, "harju", false, minutes{5}};
    }

    ClusterView view() const
    {
        return {zone, configuration, targets, startable, jobs, attempts, otherZones, now, WallTime{now.time_since_epoch()}, isRampingUp};
    }

    Plan plan() const
    {
        return planPlacements(view());
    }

    static JobSpecification request(const std::string &organisation, const std::string &id, int tasks, int accelerators)
    {
        JobSpecification made;
        made.id = {{organisation}, {id}};
        made.team = {organisation + "-team"};
        made.taskCount = tasks;
        made.acceleratorsPerTask = accelerators;
        made.isIdempotent = true;
        made.isCheckpointable = true;
        made.declaredRunTime = hours{1};
        return made;
    }

    static JobSpecification rigid(JobSpecification made)
    {
        made.isIdempotent = false;
        made.isCheckpointable = false;
        return made;
    }

    void wait(const JobSpecification &made)
    {
        Job job;
        job.specification = made;
        job.availabilityZone = zone;
        job.acceptedAt = WallTime{now.time_since_epoch()} - minutes{1};
        jobs.put(made.id, job);
    }

    void runOn(const JobSpecification &made, const std::string &target, AcceleratorMask mask, Duration sinceCheckpoint = minutes{1})
    {
        wait(made);
        auto job = *jobs.find(made.id);
        job.state = JobState::Running;
        jobs.put(made.id, job);
        Attempt attempt;
        attempt.id = {made.id, 1};
        attempt.step = AttemptStep::Running;
        attempt.runningSince = now - sinceCheckpoint;
        attempt.members.push_back({0, {target}, mask, MemberStep::Running});
        attempts.put(attempt.id, attempt);
    }

    void guarantee(const std::string &organisation, const Shape &shape)
    {
        configuration.guarantees[organisation] = {organisation, {organisation}, zone, shape};
    }

    template<typename Change>
    void changeTarget(const char *id, const Change &change)
    {
        auto target = *targets.find({id});
        change(target);
        targets.put({id}, target);
    }

    std::string explanation(const JobSpecification &made) const
    {
        const auto planned = plan();
        const auto found = std::ranges::find(planned.explanations, made.id, &Explanation::job);
        return found == planned.explanations.end() ? "" : found->text;
    }

    const AvailabilityZoneId zone{"harju-1"};
    Configuration configuration;
    Table<TargetId, Target> targets;
    std::set<TargetId> startable;
    Table<JobId, Job> jobs;
    Table<AttemptId, Attempt> attempts;
    std::map<AvailabilityZoneId, ZoneCapacity> otherZones;
    TimePoint now{hours{100}};
    bool isRampingUp = false;
};

// Guards against starts on targets that must take no work, each for its own reason.
TEST_F(Placements, unusableTargetsTakeNoWork)
{
    changeTarget("w1", [](Target &target) { target.isLeaving = true; });
    changeTarget("w2", [](Target &target) { target.health = TargetHealth::Unresponsive; });
    changeTarget("w3", [](Target &target) { target.health = TargetHealth::Quarantined; });
    startable.erase({"w4"});
    wait(request("kask", "a", 1, 1));
    EXPECT_TRUE(plan().placements.empty());
    startable.insert({"w4"});
    EXPECT_EQ(plan().placements.size(), 1U);
    configuration.drains["rack/r2"] = {DrainScope::Rack, "r2"};
    EXPECT_TRUE(plan().placements.empty());
}

TEST_F(Placements, zoneThatIsOutStartsNothingAndMovesWaitingJobs)
{
    configuration.availabilityZones[zone].isOut = true;
    wait(request("kask", "a", 1, 1));
    EXPECT_TRUE(plan().placements.empty());
    otherZones[{"harju-2"}] = {8, 64};
    ASSERT_EQ(plan().moves.size(), 1U);
    EXPECT_EQ(plan().moves.front().availabilityZone.value, "harju-2");
}

// Guards against stopping work that would have ended in time anyway, and against stopping work that cannot be stopped.
TEST_F(Placements, zoneLeaveStopsOnlyWorkLongerThanTheNotice)
{
    configuration.availabilityZones[zone].isOut = true;
    runOn(request("kask", "long", 1, 1), "w1", 0x1);
    runOn(request("kask", "short", 1, 1), "w1", 0x2, minutes{58});
    runOn(rigid(request("kask", "rigid", 1, 1)), "w1", 0x4);
    const auto made = plan();
    ASSERT_EQ(made.preemptions.size(), 1U);
    EXPECT_EQ(made.preemptions.front().attempt.job.request.value, "long");
    EXPECT_EQ(made.preemptions.front().cause, StopCause::ZoneOut);
}

TEST_F(Placements, rigidWorkStaysOutOfForeignCells)
{
    guarantee("colombo", {8, 2, 1, 1});
    wait(rigid(request("kask", "a", 3, 8)));
    wait(rigid(request("kask", "b", 2, 8)));
    const auto made = plan();
    ASSERT_EQ(made.placements.size(), 1U);
    EXPECT_EQ(made.placements.front().job.request.value, "b");
    EXPECT_TRUE(placementsBreakingGuarantees(view(), made).empty());
    ASSERT_EQ(made.refusals.size(), 1U);
    EXPECT_EQ(made.refusals.front().reason, RefusalReason::NeverFits);
}

TEST_F(Placements, ownerReclaimsItsCellFromTheBorrowersThereOnly)
{
    guarantee("colombo", {8, 1, 1, 1});
    for (const auto *target : {"w1", "w2", "w3", "w4"}) {
        runOn(request("kask", target, 1, 8), target, 0xff);
    }
    wait(request("colombo", "reclaim", 1, 8));
    const auto made = plan();
    ASSERT_EQ(made.preemptions.size(), 1U);
    EXPECT_FALSE(made.preemptions.front().skipsCheckpoint);
    EXPECT_NE(made.preemptions.front().explanation.find("reclaims"), std::string::npos);
    EXPECT_NE(explanation(request("colombo", "reclaim", 1, 8)).find("1 preempted job"), std::string::npos);
}

// Guards against a second round of victims while the first ones are still stopping.
TEST_F(Placements, stoppingWorkIsNotReplacedByFurtherVictims)
{
    guarantee("colombo", {8, 1, 1, 1});
    for (const auto *target : {"w1", "w2", "w3", "w4"}) {
        runOn(request("kask", target, 1, 8), target, 0xff);
    }
    wait(request("colombo", "reclaim", 1, 8));
    const auto victim = plan().preemptions.front().attempt;
    auto attempt = *attempts.find(victim);
    attempt.step = AttemptStep::Stopping;
    attempts.put(victim, attempt);
    EXPECT_TRUE(plan().preemptions.empty());
}

TEST_F(Placements, urgentJobPreemptsTheBorrowerThatLosesLeast)
{
    for (const auto *target : {"w1", "w2", "w3", "w4"}) {
        runOn(request("kask", target, 1, 8), target, 0xff, target[1] == '3' ? seconds{30} : minutes{9});
    }
    auto urgent = request("colombo", "urgent", 1, 1);
    urgent.jobClass = JobClass::Urgent;
    wait(urgent);
    const auto made = plan();
    ASSERT_EQ(made.preemptions.size(), 1U);
    EXPECT_EQ(made.preemptions.front().attempt.job.request.value, "w3");
    EXPECT_TRUE(made.preemptions.front().skipsCheckpoint);
}

TEST_F(Placements, urgentJobDoesNotPreemptWorkInItsOwnersCell)
{
    guarantee("kask", {8, 2, 2, 1});
    for (const auto *target : {"w1", "w2", "w3", "w4"}) {
        runOn(request("kask", target, 1, 8), target, 0xff);
    }
    auto urgent = request("colombo", "urgent", 1, 1);
    urgent.jobClass = JobClass::Urgent;
    wait(urgent);
    EXPECT_TRUE(plan().preemptions.empty());
    EXPECT_NE(explanation(urgent).find("0 of 32 accelerators free"), std::string::npos);
}

TEST_F(Placements, teamAtItsQuotaWaitsWithTheFiguresNamed)
{
    configuration.teams[{"kask-team"}] = {{"kask-team"}, {"kask"}, 4};
    runOn(request("kask", "a", 1, 4), "w1", 0xf);
    wait(request("kask", "b", 1, 1));
    EXPECT_TRUE(plan().placements.empty());
    EXPECT_EQ(explanation(request("kask", "b", 1, 1)), "waits: team kask-team holds 4 of its quota of 4 accelerators and the job needs 1");
    wait(request("kask", "c", 5, 1));
    ASSERT_EQ(plan().refusals.size(), 1U);
    EXPECT_EQ(plan().refusals.front().reason, RefusalReason::QuotaExceeded);
}

// Guards against starvation: a short queue of small long jobs must not take what a large job waits for.
TEST_F(Placements, longJobDoesNotTakeReservedAccelerators)
{
    runOn(request("kask", "running", 1, 4), "w1", 0x0f, minutes{50});
    for (const auto *target : {"w2", "w3", "w4"}) {
        runOn(rigid(request("kask", target, 1, 8)), target, 0xff);
    }
    wait(rigid(request("kask", "large", 1, 8)));
    auto small = rigid(request("kask", "small", 1, 1));
    wait(small);
    EXPECT_TRUE(plan().placements.empty());
    EXPECT_NE(explanation(request("kask", "large", 1, 8)).find("reserved"), std::string::npos);
    small.declaredRunTime = minutes{5};
    wait(small);
    ASSERT_EQ(plan().placements.size(), 1U);
}

TEST_F(Placements, smallWorkMovesAsideForALargeJobThatWouldWaitLong)
{
    for (const auto *target : {"w1", "w2", "w3", "w4"}) {
        runOn(request("kask", target, 1, 2), target, 0x18, seconds{20});
    }
    wait(rigid(request("kask", "large", 1, 8)));
    const auto made = plan();
    ASSERT_EQ(made.preemptions.size(), 1U);
    EXPECT_EQ(made.preemptions.front().cause, StopCause::Moved);
}

// Guards against moving a job for ever that starts again in its old place after each move.
TEST_F(Placements, movedWorkIsNotMovedAgainBeforeItHasRunForTenMinutes)
{
    for (const auto *target : {"w1", "w2", "w3", "w4"}) {
        const auto small = request("kask", target, 1, 2);
        runOn(small, target, 0x18, seconds{20});
        auto again = *attempts.find({small.id, 1});
        attempts.erase(again.id);
        again.id.number = 2;
        attempts.put(again.id, again);
    }
    wait(rigid(request("kask", "large", 1, 8)));
    EXPECT_TRUE(plan().preemptions.empty());
}

TEST_F(Placements, quarantinedTargetGetsOneIdempotentProbe)
{
    changeTarget("w2", [this](Target &target) {
        target.health = TargetHealth::Quarantined;
        target.probeDue = now;
    });
    wait(rigid(request("kask", "a", 1, 1)));
    wait(request("kask", "b", 1, 1));
    const auto made = plan();
    const auto probe = std::ranges::find(made.placements, TargetId{"w2"}, [](const Placement &placement) { return placement.members.front().target; });
    ASSERT_NE(probe, made.placements.end());
    EXPECT_EQ(probe->job.request.value, "b");
}

// Guards against homes that depend on what is running or on the health of other targets.
TEST_F(Placements, cellsReturnHomeAfterATargetFailed)
{
    guarantee("colombo", {8, 1, 1, 1});
    guarantee("kask", {4, 1, 1, 2});
    const auto home = bindCells(view(), capacityOf(view()));
    changeTarget("w1", [](Target &target) { target.health = TargetHealth::Unresponsive; });
    EXPECT_TRUE(checkGuarantees(view()).empty());
    EXPECT_NE(bindCells(view(), capacityOf(view())), home);
    changeTarget("w1", [](Target &target) { target.health = TargetHealth::Healthy; });
    EXPECT_EQ(bindCells(view(), capacityOf(view())), home);
}

TEST_F(Placements, configurationWhoseShapesDoNotFitTogetherNamesTheShape)
{
    guarantee("colombo", {8, 2, 1, 1});
    EXPECT_TRUE(validateGuarantees(configuration, targets).ok());
    guarantee("kask", {4, 1, 3, 1});
    const auto status = validateGuarantees(configuration, targets);
    EXPECT_NE(status.ToString().find("guarantee kask of kask (1 x 3 racks of 1 worker with 4 accelerators) does not fit"), std::string::npos);
}

// Guards against a stampede when a zone returns: 10 % of 32 accelerators is 3 a second.
TEST_F(Placements, returningZoneFillsGradually)
{
    isRampingUp = true;
    for (int number = 0; number < 20; ++number) {
        wait(request("kask", "j" + std::to_string(number), 1, 1));
    }
    EXPECT_EQ(plan().placements.size(), 3U);
}

// Guards against one job a second on a small zone that never left.
TEST_F(Placements, zoneInServiceFillsAtOnce)
{
    for (int number = 0; number < 20; ++number) {
        wait(request("kask", "j" + std::to_string(number), 1, 1));
    }
    EXPECT_EQ(plan().placements.size(), 20U);
}

}
