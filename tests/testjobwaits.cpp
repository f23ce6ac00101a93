#include "tests/domainfixture.h"
#include "workflow/jobwaits.h"
#include "workflow/progresschange.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>

namespace sequoiastand
{

/// One host that owns eight targets, and callers who ask why their jobs have nothing running.
struct JobWaits : DomainTest
{
    JobWaits()
    {
        addTargets(8);
        addHost("h1");
        run(Duration{2'000});
    }

    /// Lines of the log about the workflow that contain the text.
    std::ptrdiff_t lines(int number, const std::string &step, const std::string &text = "")
    {
        return std::ranges::count_if(history, [&](const std::string &line) {
            return absl::StrContains(line, " " + step + " ") && absl::StrContains(line, id(number).value) && absl::StrContains(line, text);
        });
    }

    void fillFleet()
    {
        answerTo(submit(id(1), batch(64, {1'000, 1'000, 1}, Duration{60'000}), {Duration{60'000}, {}}, "h1", "/ordinary/"));
        run(Duration{1'000});
    }
};

// Guards against a job that waits in silence because no placement pass is made: only passes explained waits.
TEST_F(JobWaits, jobIsExplainedWhileTheConfigurationCannotBeProved)
{
    fillFleet();
    answerTo(submit(id(2), batch(1, {1'000, 1'000, 1}), {}, "h1", "/ordinary/"));
    store.faults.refusedTransactions.insert({"h1"});
    run(Duration{16'000});
    EXPECT_GE(lines(2, "waitJob", "the configuration has not been proved for"), 1);
    EXPECT_EQ(lines(1, "waitJob"), 0);
}

// Guards against a job whose runs have been recorded and wait for the store without a line that names the job.
TEST_F(JobWaits, jobIsExplainedWhileItsRecordIsNotStored)
{
    store.faults.watchLatency = Duration{100}; // The owner learns of the job after the store has begun to refuse.
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1})));
    store.faults.refusedTransactions.insert({"h1"});
    run(Duration{2'000});
    EXPECT_GE(lines(1, "waitJob", "its record is not stored: a batch has had no answer for"), 1);
}

// Guards against a gang that waits for the answers of its targets without a line that says so.
TEST_F(JobWaits, gangIsExplainedWhileItsStartsAreNotAnswered)
{
    losesStartAnswers = true;
    holdDelay = Duration{30'000};
    startDelay = Duration{30'000};
    answerTo(submit(id(1), gang(2, {1'000, 1'000, 1})));
    run(Duration{1'600});
    EXPECT_GE(lines(1, "waitJob", "its start has not been answered") + lines(1, "waitJob", "its stop has not been answered"), 1);
    EXPECT_GE(oldestJobWait(board("h1")), Duration{1'500});
}

// Guards against a lasting task that is not started again for a while without a line that says until when.
TEST_F(JobWaits, lastingTaskIsExplainedWhileItsRestartIsPaused)
{
    auto specification = batch(1, {1'000, 1'000, 1});
    specification.steps.front().isLasting = true;
    answerTo(submit(id(1), specification, {.work = Duration{100}, .lastingEnd = RunEnd::Failed}));
    run(Duration{20'000});
    EXPECT_GE(lines(1, "waitJob", "step 0 starts again in"), 1);
    EXPECT_GE(lines(1, "waitJob", "over after"), 1);
}

// Guards against a log that a job fills while it waits: the intervals double.
TEST_F(JobWaits, linesAboutALongWaitBecomeRarer)
{
    fillFleet();
    answerTo(submit(id(2), batch(1, {1'000, 1'000, 1}), {}, "h1", "/ordinary/"));
    store.faults.refusedTransactions.insert({"h1"});
    run(Duration{40'000});
    EXPECT_GE(lines(2, "waitJob"), 2);
    EXPECT_LE(lines(2, "waitJob"), 6);
}

// Guards against two explanations of the same wait: placement passes write waitStep.
TEST_F(JobWaits, jobThatWaitsForRoomIsExplainedByPlacementOnly)
{
    fillFleet();
    answerTo(submit(id(2), batch(1, {1'000, 1'000, 1}), {}, "h1", "/ordinary/"));
    run(Duration{12'000});
    EXPECT_GE(lines(2, "waitStep"), 2);
    EXPECT_EQ(lines(2, "waitJob"), 0);
    EXPECT_GE(oldestJobWait(board("h1")), Duration{11'000});
}

// Guards against a wait that is counted across short runs because each scan meets the pause between two of them.
TEST_F(JobWaits, jobWhoseStepsFollowOneAnotherDoesNotCountAsWaiting)
{
    auto specification = batch(1, {1'000, 1'000, 1}, Duration{300});
    for (int step = 1; step < 8; ++step) {
        specification.steps.push_back(specification.steps.front());
        specification.steps.back().after = {step - 1};
    }
    answerTo(submit(id(1), specification, {Duration{300}, {}}));
    run(Duration{4'000});
    EXPECT_EQ(storedState(id(1)), WorkflowState::Completed);
    EXPECT_EQ(lines(1, "waitJob"), 0);
    EXPECT_EQ(oldestJobWait(board("h1")), Duration{0});
}

// Guards against thousands of lines at once about jobs that wait for the same reason, which would fill the log.
TEST_F(JobWaits, linesOfAScanAreLimited)
{
    constexpr int jobs = 300;
    fillFleet();
    for (int number = 2; number < jobs; ++number) {
        answerTo(submit(id(number), batch(1, {1'000, 1'000, 1}), {}, "h1", "/ordinary/"));
    }
    store.faults.refusedTransactions.insert({"h1"});
    const auto before = std::ssize(history);
    run(Duration{12'000});
    std::map<std::string, int> linesAt;
    for (const auto &line : history | std::views::drop(before)) {
        linesAt[line.substr(0, line.find(' '))] += absl::StrContains(line, " waitJob ") ? 1 : 0;
    }
    EXPECT_LE(std::ranges::max(linesAt | std::views::values), 80);
    EXPECT_EQ(std::ranges::count_if(std::views::iota(2, jobs), [&](int number) { return lines(number, "waitJob") == 0; }), 0);
}

// Guards against a line that says that a job has not begun although all its tasks have finished and only its end has not been decided.
TEST_F(JobWaits, jobWithFinishedTasksIsNotExplainedAsNotBegun)
{
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{60'000}, {}}));
    runUntil([this] { return isAtWork(fleet, id(1)); }, Duration{1'000});
    auto finished = board("h1");
    finished.runs = {};
    changeProgress(finished, id(1), [](WorkflowProgress &progress) { progress.occurrences.at(0).steps.at(0).at(0).isFinished = true; });
    EXPECT_EQ(findJobWait(finished, id(1))->reason, "its tasks have finished and its end is not decided");
}

}
