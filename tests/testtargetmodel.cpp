#include "standins/targetmodel.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct TargetModelLease : testing::Test
{
    static TimePoint at(int milliseconds)
    {
        return TimePoint{Duration{milliseconds}};
    }

    TargetCall call(const TargetRequest &request, const std::string &host = "a", Epoch epoch = 5)
    {
        return {CallId{++lastCall}, {"t1"}, "", {host}, epoch, request};
    }

    /// Sends a call and returns its answer, or nothing if the answer is deferred or lost.
    std::optional<TargetReply> send(int time, const TargetCall &sent)
    {
        auto step = receiveCall(std::move(model), sent, at(time));
        model = std::move(step.model);
        for (const auto &answer : step.answers) {
            if (answer.reply.id == sent.id && answer.to == sent.host) {
                return answer.reply;
            }
        }
        return std::nullopt;
    }

    TargetOutcome outcome(int time, const TargetRequest &request, const std::string &host = "a", Epoch epoch = 5)
    {
        const auto reply = send(time, call(request, host, epoch));
        return reply ? reply->outcome : TargetOutcome::Unknown;
    }

    std::vector<TargetAnswer> wait(int time)
    {
        auto step = advance(std::move(model), at(time));
        model = std::move(step.model);
        return step.answers;
    }

    void setFaults(int time, const TargetFaults &faults)
    {
        model = switchFaults(std::move(model), faults, at(time)).model;
    }

    /// The only task in the report of a lease renewal without a wait.
    ReportedTask task(int time)
    {
        const auto reply = send(time, call(LeaseTarget{Duration{6'000}}));
        return reply && reply->report->tasks.size() == 1 ? reply->report->tasks.front() : ReportedTask{};
    }

    ReserveTask reserve(AcceleratorMask mask = 0xFF) const
    {
        return {attempt, 0, mask, 1'000, 1'000, Duration{2'000}};
    }

    StartTask start(const std::string &payload = R"({"runMs": 500})") const
    {
        JobSpecification specification;
        specification.id = attempt.job;
        specification.isCheckpointable = true;
        specification.declaredRunTime = Duration{10'000};
        specification.payload = payload;
        return {attempt, 0, specification};
    }

    /// Takes the lease, reserves capacity and starts the task at time 0.
    void run(const StartTask &started)
    {
        ASSERT_EQ(outcome(0, LeaseTarget{Duration{6'000}}), TargetOutcome::Accepted);
        ASSERT_EQ(outcome(0, reserve()), TargetOutcome::Accepted);
        ASSERT_EQ(outcome(0, started), TargetOutcome::Accepted);
    }

    const AttemptId attempt{{{"kask"}, {"r1"}}, 1};
    const LeaseTarget poll{Duration{6'000}, Duration{2'000}};
    unsigned long long lastCall = 0;
    TargetModel model{{"t1"}};
};

// Guards against two holders at a time, and against a paused holder that acts after another host has taken the lease.
TEST_F(TargetModelLease, onlyHigherEpochIsGrantedAndOnlyAfterExpiry)
{
    const LeaseTarget lease{Duration{6'000}};
    EXPECT_EQ(outcome(0, lease, "a", 5), TargetOutcome::Accepted);
    EXPECT_EQ(outcome(5'999, lease, "b", 6), TargetOutcome::Refused);
    EXPECT_EQ(outcome(6'000, lease, "b", 5), TargetOutcome::Refused);
    EXPECT_EQ(outcome(6'000, reserve(), "a", 5), TargetOutcome::Refused);
    EXPECT_EQ(outcome(6'000, lease, "b", 6), TargetOutcome::Accepted);
    EXPECT_EQ(outcome(6'001, reserve(), "a", 5), TargetOutcome::Refused);
    EXPECT_EQ(outcome(6'001, reserve(), "b", 5), TargetOutcome::Refused);
    const auto refused = send(6'001, call(lease, "a", 5));
    EXPECT_EQ(refused->report->holder, HostId{"b"});
    EXPECT_EQ(refused->report->epoch, 6);
    EXPECT_EQ(outcome(6'002, ReleaseTarget{}, "b", 6), TargetOutcome::Accepted);
    EXPECT_EQ(outcome(6'003, lease, "a", 6), TargetOutcome::Refused);
    EXPECT_EQ(outcome(6'003, lease, "a", 7), TargetOutcome::Accepted);
}

TEST_F(TargetModelLease, restartKeepsTheHighestEpoch)
{
    run(start());
    model = restarted(std::move(model));
    EXPECT_EQ(outcome(10, LeaseTarget{Duration{6'000}}, "b", 5), TargetOutcome::Refused);
    EXPECT_EQ(outcome(10, LeaseTarget{Duration{6'000}}, "b", 6), TargetOutcome::Accepted);
    EXPECT_TRUE(model.tasks.empty());
}

struct TargetModelPoll : TargetModelLease
{
};

// Guards against a holder that learns of a task's end only when the wait of its poll is over.
TEST_F(TargetModelPoll, isAnsweredAtOnceWhenATaskEnds)
{
    run(start());
    EXPECT_EQ(send(10, call(poll)), std::nullopt);
    EXPECT_EQ(nextChange(model), at(500));
    EXPECT_TRUE(wait(499).empty());
    const auto answers = wait(500);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reply.report->tasks.at(0).state, TaskState::Finished);
}

TEST_F(TargetModelPoll, isAnsweredAtOnceWhenATaskEndedBetweenPolls)
{
    run(start());
    EXPECT_TRUE(send(600, call(poll)).has_value());
    EXPECT_EQ(send(601, call(poll)), std::nullopt);
}

TEST_F(TargetModelPoll, withoutChangeIsHeldForItsWait)
{
    run(start(R"({"runMs": 50000})"));
    EXPECT_EQ(send(10, call(poll)), std::nullopt);
    EXPECT_TRUE(wait(2'009).empty());
    EXPECT_EQ(wait(2'010).at(0).reply.report->leaseRemaining, Duration{4'000});
}

struct TargetModelTask : TargetModelLease
{
};

TEST_F(TargetModelTask, startWithoutValidReservationIsRefused)
{
    outcome(0, LeaseTarget{Duration{6'000}});
    EXPECT_EQ(outcome(0, start()), TargetOutcome::Refused);
    EXPECT_EQ(outcome(0, reserve()), TargetOutcome::Accepted);
    EXPECT_EQ(outcome(2'000, start()), TargetOutcome::Refused);
}

TEST_F(TargetModelTask, reservedCapacityIsNotReservedTwice)
{
    outcome(0, LeaseTarget{Duration{6'000}});
    EXPECT_EQ(outcome(0, reserve(0x100)), TargetOutcome::Refused);
    EXPECT_EQ(outcome(0, reserve(0x0F)), TargetOutcome::Accepted);
    auto other = reserve(0x18);
    other.member = 1;
    EXPECT_EQ(outcome(0, other), TargetOutcome::Refused);
    other.accelerators = 0x30;
    EXPECT_EQ(outcome(0, other), TargetOutcome::Accepted);
    other.member = 2;
    other.accelerators = 0;
    other.milliCpu = 31'000;
    EXPECT_EQ(outcome(0, other), TargetOutcome::Refused);
}

// Guards against running a task twice when its start is repeated after a lost answer.
TEST_F(TargetModelTask, repeatedStartIsAcceptedWithoutEffect)
{
    run(start());
    EXPECT_EQ(outcome(400, start()), TargetOutcome::Accepted);
    EXPECT_EQ(task(500).state, TaskState::Finished);
    EXPECT_EQ(outcome(600, start()), TargetOutcome::Accepted);
    EXPECT_EQ(outcome(600, reserve()), TargetOutcome::Refused);
    EXPECT_EQ(task(600).state, TaskState::Finished);
}

TEST_F(TargetModelTask, endIsKeptUntilAcknowledged)
{
    run(start(R"({"runMs": 500, "outcome": "fail", "result": "scorched"})"));
    EXPECT_EQ(task(499).state, TaskState::Running);
    EXPECT_EQ(task(500).result, "scorched");
    EXPECT_EQ(task(600).state, TaskState::Failed);
    const auto reply = send(700, call(LeaseTarget{Duration{6'000}, Duration{0}, {attempt}}));
    EXPECT_TRUE(reply->report->tasks.empty());
}

// Guards against sending the label of every task with every renewal, which cost 48 KB/s with 24 workers and 160 tasks.
TEST_F(TargetModelTask, unchangedTaskListIsLeftOutOfARenewal)
{
    run(start());
    const auto first = send(100, call(LeaseTarget{Duration{6'000}}));
    ASSERT_EQ(first->report->tasks.size(), 1U);
    const auto known = first->report->tasksVersion;

    const auto same = send(200, call(LeaseTarget{Duration{6'000}, Duration{0}, {}, known}));
    EXPECT_TRUE(same->report->isUnchanged);
    EXPECT_TRUE(same->report->tasks.empty());

    const auto ended = send(600, call(LeaseTarget{Duration{6'000}, Duration{0}, {}, known}));
    EXPECT_FALSE(ended->report->isUnchanged);
    EXPECT_EQ(ended->report->tasks.size(), 1U);
}

TEST_F(TargetModelTask, withoutPayloadRunsForTheDeclaredTime)
{
    run(start("steam"));
    EXPECT_EQ(nextChange(model), at(10'000));
}

TEST_F(TargetModelTask, stopWithCheckpointTakesItsTimeAndKeepsTheWork)
{
    run(start(R"({"runMs": 5000})"));
    EXPECT_EQ(outcome(300, StopTask{attempt, 0, true}), TargetOutcome::Accepted);
    EXPECT_EQ(task(499).state, TaskState::Running);
    EXPECT_EQ(task(500).state, TaskState::Stopped);
    EXPECT_EQ(task(500).checkpointedWork, Duration{300});
    auto again = start(R"({"runMs": 5000})");
    again.attempt.number = 2;
    again.checkpointedWork = Duration{300};
    auto reservation = reserve();
    reservation.attempt.number = 2;
    outcome(600, reservation);
    outcome(600, again);
    EXPECT_EQ(nextChange(model), at(600 + 4'700));
}

TEST_F(TargetModelTask, throttledTaskTakesLonger)
{
    run(start());
    EXPECT_EQ(outcome(100, ThrottleTask{attempt, 0, 50}), TargetOutcome::Accepted);
    EXPECT_EQ(nextChange(model), at(900));
    EXPECT_EQ(outcome(300, ThrottleTask{attempt, 0, 100}), TargetOutcome::Accepted);
    EXPECT_EQ(nextChange(model), at(600));
}

// Guards against losing work because its owner has crashed, and against tasks that run without an owner forever.
TEST_F(TargetModelTask, continuesForTenMinutesAfterTheLeaseExpired)
{
    run(start(R"({"runMs": 100000000})"));
    wait(605'999);
    EXPECT_EQ(model.tasks.begin()->second.reported.state, TaskState::Running);
    wait(606'000);
    EXPECT_EQ(model.tasks.begin()->second.reported.state, TaskState::Stopped);
}

struct TargetModelFault : TargetModelLease
{
};

TEST_F(TargetModelFault, failingWorkerFailsEverythingItStarts)
{
    setFaults(0, {.failsEverything = true});
    run(start());
    EXPECT_EQ(task(0).state, TaskState::Failed);
}

TEST_F(TargetModelFault, lostAnswerLeavesTheEffect)
{
    outcome(0, LeaseTarget{Duration{6'000}});
    outcome(0, reserve());
    setFaults(0, {.losesAnswers = true});
    EXPECT_EQ(outcome(0, start()), TargetOutcome::Unknown);
    setFaults(1, {});
    EXPECT_EQ(task(1).state, TaskState::Running);
}

TEST_F(TargetModelFault, silentWorkerIgnoresCallsButItsTasksContinue)
{
    run(start());
    setFaults(0, {.isSilent = true});
    EXPECT_EQ(outcome(10, StopTask{attempt, 0, false}), TargetOutcome::Unknown);
    setFaults(700, {});
    EXPECT_EQ(task(700).state, TaskState::Finished);
}

TEST_F(TargetModelFault, pausedWorkerHandlesCallsLate)
{
    run(start());
    setFaults(100, {.isPaused = true});
    EXPECT_EQ(outcome(200, LeaseTarget{Duration{6'000}}), TargetOutcome::Unknown);
    EXPECT_EQ(nextChange(model), std::nullopt);
    const auto step = switchFaults(std::move(model), {}, at(1'100));
    model = step.model;
    ASSERT_EQ(step.answers.size(), 1U);
    EXPECT_EQ(step.answers[0].reply.outcome, TargetOutcome::Accepted);
    EXPECT_EQ(nextChange(model), at(1'500));
}

TEST_F(TargetModelFault, laggingWorkerReportsTheEndLater)
{
    setFaults(0, {.lag = Duration{300}});
    run(start());
    EXPECT_EQ(task(799).state, TaskState::Running);
    EXPECT_EQ(task(800).state, TaskState::Finished);
}

TEST_F(TargetModelFault, leavingWorkerAnswersThePendingPoll)
{
    run(start());
    send(10, call(poll));
    const auto step = switchFaults(std::move(model), {.isLeaving = true}, at(20));
    ASSERT_EQ(step.answers.size(), 1U);
    EXPECT_TRUE(step.answers[0].reply.report->isLeaving);
}

}
