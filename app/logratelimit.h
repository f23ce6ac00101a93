#pragma once

#include "core/time.h"

namespace sequoiastand
{

/// Lines that may be written within a second; the others are counted.
struct LogRateLimit
{
    int linesPerSecond = 400; ///< About twice what the owner writes under the heaviest load measured; a line costs some 20 us.
    TimePoint currentSecond;
    int writtenInSecond = 0;
    long long suppressed = 0;

    friend bool operator==(const LogRateLimit &, const LogRateLimit &) = default;
};

/// True if one more line may be written now; otherwise it is counted as suppressed.
bool allowLine(LogRateLimit &rate, TimePoint now);

/// The number of lines suppressed before the present second, once; zero if there are none.
long long takeSuppressed(LogRateLimit &rate, TimePoint now);

}
