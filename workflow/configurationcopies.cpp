#include "configurationcopies.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

constexpr const char *copiesCounter = "configurationsReceived";

}

void countConfigurations(WorkflowBoard &board, const std::vector<StoreEntry> &entries, const std::string &source)
{
    const auto copies = std::ranges::count_if(entries, [](const StoreEntry &entry) { return std::holds_alternative<QueueConfiguration>(entry.record); });
    if (copies > 0) {
        count(board.counters, copiesCounter, source, copies);
    }
}

std::string receivedCopies(const Counters &counters)
{
    std::string text;
    for (auto row = counters.values.lower_bound({copiesCounter, ""}); row != counters.values.end() && row->first.name == copiesCounter; ++row) {
        text += (text.empty() ? std::to_string(row->second) + " copies by " : ", " + std::to_string(row->second) + " by ") + row->first.label;
    }
    return text;
}

}
