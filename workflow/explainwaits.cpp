#include "controllers.h"
#include "eligibility.h"
#include "jobwaits.h"
#include "placementinput.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Shortest time between two scans, and the time per open workflow that is added to it. Checking one workflow takes about 0.5 us.
constexpr Duration scanPause{500};
constexpr std::chrono::microseconds scanPausePerWorkflow{50};

// Limit on the lines of one scan, so that thousands of jobs that wait for the same reason leave room in the log for placements. The others follow in the next
// scans, those whose lines are due for longest first.
constexpr std::size_t maxLinesPerScan = 80;

struct DueLine
{
    RequestId workflow;
    TimePoint due;
    std::string reason;
};

void logWait(WorkflowBoard &board, const RequestId &workflow, const std::string &message)
{
    logDecision(board, "waitJob", queueOf(board, *board.workflows.find(workflow)->workflow).service.value, workflow.value, message);
}

void logEnd(WorkflowBoard &board, const RequestId &workflow, const WaitReport &report)
{
    const auto *entry = board.workflows.find(workflow);
    if (report.lines > 0 && entry != nullptr && !hasEnded(entry->progress.state)) {
        logWait(board, workflow, "over after " + std::to_string((board.now - report.since).count()) + " ms");
    }
}

/// Ends the waits of workflows with a run that has begun in this step. Between two scans, a short run may begin and end.
void endWaits(WorkflowBoard &board)
{
    for (const auto &task : board.runs.changes()) {
        const auto report = board.waitingJobs.find(task.step.workflow);
        const auto *run = board.runs.find(task);
        if (report != board.waitingJobs.end() && run != nullptr && isRunning(*run)) {
            logEnd(board, report->first, report->second);
            board.waitingJobs.erase(report);
        }
    }
}

/// True if a `waitStep` line explains the wait, or a pass that is about to be made will write one.
bool isExplainedByPass(const WorkflowBoard &board, const RequestId &workflow, const WaitReport &report)
{
    const auto explained = board.explainedWaits.lower_bound({workflow, 0, 0});
    const bool isExplained =
        explained != board.explainedWaits.end() && explained->first.workflow == workflow && board.now - explained->second < explanationPeriod + scanPause;
    return isExplained || board.now - report.since < firstExplanationAfter + scanPause;
}

/// Updates the list of workflows with nothing running, and returns the lines that are due.
std::vector<DueLine> scan(WorkflowBoard &board)
{
    std::vector<DueLine> lines;
    std::map<RequestId, WaitReport> waiting;
    for (const auto &id : board.workflows.open()) {
        const auto wait = findJobWait(board, id);
        if (!wait) {
            continue;
        }
        const auto present = board.waitingJobs.find(id);
        const auto &report =
            waiting
                .emplace(id,
                         present != board.waitingJobs.end() ? present->second : reportSince(waitsSince(board, *board.workflows.find(id)).value_or(board.now)))
                .first->second;
        if (board.now >= report.nextLineAt && !(wait->isInPlacement && isExplainedByPass(board, id, report))) {
            lines.push_back({id, report.nextLineAt, wait->reason});
        }
    }
    for (const auto &[id, report] : std::exchange(board.waitingJobs, std::move(waiting))) {
        if (!board.waitingJobs.contains(id)) {
            logEnd(board, id, report);
        }
    }
    return lines;
}

}

void explainWaits(WorkflowBoard &board)
{
    if (board.ownership.step != OwnershipStep::Owner) {
        board.waitingJobs.clear();
        return;
    }
    endWaits(board);
    if (board.now >= board.nextWaitScanAt) {
        auto lines = scan(board);
        std::ranges::stable_sort(lines, {}, &DueLine::due);
        lines.resize(std::min(lines.size(), maxLinesPerScan));
        for (const auto &line : lines) {
            auto &report = board.waitingJobs.at(line.workflow);
            logWait(board, line.workflow, "nothing has run for " + std::to_string((board.now - report.since).count()) + " ms: " + line.reason);
            report = withLine(report, board.now);
        }
        board.nextWaitScanAt =
            board.now + scanPause + std::chrono::duration_cast<Duration>(scanPausePerWorkflow * static_cast<int>(board.workflows.open().size()));
    }
    subscribeNoLaterThan(board.timers, "waits", board.nextWaitScanAt);
}

}
