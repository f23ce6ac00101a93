#include "logratelimit.h"

#include <chrono>
#include <utility>

namespace sequoiastand
{

bool allowLine(LogRateLimit &rate, bool namesJob, TimePoint now)
{
    const auto currentSecond = std::chrono::floor<std::chrono::seconds>(now);
    if (rate.currentSecond != currentSecond) {
        rate.currentSecond = currentSecond;
        rate.writtenInSecond = 0;
    }
    if (rate.writtenInSecond >= (namesJob ? rate.jobLinesPerSecond : rate.linesPerSecond)) {
        ++rate.suppressed;
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
