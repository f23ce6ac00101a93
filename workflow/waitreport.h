#pragma once

#include "core/time.h"

#include <algorithm>

namespace sequoiastand
{

/// Log lines about a wait that may last: the first after a second, the next ones at intervals that double from one second to one minute.
struct WaitReport
{
    static constexpr Duration firstInterval{1'000};
    static constexpr Duration longestInterval{60'000};

    TimePoint since;
    TimePoint nextLineAt;
    Duration interval = firstInterval;
    int lines = 0; ///< Number of lines written.

    friend bool operator==(const WaitReport &, const WaitReport &) = default;
};

inline WaitReport reportSince(TimePoint since)
{
    return {since, since + WaitReport::firstInterval};
}

/// The report after a line that is written now.
inline WaitReport withLine(const WaitReport &report, TimePoint now)
{
    return {report.since, now + report.interval, std::min(2 * report.interval, WaitReport::longestInterval), report.lines + 1};
}

}
