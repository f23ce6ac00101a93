#include "app/logbuffer.h"
#include "app/logqueue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <string>
#include <vector>

namespace sequoiastand
{

/// The log of an owner that ends and places hundreds of tasks within a second, as after a takeover.
struct LogAfterTakeover : testing::Test
{
    static constexpr int ends = 600;
    static constexpr int placements = 500;

    void write(const LogEntry &entry, bool hasRoom = true)
    {
        const auto lines = admit(queue, {{entry, 0}, WallTime{now.time_since_epoch()}}, hasRoom, now);
        std::ranges::copy(lines, std::back_inserter(written));
    }

    void flushFor(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            now += Duration{1'000};
            std::ranges::copy(takeWaiting(queue, now), std::back_inserter(written));
        }
    }

    static LogEntry entry(const std::string &step, int job)
    {
        return {step, "t1", std::to_string(job), "message", false};
    }

    auto writtenAs(const std::string &step) const
    {
        return std::ranges::count_if(written, [&](const TimedLine &line) { return line.line.entry.step == step; });
    }

    LogQueue queue;
    std::vector<TimedLine> written;
    TimePoint now{Duration{5'000}};
};

// Guards against an owner whose decisions are missing from its log: the ends of tasks filled the limit, and the lines about placements came last.
TEST_F(LogAfterTakeover, placementsAreWrittenThoughEndsHaveReachedTheLimit)
{
    std::ranges::for_each(std::views::iota(0, ends), [&](int job) { write(entry("endRun", job)); });
    std::ranges::for_each(std::views::iota(0, placements), [&](int job) { write(entry("placeStep", job)); });
    flushFor(3);
    EXPECT_EQ(placements, writtenAs("placeStep"));
}

// Guards against a log that exceeds its limit when it writes the lines that had to wait.
TEST_F(LogAfterTakeover, linesThatHadToWaitKeepTheLimit)
{
    std::ranges::for_each(std::views::iota(0, placements), [&](int job) { write(entry("placeStep", job)); });
    EXPECT_EQ(queue.rate.jobLinesPerSecond, writtenAs("placeStep"));
    flushFor(1);
    std::ranges::for_each(std::views::iota(0, ends), [&](int job) { write(entry("endRun", job)); });
    EXPECT_EQ(2 * queue.rate.jobLinesPerSecond, std::ssize(written));
    EXPECT_EQ(placements, writtenAs("placeStep"));
}

// Guards against lines about ends that take the limit from a decision that waits.
TEST_F(LogAfterTakeover, nothingElseAboutJobsIsWrittenWhileADecisionWaits)
{
    std::ranges::for_each(std::views::iota(0, 2 * queue.rate.jobLinesPerSecond), [&](int job) { write(entry("placeStep", job)); });
    now += Duration{1'000};
    write(entry("endRun", 1));
    EXPECT_EQ(0, writtenAs("endRun"));
    flushFor(2);
    write(entry("endRun", 1));
    EXPECT_EQ(1, writtenAs("endRun"));
}

// Guards against decisions that are dropped because the reader of the log is slow, while the buffer holds less important lines.
TEST_F(LogAfterTakeover, decisionsWaitForASlowReader)
{
    LogBuffer buffer(-1);
    while (buffer.hasRoom()) {
        buffer.add(std::string(1'000, 'x'));
    }
    write(entry("endRun", 1), buffer.hasRoom());
    write(entry("waitStep", 1), buffer.hasRoom());
    EXPECT_TRUE(written.empty());
    flushFor(1);
    EXPECT_EQ(1, writtenAs("waitStep"));
    EXPECT_EQ(0, writtenAs("endRun"));
}

// Guards against memory that grows without limit under a reader that has stopped.
TEST_F(LogAfterTakeover, waitingLinesAreLimited)
{
    std::ranges::for_each(std::views::iota(0, 10'000), [&](int job) { write(entry("placeStep", job), false); });
    EXPECT_EQ(queue.maxWaiting, queue.waiting.size());
    EXPECT_EQ(10'000 - std::ssize(queue.waiting), takeSuppressed(queue.rate, now + Duration{1'000}));
}

// Guards against lines that are written late and then show the time of writing.
TEST_F(LogAfterTakeover, lineThatHadToWaitKeepsItsTime)
{
    const auto at = WallTime{now.time_since_epoch()};
    std::ranges::for_each(std::views::iota(0, placements), [&](int job) { write(entry("placeStep", job)); });
    flushFor(3);
    EXPECT_TRUE(std::ranges::all_of(written, [&](const TimedLine &line) { return line.at == at; }));
}

}
