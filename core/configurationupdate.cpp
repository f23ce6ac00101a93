#include "controllers.h"

#include <algorithm>
#include <ranges>

namespace sequoiastand
{

namespace
{

const std::string itemPrefix = "config/item/";

const ConfigurationVersion *versionIn(const std::vector<StoreEntry> &entries)
{
    for (const auto &entry : entries) {
        if (const auto *version = std::get_if<ConfigurationVersion>(&entry.record)) {
            return version;
        }
    }
    return nullptr;
}

/// A host that has not heard of the change may still use the longer period that it replaces.
void noteShorterPeriods(Blackboard &board, const Configuration &next)
{
    for (const auto &[id, zone] : board.configuration.availabilityZones) {
        const auto after = next.availabilityZones.find(id);
        if (after == next.availabilityZones.end() || after->second.isolatedStartPeriod < zone.isolatedStartPeriod) {
            auto &until = board.isolatedStartsUntil[id];
            until = std::max(until, board.now + zone.isolatedStartPeriod);
        }
    }
}

void apply(Blackboard &board, Configuration configuration, const std::string &source)
{
    noteShorterPeriods(board, configuration);
    board.configuration = std::move(configuration);
    count(board.counters, "configurationApplied", source);
}

void reportLower(Blackboard &board, long long version)
{
    count(board.counters, "configurationIgnored", "lowerVersion");
    const std::string text = "holds configuration version " + std::to_string(version) + ", below version " + std::to_string(board.configuration.version)
                             + " that this host has applied; not applied";
    board.log.push_back({"updateConfiguration", "store", "", text, true});
}

void applyFullRead(Blackboard &board, const StoreReply &reply)
{
    const auto *version = versionIn(reply.entries);
    const long long stored = version == nullptr ? 0 : version->version;
    if (stored < board.configuration.version) {
        reportLower(board, stored);
    }
    if (stored <= board.configuration.version) {
        return;
    }
    Configuration configuration;
    configuration.version = stored;
    for (const auto &entry : reply.entries) {
        if (const auto *item = std::get_if<ConfigurationItem>(&entry.record)) {
            configuration = withItem(std::move(configuration), *item);
        }
    }
    apply(board, std::move(configuration), "fullRead");
}

/// A change applies only to the version right before it; after a gap the full read or a peer brings the rest.
void applyChange(Blackboard &board, const StoreWatchEvent &event)
{
    const auto *version = versionIn(event.put);
    if (version == nullptr || version->version <= board.configuration.version) {
        return;
    }
    if (version->version != board.configuration.version + 1) {
        count(board.counters, "configurationIgnored", "gap");
        return;
    }
    Configuration configuration = board.configuration;
    configuration.version = version->version;
    for (const auto &entry : event.put) {
        if (const auto *item = std::get_if<ConfigurationItem>(&entry.record)) {
            configuration = withItem(std::move(configuration), *item);
        }
    }
    for (const auto &key : event.deleted) {
        if (key.path.starts_with(itemPrefix)) {
            configuration = withoutItem(std::move(configuration), key.path.substr(itemPrefix.size()));
        }
    }
    apply(board, std::move(configuration), "watch");
}

void applyPeersReply(Blackboard &board, const ConfigurationReply &reply)
{
    if (reply.version <= board.configuration.version) {
        return;
    }
    Configuration configuration;
    configuration.version = reply.version;
    for (const auto &item : reply.items) {
        configuration = withItem(std::move(configuration), item);
    }
    apply(board, std::move(configuration), "peer");
}

}

void updateConfiguration(Blackboard &board)
{
    for (const auto &reply : eventsOf<StoreReply>(board)) {
        if (board.store.fullRead == reply.id && reply.outcome == StoreOutcome::Applied) {
            applyFullRead(board, reply);
        }
    }
    for (const auto &event : eventsOf<StoreWatchEvent>(board)) {
        applyChange(board, event);
    }
    for (const auto &heard : eventsOf<PeerMessageReceived>(board)) {
        if (const auto *reply = std::get_if<ConfigurationReply>(&heard.message)) {
            applyPeersReply(board, *reply);
        }
    }
}

}
