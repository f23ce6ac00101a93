#include "logqueue.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace sequoiastand
{

bool isDecision(const LogEntry &entry)
{
    static constexpr std::array<std::string_view, 5> steps{"placeStep", "waitStep", "waitJob", "stopRuns", "endWorkflow"};
    return !entry.job.empty() && std::ranges::find(steps, entry.step) != steps.end();
}

std::vector<TimedLine> admit(LogQueue &queue, TimedLine line, bool hasRoom, TimePoint now)
{
    const bool namesJob = !line.line.entry.job.empty();
    const bool mustWait = namesJob && (!hasRoom || !queue.waiting.empty());
    const bool mayBeLate = isDecision(line.line.entry) && queue.waiting.size() < queue.maxWaiting;
    if (mayBeLate && (mustWait || !hasRoomForLine(queue.rate, namesJob, now))) {
        queue.waiting.push_back(std::move(line));
        return {};
    }
    if (mustWait) {
        suppressLine(queue.rate, now);
        return {};
    }
    return allowLine(queue.rate, namesJob, now) ? std::vector<TimedLine>{std::move(line)} : std::vector<TimedLine>{};
}

std::vector<TimedLine> takeWaiting(LogQueue &queue, TimePoint now)
{
    std::vector<TimedLine> taken;
    while (!queue.waiting.empty() && hasRoomForLine(queue.rate, true, now)) {
        allowLine(queue.rate, true, now);
        taken.push_back(std::move(queue.waiting.front()));
        queue.waiting.pop_front();
    }
    return taken;
}

}
