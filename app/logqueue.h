#pragma once

#include "logratelimit.h"
#include "repeatfilter.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace sequoiastand
{

/// A line with the time of its entry; it may be written later.
struct TimedLine
{
    LogLine line;
    WallTime at;

    friend bool operator==(const TimedLine &, const TimedLine &) = default;
};

/// Lines that wait because the log's limit for the current second has been reached, or because the reader of the log is slow. Only lines about decisions wait:
/// those that say that a job was placed, why it is not, or why its runs were stopped. While one waits, no other line about a job is written.
struct LogQueue
{
    LogRateLimit rate;
    std::size_t maxWaiting = 4'000; ///< Limits the memory to about 1 MB. With the rate limit, the last of these lines is written after 14 s.
    std::deque<TimedLine> waiting;

    friend bool operator==(const LogQueue &, const LogQueue &) = default;
};

/// True if the entry says that a job was placed, why it is not, why its runs were stopped, or how it ended.
bool isDecision(const LogEntry &entry);

/// Returns the lines to write now, at most the new line, and adds the line to those that wait or counts it as suppressed. `hasRoom` is false while the reader of
/// the log is slow.
std::vector<TimedLine> admit(LogQueue &queue, TimedLine line, bool hasRoom, TimePoint now);

/// Removes and returns the first of the waiting lines, as many as may be written now.
std::vector<TimedLine> takeWaiting(LogQueue &queue, TimePoint now);

}
