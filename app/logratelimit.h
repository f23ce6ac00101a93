#pragma once

#include "core/time.h"

namespace sequoiastand
{

/// Limits the number of lines written per second and counts the suppressed lines. Some of the lines are reserved for entries that name no job: the ends of
/// thousands of tasks within a second once hid why the host had released the domain.
struct LogRateLimit
{
    int linesPerSecond = 400;    ///< About twice the rate of a zone owner under peak load; writing a line takes about 20 us.
    int jobLinesPerSecond = 300; ///< Limit on the lines that name a job.
    TimePoint currentSecond;
    int writtenInSecond = 0;
    long long suppressed = 0;

    friend bool operator==(const LogRateLimit &, const LogRateLimit &) = default;
};

/// True if the limit for the current second leaves room for another line.
bool hasRoomForLine(const LogRateLimit &rate, bool namesJob, TimePoint now);

/// True if another line may be written now; otherwise the line is counted as suppressed.
bool allowLine(LogRateLimit &rate, bool namesJob, TimePoint now);

/// Counts a line that is not written.
void suppressLine(LogRateLimit &rate, TimePoint now);

/// Returns the number of lines that were suppressed before the current second, and resets this number to zero.
long long takeSuppressed(LogRateLimit &rate, TimePoint now);

}
