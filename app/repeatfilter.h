#pragma once

#include "core/logentry.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace sequoiastand
{

/// A log entry to write, with the number of similar entries suppressed since the last one was written.
struct LogLine
{
    LogEntry entry;
    long long suppressed = 0;

    friend bool operator==(const LogLine &, const LogLine &) = default;
};

/// Recently written entries. The key consists of step, peer and message without digits, so messages that differ only in numbers count as the same message.
struct RepeatFilter
{
    struct RecentEntry
    {
        TimePoint at;
        long long suppressed = 0;

        friend bool operator==(const RecentEntry &, const RecentEntry &) = default;
    };

    Duration period{10'000};
    std::map<std::string, RecentEntry> recentEntries;

    friend bool operator==(const RepeatFilter &, const RepeatFilter &) = default;
};

/// The line to write, or none if a similar entry was written less than `period` ago. Entries that name a job are always written, because each of them
/// records a separate decision.
std::optional<LogLine> filterRepeat(RepeatFilter &filter, const LogEntry &entry, TimePoint now);

}
