#pragma once

#include "core/time.h"

namespace sequoiastand
{

/// Lines that may be written within a second; the others are counted.
struct LogRate
{
    int linesPerSecond = 400; ///< About twice what the owner writes under the heaviest load measured; a line costs some 20 us.
    TimePoint second;
    int written = 0;
    long long suppressed = 0;

    friend bool operator==(const LogRate &, const LogRate &) = default;
};

/// True if one more line may be written now; otherwise it is counted as suppressed.
bool takeLine(LogRate &rate, TimePoint now);

/// The number of lines suppressed before the present second, once; zero if there are none.
long long takeSuppressed(LogRate &rate, TimePoint now);

}
