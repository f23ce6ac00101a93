#include "repeatfilter.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sequoiastand
{

namespace
{

// Bounds the memory for entries that never repeat.
constexpr std::size_t maxWrittenEntries = 1'000;

std::string keyOf(const LogEntry &entry)
{
    std::string key = entry.step + '\n' + entry.peer + '\n';
    std::ranges::copy_if(entry.message, std::back_inserter(key), [](char letter) { return !absl::ascii_isdigit(static_cast<unsigned char>(letter)); });
    return key;
}

}

std::optional<LogLine> filterRepeat(RepeatFilter &filter, const LogEntry &entry, TimePoint now)
{
    if (!entry.job.empty()) {
        return LogLine{entry, 0};
    }
    if (filter.recentEntries.size() >= maxWrittenEntries) {
        std::erase_if(filter.recentEntries, [&](const auto &row) { return row.second.at + filter.period <= now; });
    }
    if (filter.recentEntries.size() >= maxWrittenEntries) {
        filter.recentEntries.clear();
    }
    const auto [row, isNew] = filter.recentEntries.try_emplace(keyOf(entry), RepeatFilter::RecentEntry{now, 0});
    if (!isNew && now < row->second.at + filter.period) {
        ++row->second.suppressed;
        return std::nullopt;
    }
    const auto suppressed = std::exchange(row->second, RepeatFilter::RecentEntry{now, 0}).suppressed;
    return LogLine{entry, suppressed};
}

}
