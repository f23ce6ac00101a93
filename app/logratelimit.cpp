#include "logratelimit.h"

#include <chrono>
#include <utility>

namespace sequoiastand
{

namespace
{

void beginSecond(LogRateLimit &rate, TimePoint now)
{
    const auto currentSecond = std::chrono::floor<std::chrono::seconds>(now);
    if (rate.currentSecond != currentSecond) {
        rate.currentSecond = currentSecond;
        rate.writtenInSecond = 0;
    }
}

}

bool hasRoomForLine(const LogRateLimit &rate, bool namesJob, TimePoint now)
{
    const bool isNewSecond = rate.currentSecond != std::chrono::floor<std::chrono::seconds>(now);
    return isNewSecond || rate.writtenInSecond < (namesJob ? rate.jobLinesPerSecond : rate.linesPerSecond);
}

void suppressLine(LogRateLimit &rate, TimePoint now)
{
    beginSecond(rate, now);
    ++rate.suppressed;
}

bool allowLine(LogRateLimit &rate, bool namesJob, TimePoint now)
{
    beginSecond(rate, now);
    if (!hasRoomForLine(rate, namesJob, now)) {
        suppressLine(rate, now);
        return false;
    }
    ++rate.writtenInSecond;
    return true;
}

long long takeSuppressed(LogRateLimit &rate, TimePoint now)
{
    return std::chrono::floor<std::chrono::seconds>(now) == rate.currentSecond ? 0 : std::exchange(rate.suppressed, 0);
}

}
