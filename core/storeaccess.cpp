#include "storeaccess.h"

#include <algorithm>

namespace sequoiastand
{

bool canReachStore(const Blackboard &board)
{
    const Duration freshness = board.self.limits.permitPeriod;
    if (board.store.lastReadSent && board.now - *board.store.lastReadSent <= freshness) {
        return true;
    }
    return std::ranges::any_of(board.peers.rows(), [&](const auto &row) {
        const Peer &peer = row.second;
        return peer.state == PeerState::Alive && peer.storeReadAge && peer.lastContact && *peer.storeReadAge + (board.now - *peer.lastContact) <= freshness;
    });
}

std::vector<StoreEntry> storeEntriesInInbox(const Blackboard &board)
{
    std::vector<StoreEntry> entries;
    const auto append = [&entries](const std::vector<StoreEntry> &seen) { entries.insert(entries.end(), seen.begin(), seen.end()); };
    for (const Event &event : board.inbox) {
        if (const auto *watch = std::get_if<StoreWatchEvent>(&event)) {
            append(watch->put);
        } else if (const auto *reply = std::get_if<StoreReply>(&event)) {
            append(reply->entries);
        } else if (const auto *received = std::get_if<PeerMessageReceived>(&event)) {
            if (const auto *relayed = std::get_if<StoreRelayReply>(&received->message)) {
                append(relayed->reply.entries);
            }
        }
    }
    return entries;
}

std::vector<StoreKey> storeDeletionsInInbox(const Blackboard &board)
{
    std::vector<StoreKey> keys;
    for (const Event &event : board.inbox) {
        if (const auto *watch = std::get_if<StoreWatchEvent>(&event)) {
            keys.insert(keys.end(), watch->deleted.begin(), watch->deleted.end());
        }
    }
    return keys;
}

std::optional<FullRead> fullReadInInbox(const Blackboard &board)
{
    for (const Event &event : board.inbox) {
        const auto *reply = std::get_if<StoreReply>(&event);
        if (reply != nullptr && board.store.fullRead == reply->id) {
            FullRead read{reply->revision, {}};
            std::ranges::for_each(reply->entries, [&read](const StoreEntry &entry) { read.keys.insert(entry.key); });
            return read;
        }
    }
    return std::nullopt;
}

bool withdrawWrite(StoreSession &session, const StoreKey &key)
{
    if (isInFlight(session, key)) {
        return false;
    }
    return std::erase_if(session.writes, [&key](const PendingWrite &pending) { return pending.write.key == key; }) > 0;
}

bool isQueued(const StoreSession &session, const StoreKey &key)
{
    return std::ranges::any_of(session.writes, [&key](const PendingWrite &pending) { return pending.write.key == key; });
}

bool isInFlight(const StoreSession &session, const StoreKey &key)
{
    return session.batch && std::ranges::any_of(session.batch->writes, [&key](const PendingWrite &pending) { return pending.write.key == key; });
}

}
