#include "configurationrestore.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

const std::string itemPrefix = "config/item/";
const std::string restoreOperator = "sequoiastand";
/// Maximum number of writes in a transaction; below the store's limit of 128 operations.
constexpr std::size_t writesPerTransaction = 100;

std::vector<StoreWrite> missingItems(const Configuration &configuration, const std::vector<StoreEntry> &stored)
{
    std::vector<StoreWrite> writes;
    const auto rowAt = [&stored](const StoreKey &key) { return std::ranges::find(stored, key, &StoreEntry::key); };
    for (const auto &item : itemsOf(configuration)) {
        const StoreKey key = configurationItemKey(itemPath(item));
        const auto row = rowAt(key);
        if (row == stored.end() || !isSameRecord(row->record, item)) {
            writes.push_back({key, item, std::nullopt});
        }
    }
    for (const auto &entry : stored) {
        if (entry.key.path.starts_with(itemPrefix) && !itemAt(configuration, entry.key.path.substr(itemPrefix.size()))) {
            writes.push_back({entry.key, std::nullopt, std::nullopt});
        }
    }
    return writes;
}

}

void restoreConfiguration(Blackboard &board)
{
    for (const auto &reply : eventsOf<StoreReply>(board)) {
        if (board.store.fullRead != reply.id) {
            continue;
        }
        const auto row = std::ranges::find(reply.entries, configurationVersionKey(), &StoreEntry::key);
        const auto *stored = row == reply.entries.end() ? nullptr : std::get_if<ConfigurationVersion>(&row->record);
        const long long version = board.configuration.version;
        if ((stored == nullptr ? 0 : stored->version) >= version) {
            continue;
        }
        // The version is written last and only if it has not changed, so that only one host completes the restoration and no newer change is overwritten.
        const CommandId command{"restore-" + std::to_string(version)};
        std::vector<StoreWrite> writes = missingItems(board.configuration, reply.entries);
        writes.push_back(
            {configurationVersionKey(), ConfigurationVersion{version, OperatorId{restoreOperator}, command}, row == reply.entries.end() ? 0 : row->revision});
        for (std::size_t first = 0; first < writes.size(); first += writesPerTransaction) {
            const auto from = writes.begin() + static_cast<std::ptrdiff_t>(first);
            const auto until = writes.begin() + static_cast<std::ptrdiff_t>(std::min(first + writesPerTransaction, writes.size()));
            requestTransaction(board.store, {from, until}, "restore");
        }
        count(board.counters, "configurationRestored", "started");
        board.log.push_back({"updateCommands", "store", "", "restores configuration version " + std::to_string(version) + " in the store", false});
    }
}

}
