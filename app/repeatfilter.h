#pragma once

#include "core/logentry.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <string>

namespace sequoiastand
{

/// A log entry that is written, with the number of like entries left out since it was last written.
struct LogLine
{
    LogEntry entry;
    long long suppressed = 0;

    friend bool operator==(const LogLine &, const LogLine &) = default;
};

/// Entries written lately, by their text without digits: a message that repeats with other figures is the same message.
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

/// The line to write, or none if a like entry was written less than the period ago. Entries that name a job are always written: each is a decision of its own.
std::optional<LogLine> filterRepeat(RepeatFilter &filter, const LogEntry &entry, TimePoint now);

}
