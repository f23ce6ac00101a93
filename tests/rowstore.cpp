#include "tests/rowstore.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

bool holds(const RowStore &store, const StoreWrite &write)
{
    const auto present = store.entries.find(write.key);
    const Revision revision = present == store.entries.end() ? 0 : present->second.revision;
    return !write.expected || *write.expected == revision;
}

void apply(RowStore &store, const StoreWrite &write, StoreWatchEvent &event)
{
    if (write.record) {
        const StoreEntry entry{write.key, *write.record, store.revision};
        store.entries.insert_or_assign(write.key, entry);
        event.put.push_back(entry);
    } else {
        store.entries.erase(write.key);
        event.deleted.push_back(write.key);
    }
    ++store.writeCount;
}

}

WriteResult writeRow(RowStore &store, const StoreWrite &write)
{
    const auto present = store.entries.find(write.key);
    if (!holds(store, write)) {
        std::optional<StoreEntry> entry;
        if (present != store.entries.end()) {
            entry = present->second;
        }
        return {write.key, WriteOutcome::Conflict, entry ? entry->revision : 0, entry};
    }
    ++store.revision;
    StoreWatchEvent event{store.revision, {}, {}};
    apply(store, write, event);
    store.history.push_back(event);
    return {write.key, WriteOutcome::Applied, write.record ? store.revision : 0, std::nullopt};
}

std::optional<StoreReply> answerCall(RowStore &store, const StoreCall &call)
{
    if (!store.isUp) {
        return std::nullopt;
    }
    StoreReply reply;
    reply.id = call.id;
    reply.outcome = StoreOutcome::Applied;
    reply.lease = 1;
    reply.leaseTimeToLive = Duration{10'000};
    if (const auto *range = std::get_if<StoreRange>(&call.request)) {
        for (const auto &[key, entry] : store.entries) {
            if (key == range->key || (range->isPrefix && key.path.starts_with(range->key.path))) {
                reply.entries.push_back(entry);
            }
        }
    } else if (const auto *transaction = std::get_if<StoreTransaction>(&call.request)) {
        if (std::ranges::all_of(transaction->writes, [&store](const StoreWrite &write) { return holds(store, write); })) {
            ++store.revision;
            StoreWatchEvent event{store.revision, {}, {}};
            std::ranges::for_each(transaction->writes, [&](const StoreWrite &write) { apply(store, write, event); });
            store.history.push_back(event);
        } else {
            reply.outcome = StoreOutcome::Conflict;
            for (const StoreWrite &write : transaction->writes) {
                if (const auto present = store.entries.find(write.key); present != store.entries.end()) {
                    reply.entries.push_back(present->second);
                }
            }
        }
    }
    reply.revision = store.revision;
    return reply;
}

const Job *storedJob(const RowStore &store, const JobId &id)
{
    const auto entry = store.entries.find(jobKey(id));
    return entry == store.entries.end() ? nullptr : std::get_if<Job>(&entry->second.record);
}

}
