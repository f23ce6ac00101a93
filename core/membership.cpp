#include "controllers.h"
#include "heartbeat.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

constexpr Duration forgetAfter{600'000};
/// One transfer of the whole configuration at a time is enough; a lost one is asked for again soon.
constexpr Duration configurationAskInterval{500};
/// While reads succeed that often, the watch brings changes item by item and no peer needs to.
constexpr Duration freshRead{2'000};

void answerConfigurationRequest(Blackboard &board, const HostId &from, const ConfigurationRequest &request)
{
    const auto *peer = board.peers.find(from);
    if (peer == nullptr) {
        return;
    }
    const ConfigurationReply reply{request.id, board.configuration.version, itemsOf(board.configuration)};
    board.outbox.emplace_back(PeerSend{from, peer->address, reply});
}

/// After a hand-over the zone is free for the next host at once.
void hearHandover(Blackboard &board, const HostId &from)
{
    const auto *known = board.peers.find(from);
    if (known == nullptr) {
        return;
    }
    Peer peer = *known;
    peer.ownedEpoch = 0;
    board.peers.put(from, peer);
}

void hearPeers(Blackboard &board)
{
    for (const auto &heard : eventsOf<PeerMessageReceived>(board)) {
        if (const auto *heartbeat = std::get_if<Heartbeat>(&heard.message)) {
            applyHeartbeat(board, *heartbeat);
        } else if (const auto *request = std::get_if<ConfigurationRequest>(&heard.message)) {
            answerConfigurationRequest(board, heard.from, *request);
        } else if (std::holds_alternative<Handover>(heard.message)) {
            hearHandover(board, heard.from);
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

void takeRecord(Blackboard &board, const StoreEntry &entry)
{
    const auto *record = std::get_if<HostRecord>(&entry.record);
    if (record == nullptr || record->host == board.self.id) {
        return;
    }
    const auto *known = board.peers.find(record->host);
    Peer peer = known == nullptr ? newPeer(board, record->host) : *known;
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

void dropRecord(Blackboard &board, const HostId &id, Revision revision)
{
    const auto *known = board.peers.find(id);
    if (known == nullptr || !known->isRecorded || revision < known->recordRevision) {
        return;
    }
    Peer peer = *known;
    peer.isRecorded = false;
    peer.recordRevision = revision;
    board.peers.put(id, peer);
}

void readRecords(Blackboard &board)
{
    for (const auto &reply : eventsOf<StoreReply>(board)) {
        if (board.store.fullRead != reply.id) {
            continue;
        }
        const auto rows = board.peers.rows();
        for (const auto &[id, peer] : rows) {
            if (std::ranges::find(reply.entries, hostKey(id), &StoreEntry::key) == reply.entries.end()) {
                dropRecord(board, id, peer.recordRevision);
            }
        }
        std::ranges::for_each(reply.entries, [&board](const StoreEntry &entry) { takeRecord(board, entry); });
    }
    const std::string prefix = hostKey(HostId{}).path;
    for (const auto &event : eventsOf<StoreWatchEvent>(board)) {
        std::ranges::for_each(event.put, [&board](const StoreEntry &entry) { takeRecord(board, entry); });
        for (const auto &key : event.deleted) {
            if (key.path.starts_with(prefix)) {
                dropRecord(board, HostId{key.path.substr(prefix.size())}, event.revision);
            }
        }
    }
}

void takeListedHost(Blackboard &board, const ListedHost &listed)
{
    const HostId id{listed.id};
    const auto *known = board.peers.find(id);
    Peer peer = known == nullptr ? newPeer(board, id) : *known;
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

/// The list lags, so a host that it never had may only be new; one that it dropped is gone if it is silent as well.
void readHostList(Blackboard &board)
{
    for (const auto &list : eventsOf<HostListRead>(board)) {
        const auto isEntryHost = [](const ListedHost &host) { return host.kind == ListedKind::EntryHost; };
        for (const auto &host : list.hosts) {
            if (isEntryHost(host) && host.id != board.self.id.value) {
                takeListedHost(board, host);
            }
        }
        const auto rows = board.peers.rows();
        for (const auto &[id, known] : rows) {
            const auto isThis = [&](const ListedHost &host) { return isEntryHost(host) && host.id == id.value; };
            if (known.wasListed && known.isListed && std::ranges::none_of(list.hosts, isThis)) {
                Peer peer = known;
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

/// A host that was paused has heard nobody; that says nothing about its peers, so their silence counts anew.
void forgiveSilence(Blackboard &board)
{
    if (board.now < board.membershipCheckedAt + board.self.limits.suspectAfter) {
        return;
    }
    const auto rows = board.peers.rows();
    for (const auto &[id, known] : rows) {
        Peer peer = known;
        peer.silenceFrom = board.now;
        board.peers.put(id, peer);
    }
}

void updateStates(Blackboard &board)
{
    forgiveSilence(board);
    board.membershipCheckedAt = board.now;
    const auto rows = board.peers.rows();
    for (const auto &[id, known] : rows) {
        const PeerState state = stateOf(board, known);
        if (state == PeerState::Gone && !known.isSeed && !known.isRecorded && silence(board, known) >= forgetAfter) {
            board.peers.erase(id);
            continue;
        }
        if (state == known.state) {
            continue;
        }
        Peer peer = known;
        peer.state = state;
        if (state == PeerState::Gone) {
            peer.ownedEpoch = 0;
        }
        board.peers.put(id, peer);
        count(board.counters, "peers", state == PeerState::Gone ? "gone" : "suspect");
        board.log.push_back({"updateMembership", id.value, "", state == PeerState::Gone ? "gone" : "suspect", false});
    }
}

void askForConfiguration(Blackboard &board)
{
    const auto &session = board.store;
    const bool hasWatch = session.isWatching && session.lastReadSent && board.now < *session.lastReadSent + freshRead;
    const bool isAsked = board.configurationRequestedAt && board.now < *board.configurationRequestedAt + configurationAskInterval;
    if (isAsked) {
        return;
    }
    const long long known = std::max(board.configuration.version, hasWatch ? session.storedVersion : 0);
    const Peer *best = nullptr;
    for (const auto &[id, peer] : board.peers.rows()) {
        const bool isNewer = peer.state == PeerState::Alive && peer.configurationVersion > known;
        if (isNewer && (best == nullptr || peer.configurationVersion > best->configurationVersion)) {
            best = &peer;
        }
    }
    if (best == nullptr) {
        return;
    }
    board.configurationRequestedAt = board.now;
    count(board.counters, "configurationRequests", "sent");
    board.outbox.emplace_back(PeerSend{best->id, best->address, ConfigurationRequest{takeCallId(board)}});
}

/// Zones without a live owner are left out, so no job is given to them.
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
    hearPeers(board);
    readRecords(board);
    readHostList(board);
    if (isDue(board.timers, "membership")) {
        updateStates(board);
        sendHeartbeats(board);
        updateCapacities(board);
    }
    askForConfiguration(board);
}

}
