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

/// For each zone that is removed or whose isolated start period becomes shorter, records until when hosts that have not received the change may still
/// start work under the longer period.
void recordShorterPeriods(Blackboard &board, const Configuration &next)
{
    for (const auto &[id, zone] : board.configuration.availabilityZones) {
        const auto nextZone = next.availabilityZones.find(id);
        if (nextZone == next.availabilityZones.end() || nextZone->second.isolatedStartPeriod < zone.isolatedStartPeriod) {
            auto &until = board.isolatedStartsUntil[id];
            until = std::max(until, board.now + zone.isolatedStartPeriod);
        }
    }
}

void apply(Blackboard &board, Configuration configuration, const std::string &source)
{
    recordShorterPeriods(board, configuration);
    board.configuration = std::move(configuration);
    count(board.counters, "configurationApplied", source);
}

void reportLowerVersion(Blackboard &board, long long version)
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
        reportLowerVersion(board, stored);
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

/// Applies a change only if this host has the version directly before it. After a gap, a full read or a peer supplies the missing changes.
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

void applyPeerReply(Blackboard &board, const ConfigurationReply &reply)
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
    for (const auto &received : eventsOf<PeerMessageReceived>(board)) {
        if (const auto *reply = std::get_if<ConfigurationReply>(&received.message)) {
            applyPeerReply(board, *reply);
        }
    }
}

}
