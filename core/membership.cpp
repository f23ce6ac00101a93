#include "controllers.h"
#include "heartbeat.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

/// Silence after which a peer that is gone is removed.
constexpr Duration forgetAfter{600'000};
/// Interval between requests for the whole configuration. One transfer at a time suffices, and the request is repeated soon if a transfer is lost.
constexpr Duration configurationRequestInterval{500};
/// Maximum age of a store read that shows that this host receives changes through the store's watch. No peer then has to send the whole configuration.
constexpr Duration freshReadAge{2'000};

void answerConfigurationRequest(Blackboard &board, const HostId &from, const ConfigurationRequest &request)
{
    const auto *peer = board.peers.find(from);
    if (peer == nullptr) {
        return;
    }
    const ConfigurationReply reply{request.id, board.configuration.version, itemsOf(board.configuration)};
    board.outbox.emplace_back(PeerSend{from, peer->address, reply});
}

/// Marks the previous owner as not owning the zone, so that another host can claim the zone without delay.
void applyHandover(Blackboard &board, const HostId &from)
{
    const auto *knownPeer = board.peers.find(from);
    if (knownPeer == nullptr) {
        return;
    }
    Peer peer = *knownPeer;
    peer.ownedEpoch = 0;
    board.peers.put(from, peer);
}

void applyPeerMessages(Blackboard &board)
{
    for (const auto &received : eventsOf<PeerMessageReceived>(board)) {
        if (const auto *heartbeat = std::get_if<Heartbeat>(&received.message)) {
            applyHeartbeat(board, *heartbeat);
        } else if (const auto *request = std::get_if<ConfigurationRequest>(&received.message)) {
            answerConfigurationRequest(board, received.from, *request);
        } else if (std::holds_alternative<Handover>(received.message)) {
            applyHandover(board, received.from);
        }
    }
}

Peer newPeer(const Blackboard &board, const HostId &id)
{
    Peer peer;
    peer.id = id;
    peer.silenceFrom = board.now;
    return peer;
}

void applyHostRecord(Blackboard &board, const StoreEntry &entry)
{
    const auto *record = std::get_if<HostRecord>(&entry.record);
    if (record == nullptr || record->host == board.self.id) {
        return;
    }
    const auto *knownPeer = board.peers.find(record->host);
    Peer peer = knownPeer == nullptr ? newPeer(board, record->host) : *knownPeer;
    if (entry.revision < peer.recordRevision) {
        return;
    }
    peer.isRecorded = true;
    peer.recordRevision = entry.revision;
    peer.availabilityZone = record->availabilityZone;
    peer.address = record->peerAddress;
    if (peer.state == PeerState::Gone) {
        peer.state = PeerState::Suspect;
        peer.silenceFrom = board.now;
    }
    board.peers.put(peer.id, peer);
}

void removeHostRecord(Blackboard &board, const HostId &id, Revision revision)
{
    const auto *knownPeer = board.peers.find(id);
    if (knownPeer == nullptr || !knownPeer->isRecorded || revision < knownPeer->recordRevision) {
        return;
    }
    Peer peer = *knownPeer;
    peer.isRecorded = false;
    peer.recordRevision = revision;
    board.peers.put(id, peer);
}

void applyHostRecords(Blackboard &board)
{
    for (const auto &reply : eventsOf<StoreReply>(board)) {
        if (board.store.fullRead != reply.id) {
            continue;
        }
        const auto rows = board.peers.rows();
        for (const auto &[id, peer] : rows) {
            if (std::ranges::find(reply.entries, hostKey(id), &StoreEntry::key) == reply.entries.end()) {
                removeHostRecord(board, id, peer.recordRevision);
            }
        }
        std::ranges::for_each(reply.entries, [&board](const StoreEntry &entry) { applyHostRecord(board, entry); });
    }
    const std::string prefix = hostKey(HostId{}).path;
    for (const auto &event : eventsOf<StoreWatchEvent>(board)) {
        std::ranges::for_each(event.put, [&board](const StoreEntry &entry) { applyHostRecord(board, entry); });
        for (const auto &key : event.deleted) {
            if (key.path.starts_with(prefix)) {
                removeHostRecord(board, HostId{key.path.substr(prefix.size())}, event.revision);
            }
        }
    }
}

void applyListedHost(Blackboard &board, const ListedHost &listed)
{
    const HostId id{listed.id};
    const auto *knownPeer = board.peers.find(id);
    Peer peer = knownPeer == nullptr ? newPeer(board, id) : *knownPeer;
    if (peer.address.empty()) {
        peer.availabilityZone = listed.availabilityZone;
        peer.address = listed.address;
    }
    peer.isListed = true;
    peer.wasListed = true;
    peer.isListedLeaving = listed.isLeaving;
    peer.isLeaving = peer.isLeaving || listed.isLeaving;
    board.peers.put(id, peer);
}

/// Applies the platform's host list. The list lags behind the actual state, so a host that it never contained may be new. A host that was removed from
/// the list counts as gone once it is also unresponsive.
void applyHostList(Blackboard &board)
{
    for (const auto &list : eventsOf<HostListRead>(board)) {
        const auto isEntryHost = [](const ListedHost &host) { return host.kind == ListedKind::EntryHost; };
        for (const auto &host : list.hosts) {
            if (isEntryHost(host) && host.id != board.self.id.value) {
                applyListedHost(board, host);
            }
        }
        const auto rows = board.peers.rows();
        for (const auto &[id, knownPeer] : rows) {
            const auto isSamePeer = [&](const ListedHost &host) { return isEntryHost(host) && host.id == id.value; };
            if (knownPeer.wasListed && knownPeer.isListed && std::ranges::none_of(list.hosts, isSamePeer)) {
                Peer peer = knownPeer;
                peer.isListed = false;
                board.peers.put(id, peer);
            }
        }
    }
}

Duration silence(const Blackboard &board, const Peer &peer)
{
    return board.now - std::max(peer.silenceFrom, peer.lastContact.value_or(peer.silenceFrom));
}

PeerState stateOf(const Blackboard &board, const Peer &peer)
{
    const Duration suspicion = suspicionTimeout(board);
    const Duration silent = silence(board, peer);
    const bool hasNoRecord = board.store.isLoaded && !peer.isRecorded;
    if ((hasNoRecord && silent >= std::max(board.self.limits.goneAfter, suspicion)) || (!peer.isListed && silent >= suspicion)) {
        return PeerState::Gone;
    }
    if (peer.state == PeerState::Gone) {
        return PeerState::Gone;
    }
    return silent >= suspicion ? PeerState::Suspect : peer.state;
}

/// Restarts the silence of all peers if this host was paused. A paused host receives no messages, so their absence does not show that a peer failed.
void resetSilenceAfterPause(Blackboard &board)
{
    if (board.now < board.membershipCheckedAt + board.self.limits.suspectAfter) {
        return;
    }
    const auto rows = board.peers.rows();
    for (const auto &[id, knownPeer] : rows) {
        Peer peer = knownPeer;
        peer.silenceFrom = board.now;
        board.peers.put(id, peer);
    }
}

void updateStates(Blackboard &board)
{
    resetSilenceAfterPause(board);
    board.membershipCheckedAt = board.now;
    const auto rows = board.peers.rows();
    for (const auto &[id, knownPeer] : rows) {
        const PeerState state = stateOf(board, knownPeer);
        if (state == PeerState::Gone && !knownPeer.isSeed && !knownPeer.isRecorded && silence(board, knownPeer) >= forgetAfter) {
            board.peers.erase(id);
            continue;
        }
        if (state == knownPeer.state) {
            continue;
        }
        Peer peer = knownPeer;
        peer.state = state;
        if (state == PeerState::Gone) {
            peer.ownedEpoch = 0;
        }
        board.peers.put(id, peer);
        count(board.counters, "peers", state == PeerState::Gone ? "gone" : "suspect");
        board.log.push_back({"updateMembership", id.value, "", state == PeerState::Gone ? "gone" : "suspect", false});
    }
}

void requestConfiguration(Blackboard &board)
{
    const auto &session = board.store;
    const bool hasWatch = session.isWatching && session.lastReadSent && board.now < *session.lastReadSent + freshReadAge;
    const bool isRequested = board.configurationRequestedAt && board.now < *board.configurationRequestedAt + configurationRequestInterval;
    if (isRequested) {
        return;
    }
    const long long knownVersion = std::max(board.configuration.version, hasWatch ? session.storedVersion : 0);
    const Peer *sourcePeer = nullptr;
    for (const auto &[id, peer] : board.peers.rows()) {
        const bool isNewer = peer.state == PeerState::Alive && peer.configurationVersion > knownVersion;
        if (isNewer && (sourcePeer == nullptr || peer.configurationVersion > sourcePeer->configurationVersion)) {
            sourcePeer = &peer;
        }
    }
    if (sourcePeer == nullptr) {
        return;
    }
    board.configurationRequestedAt = board.now;
    count(board.counters, "configurationRequests", "sent");
    board.outbox.emplace_back(PeerSend{sourcePeer->id, sourcePeer->address, ConfigurationRequest{takeCallId(board)}});
}

/// Collects the capacities that zone owners report. Zones without a live owner are omitted, so no job is placed in them.
void updateCapacities(Blackboard &board)
{
    std::map<AvailabilityZoneId, std::pair<Epoch, ZoneCapacity>> owners;
    if (board.epoch > 0) {
        owners[board.self.availabilityZone] = {board.epoch, ownCapacity(board)};
    }
    for (const auto &[id, peer] : board.peers.rows()) {
        if (peer.state != PeerState::Alive || peer.ownedEpoch == 0) {
            continue;
        }
        auto &owner = owners[peer.availabilityZone];
        if (peer.ownedEpoch > owner.first) {
            owner = {peer.ownedEpoch, peer.capacity};
        }
    }
    board.zoneCapacities.clear();
    for (const auto &[zone, owner] : owners) {
        board.zoneCapacities[zone] = owner.second;
    }
}

}

void updateMembership(Blackboard &board)
{
    applyPeerMessages(board);
    applyHostRecords(board);
    applyHostList(board);
    if (isDue(board.timers, "membership")) {
        updateStates(board);
        sendHeartbeats(board);
        updateCapacities(board);
    }
    requestConfiguration(board);
}

}
