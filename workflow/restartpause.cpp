#include "restartpause.h"

#include <algorithm>
#include <limits>

namespace sequoiastand
{

namespace
{

// A run that ends by itself within this time of its start counts as a quick end.
constexpr Duration quickEnd{2'000};

// Pause before the third run of a task whose runs end quickly; it doubles with each further one. The longest pause leaves time for the start itself within the
// nine seconds after which a lasting task without a run counts as lost.
constexpr Duration firstPause{250};
constexpr Duration longestPause{4'000};

/// The task under which a run's end is noted: the first task of a gang, whose members end together.
TaskId notedTask(TaskId task, bool isGang)
{
    task.index = isGang ? 0 : task.index;
    return task;
}

Duration pauseAfter(int quickEnds)
{
    constexpr int maxDoublings = 10;
    return quickEnds <= 1 ? Duration{0} : std::min(longestPause, firstPause * (1 << std::min(quickEnds - 2, maxDoublings)));
}

}

void noteLastingEnd(WorkflowBoard &board, const TaskRun &run, bool isGang)
{
    const auto task = notedTask(run.task, isGang);
    const auto present = board.restartPauses.find(task);
    if (board.now - run.startSentAt > quickEnd) {
        board.restartPauses.erase(task);
        return;
    }
    RestartPause pause = present == board.restartPauses.end() ? RestartPause{} : present->second;
    if (pause.lastRun == run.number) {
        return; // Another member of the gang has ended.
    }
    pause.lastRun = run.number;
    ++pause.quickEnds;
    pause.until = board.now + pauseAfter(pause.quickEnds);
    board.restartPauses.insert_or_assign(task, pause);
}

bool isRestartPaused(const WorkflowBoard &board, const TaskId &task, bool isGang)
{
    const auto pause = board.restartPauses.find(notedTask(task, isGang));
    return pause != board.restartPauses.end() && board.now < pause->second.until;
}

std::optional<TimePoint> nextRestart(const WorkflowBoard &board)
{
    std::optional<TimePoint> next;
    for (const auto &[task, pause] : board.restartPauses) {
        if (pause.until > board.now) {
            next = std::min(next.value_or(pause.until), pause.until);
        }
    }
    return next;
}

void forgetRestartPauses(WorkflowBoard &board, const RequestId &workflow)
{
    constexpr int last = std::numeric_limits<int>::max();
    auto &pauses = board.restartPauses;
    pauses.erase(pauses.lower_bound({{workflow, 0, 0}, 0}), pauses.upper_bound({{workflow, last, last}, last}));
}

}
