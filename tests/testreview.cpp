#include "core/step.h"
#include "query/report.h"
#include "query/reviewexecution.h"

#include <gtest/gtest.h>

#include <random>

namespace sequoiastand
{

struct ReviewOfRecords : testing::Test
{
    static constexpr double hoursPerMillisecond = 1.0 / 3'600'000.0;
    const WallTime start{std::chrono::sys_days{std::chrono::year{2026} / 11 / 1}};
    const WallTime end{std::chrono::sys_days{std::chrono::year{2026} / 12 / 1}};
    const WallTime now = end + std::chrono::hours{30};
    ReviewInput input;

    ReviewOfRecords()
    {
        input.scope = {start, end};
        input.now = now;
    }

    /// A month of jobs in any state, with some that reach over its ends.
    std::vector<Job> randomJobs(unsigned seed, int count) const
    {
        std::mt19937 random(seed);
        const auto below = [&random](int bound) { return static_cast<int>(random() % static_cast<unsigned>(bound)); };
        std::vector<Job> jobs;
        for (int number = 0; number < count; ++number) {
            Job job;
            job.specification.id = {{"o" + std::to_string(below(4))}, {"r" + std::to_string(number)}};
            job.specification.team = {"t" + std::to_string(below(3))};
            job.specification.jobClass = static_cast<JobClass>(below(3));
            job.availabilityZone = {"z" + std::to_string(below(3))};
            job.state = static_cast<JobState>(below(10));
            job.acceptedAt = start + std::chrono::minutes{below(32 * 24 * 60) - 24 * 60};
            WallTime time = job.acceptedAt;
            for (int attempt = below(4); attempt > 0; --attempt) {
                const WallTime from = time + std::chrono::minutes{below(300)};
                time = from + std::chrono::minutes{below(3'000)};
                const Duration lost = below(2) == 0 ? Duration{0} : std::chrono::minutes{below(60)};
                job.held.push_back({attempt, 1 + below(16), from, time, below(2) == 0, lost, static_cast<HoldEnd>(below(8))});
            }
            if (!job.held.empty()) {
                job.startedAt = job.held.front().from;
            }
            if (isTerminal(job.state)) {
                job.finishedAt = time;
            }
            if (job.state == JobState::Refused) {
                job.explanation = below(2) == 0 ? "neverFits: no worker has 16 accelerators" : "queueFull: 2000 jobs wait";
            }
            jobs.push_back(job);
        }
        return jobs;
    }
};

// Guards against figures of the meeting that do not add up or disagree with the records they were made from.
TEST_F(ReviewOfRecords, figuresAgreeWithAnIndependentSum)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const auto jobs = randomJobs(seed, 300);
        input.jobs = mergeRecords(jobs, {});
        const auto review = makeReview(input);
        std::map<JobState, long long> states;
        double held = 0;
        double lost = 0;
        for (const auto &job : jobs) {
            states[job.state] += job.acceptedAt >= start && job.acceptedAt < end ? 1 : 0;
            for (const auto &interval : job.held) {
                for (auto minute = interval.from; minute < interval.until; minute += std::chrono::minutes{1}) {
                    held += minute >= start && minute < end ? interval.accelerators / 60.0 : 0;
                }
                const bool isCounted = interval.until >= start && interval.until < end;
                lost += isCounted ? static_cast<double>(interval.lostWork.count()) * interval.accelerators * hoursPerMillisecond : 0;
            }
        }
        const auto &total = review.total;
        EXPECT_EQ(total.accepted, total.finished + total.failed + total.cancelled + total.refused + total.unknown + total.running + total.waiting);
        EXPECT_EQ(total.finished, states[JobState::Finished]);
        EXPECT_EQ(total.unknown, states[JobState::Unknown]);
        EXPECT_EQ(total.running, states[JobState::Reserving] + states[JobState::Starting] + states[JobState::Running] + states[JobState::Stopping]);
        EXPECT_EQ(static_cast<long long>(review.inDoubt.size()), total.unknown);
        EXPECT_EQ(review.refusals.at("neverFits") + review.refusals.at("queueFull"), total.refused);
        EXPECT_NEAR(review.capacityTotal.held, held, 1e-6 * held);
        double byDay = 0;
        for (const auto &day : review.days) {
            byDay += day.held;
        }
        EXPECT_NEAR(byDay, held, 1e-6 * held);
        double byCause = 0;
        for (const auto &loss : review.losses) {
            byCause += loss.acceleratorHours;
        }
        EXPECT_NEAR(byCause, lost, 1e-6 * lost + 1e-9);
    }
}

// Guards against reviews of single organisations, teams, classes or zones that together differ from the whole.
TEST_F(ReviewOfRecords, partsAddUpToTheWhole)
{
    input.jobs = mergeRecords(randomJobs(5, 400), {});
    const auto whole = makeReview(input);
    const auto sumOver = [this](const auto &field, const std::vector<std::string> &names) {
        std::pair<long long, double> sum{0, 0.0};
        for (const auto &part : names) {
            auto limited = input;
            (limited.scope.*field).emplace().value = part;
            const auto review = makeReview(limited);
            sum.first += review.total.accepted;
            sum.second += review.capacityTotal.held;
        }
        return sum;
    };
    for (const auto &sum : {sumOver(&ReviewScope::organisation, {"o0", "o1", "o2", "o3"}),
                            sumOver(&ReviewScope::team, {"t0", "t1", "t2"}),
                            sumOver(&ReviewScope::availabilityZone, {"z0", "z1", "z2"})}) {
        EXPECT_EQ(sum.first, whole.total.accepted);
        EXPECT_NEAR(sum.second, whole.capacityTotal.held, 1e-6);
    }
}

TEST_F(ReviewOfRecords, lentHoursAreUnusedGuaranteesThatOthersBorrowed)
{
    input.configuration = withItem(input.configuration, Guarantee{"g", {"o1"}, {"z0"}, {8, 1, 1, 1}});
    Job job;
    job.specification.id = {{"o2"}, {"r"}};
    job.availabilityZone = {"z0"};
    job.acceptedAt = start;
    job.held = {{1, 4, start, start + std::chrono::hours{10}, true, std::chrono::hours{1}, HoldEnd::Preempted}};
    input.jobs = mergeRecords({job}, {});
    const auto review = makeReview(input);
    ASSERT_EQ(review.capacity.size(), 2U);
    EXPECT_DOUBLE_EQ(review.capacity[0].guaranteed, 8.0 * 30 * 24);
    EXPECT_NEAR(review.capacity[0].lent, 40.0, 1e-9);
    EXPECT_DOUBLE_EQ(review.capacity[1].borrowed, 40.0);
    EXPECT_EQ(review.capacity[1].reclaimedCount, 1);
    EXPECT_EQ(review.losses, (std::vector<LossFigures>{{"preempted", 1, 4.0}}));
}

// Guards against a job that counts twice because its record was read before and its ledger row after it was folded.
TEST_F(ReviewOfRecords, jobInLedgerAndBoardCountsOnceAndTerminalWins)
{
    auto jobs = randomJobs(9, 1);
    jobs[0].state = JobState::Finished;
    auto old = jobs[0];
    old.state = JobState::Running;
    EXPECT_EQ(mergeRecords(jobs, {old}).begin()->second, jobs[0]);
    EXPECT_EQ(mergeRecords({old}, jobs).begin()->second, jobs[0]);
}

TEST_F(ReviewOfRecords, percentilesAreOfTheNearestRank)
{
    std::vector<Duration> durations;
    for (int value = 100; value >= 1; --value) {
        durations.emplace_back(value);
    }
    EXPECT_EQ(figuresOf(durations), (DurationFigures{100, Duration{50}, Duration{50}, Duration{90}, Duration{99}}));
    EXPECT_EQ(figuresOf({Duration{7}}).p99, Duration{7});
}

// Guards against an answer that leaves out a part without saying so.
TEST_F(ReviewOfRecords, whatIsMissingIsNamedWithItsTime)
{
    auto board = makeBlackboard({.id = {"e1"}, .availabilityZone = {"z0"}}, TimePoint{Duration{100'000}}, now);
    board.configuration = withItem(board.configuration, AvailabilityZone{{"z1"}, "r"});
    board.configuration = withItem(board.configuration, AvailabilityZone{{"z2"}, "r"});
    Peer peer;
    peer.id = {"e2"};
    peer.availabilityZone = {"z2"};
    peer.lastContact = board.now - Duration{40'000};
    board.peers.put(peer.id, peer);
    board.store.isLoaded = true;
    board.store.lastReadSent = board.now - Duration{20'000};
    const auto reads = ledgerReads(input.scope, now);
    ASSERT_EQ(reads.ranges.size(), 32U);
    EXPECT_EQ(reads.ranges.front().key.path, "ledger/20261101/");
    const auto gaps = reviewInput(board, input.scope, {{reads.ranges[2], {}, "timeout"}}).gaps;
    ASSERT_EQ(gaps.size(), 4U);
    EXPECT_EQ(gaps[0], "missing: ledger/20261103/ could not be read (timeout); jobs that ended on that day are not counted");
    EXPECT_EQ(gaps[1].substr(0, 35), "missing: zone z1 has never been hea");
    EXPECT_NE(gaps[2].find("zone z2 was last heard from 40 s ago (2026-12-02 05:59:20)"), std::string::npos);
    EXPECT_NE(gaps[3].find("last reached the store 20 s ago"), std::string::npos);
    input.gaps = gaps;
    const auto html = reviewReport(makeReview(input));
    EXPECT_NE(html.find("ledger/20261103/ could not be read"), std::string::npos);
}

// Guards against a name from a record that becomes markup in the meeting's file.
TEST_F(ReviewOfRecords, reportEscapesNamesAndLoadsNothing)
{
    auto jobs = randomJobs(3, 50);
    jobs[0].specification.id.organisation.value = "<script>";
    jobs[0].acceptedAt = start;
    input.jobs = mergeRecords(jobs, {});
    const auto html = reviewReport(makeReview(input));
    EXPECT_EQ(html.find("<script>"), std::string::npos);
    EXPECT_NE(html.find("&lt;script&gt;"), std::string::npos);
    EXPECT_NE(html.find("<svg "), std::string::npos);
    EXPECT_EQ(html.find("http"), std::string::npos);
}

}
