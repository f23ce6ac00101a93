#include "lograte.h"

#include <chrono>
#include <utility>

namespace sequoiastand
{

bool takeLine(LogRate &rate, TimePoint now)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(now);
    if (rate.second != second) {
        rate.second = second;
        rate.written = 0;
    }
    if (rate.written >= rate.linesPerSecond) {
        ++rate.suppressed;
        return false;
    }
    ++rate.written;
    return true;
}

long long takeSuppressed(LogRate &rate, TimePoint now)
{
    return std::chrono::floor<std::chrono::seconds>(now) == rate.second ? 0 : std::exchange(rate.suppressed, 0);
}

}
