#include "repeatfilter.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sequoiastand
{

namespace
{

// Maximum number of remembered entries, which limits the memory for entries that never repeat. At this number, the expired entries are removed; if none has
// expired, all entries are removed.
constexpr std::size_t maxWrittenEntries = 1'000;

std::string keyOf(const LogEntry &entry)
{
    std::string key = entry.step + '\n' + entry.peer + '\n';
    std::ranges::copy_if(entry.message, std::back_inserter(key), [](char character) { return !absl::ascii_isdigit(static_cast<unsigned char>(character)); });
    return key;
}

}

std::optional<LogLine> filterRepeat(RepeatFilter &filter, const LogEntry &entry, TimePoint now)
{
    if (!entry.job.empty()) {
        return LogLine{entry, 0};
    }
    if (filter.recentEntries.size() >= maxWrittenEntries) {
        std::erase_if(filter.recentEntries, [&](const auto &recent) { return recent.second.at + filter.period <= now; });
    }
    if (filter.recentEntries.size() >= maxWrittenEntries) {
        filter.recentEntries.clear();
    }
    const auto [recent, isNew] = filter.recentEntries.try_emplace(keyOf(entry), RepeatFilter::RecentEntry{now, 0});
    if (!isNew && now < recent->second.at + filter.period) {
        ++recent->second.suppressed;
        return std::nullopt;
    }
    const auto suppressed = std::exchange(recent->second, RepeatFilter::RecentEntry{now, 0}).suppressed;
    return LogLine{entry, suppressed};
}

}
