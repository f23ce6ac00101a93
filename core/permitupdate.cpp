#include "controllers.h"

#include <algorithm>
#include <optional>

namespace sequoiastand
{

namespace
{

/// Time at which the configuration version that this host has applied was certainly the newest, and the rule that proves it.
struct Proof
{
    TimePoint provenAt;
    PermitSource source = PermitSource::None;
};

bool isOutsideZone(const Blackboard &board, const Peer &peer)
{
    return peer.availabilityZone != board.self.availabilityZone;
}

bool reachesStore(const Blackboard &board)
{
    const auto &read = board.store.lastReadSent;
    return read && board.now < *read + board.self.limits.permitPeriod;
}

/// True if the store or a peer has a higher version than this host has applied.
bool knowsNewerVersion(const Blackboard &board)
{
    const long long applied = board.configuration.version;
    return board.store.storedVersion > applied
           || std::ranges::any_of(board.peers.rows(), [applied](const auto &row) { return row.second.configurationVersion > applied; });
}

/// Rule 1: this host read the applied configuration version from the store.
std::optional<Proof> provenByStore(const Blackboard &board)
{
    if (!board.store.lastAppliedReadSent) {
        return std::nullopt;
    }
    return Proof{*board.store.lastAppliedReadSent, PermitSource::StoreRead};
}

/// Rule 2: a peer has read the store and has no newer version than this host. A peer with a newer version proves nothing until this host has applied it.
std::optional<Proof> provenByPeer(const Blackboard &board)
{
    std::optional<Proof> latestProof;
    for (const auto &[id, peer] : board.peers.rows()) {
        if (!peer.lastAnsweredSentAt || !peer.storeReadAge || peer.configurationVersion > board.configuration.version) {
            continue;
        }
        const TimePoint provenAt = *peer.lastAnsweredSentAt - *peer.storeReadAge;
        if (!latestProof || provenAt > latestProof->provenAt) {
            latestProof = Proof{provenAt, PermitSource::PeerRead};
        }
    }
    return latestProof;
}

/// Rule 3: no host reaches the store. A zone without contact to other zones falls under rule 4, so at least one peer outside the zone must have answered.
std::optional<Proof> provenByAllPeers(const Blackboard &board)
{
    if (reachesStore(board) || knowsNewerVersion(board)) {
        return std::nullopt;
    }
    std::optional<TimePoint> oldest;
    bool hasPeerOutsideZone = false;
    bool hasAnswerFromOutsideZone = false;
    for (const auto &[id, peer] : board.peers.rows()) {
        hasPeerOutsideZone = hasPeerOutsideZone || isOutsideZone(board, peer);
        if (peer.state == PeerState::Gone) {
            continue;
        }
        if (!peer.lastAnsweredSentAt || peer.storeReadAge) {
            return std::nullopt;
        }
        hasAnswerFromOutsideZone = hasAnswerFromOutsideZone || isOutsideZone(board, peer);
        oldest = std::min(*peer.lastAnsweredSentAt, oldest.value_or(*peer.lastAnsweredSentAt));
    }
    if (!oldest || (hasPeerOutsideZone && !hasAnswerFromOutsideZone)) {
        return std::nullopt;
    }
    return Proof{*oldest, PermitSource::StoreDownForAll};
}

bool isIsolated(const Blackboard &board)
{
    return !reachesStore(board) && std::ranges::none_of(board.peers.rows(), [&board](const auto &row) {
        return isOutsideZone(board, row.second) && row.second.state == PeerState::Alive;
    });
}

/// Rule 4: an isolated zone may start work for a configured period after its last proof. Returns the end of the extended permit.
std::optional<TimePoint> isolatedUntil(const Blackboard &board)
{
    const auto zone = board.configuration.availabilityZones.find(board.self.availabilityZone);
    if (zone == board.configuration.availabilityZones.end() || !isIsolated(board) || knowsNewerVersion(board)) {
        return std::nullopt;
    }
    const TimePoint end = board.permit.lastProven + zone->second.isolatedStartPeriod;
    if (end <= board.now) {
        return std::nullopt;
    }
    return std::min(end, board.now + board.self.limits.permitPeriod);
}

void extendPermit(StartPermit &permit, const Proof &proof, Duration period)
{
    const TimePoint until = proof.provenAt + period;
    if (until > permit.validUntil || permit.source == PermitSource::None) {
        permit.validUntil = until;
        permit.source = proof.source;
    }
    permit.lastProven = std::max(permit.lastProven, proof.provenAt);
}

void updateLocalHold(Blackboard &board, StartPermit &permit)
{
    if (permit.isHeldLocally && board.configuration.version > permit.heldAtVersion) {
        permit.isHeldLocally = false;
        board.log.push_back(
            {"updatePermit", "", "", "local hold on starts lifted by configuration version " + std::to_string(board.configuration.version), false});
    }
    for (const auto &request : eventsOf<HoldRequest>(board)) {
        permit.isHeldLocally = request.isHeld;
        permit.heldAtVersion = board.configuration.version;
        CallerReply reply;
        reply.id = request.id;
        reply.text = request.isHeld ? "held: host " + board.self.id.value + " starts no work until the hold is lifted or a newer configuration applies"
                                    : "lifted: host " + board.self.id.value + " follows the configuration again";
        reply.isInForce = true;
        board.outbox.emplace_back(std::move(reply));
        count(board.counters, "localHolds", request.isHeld ? "held" : "lifted");
    }
}

}

void updatePermit(Blackboard &board)
{
    StartPermit permit = board.permit;
    updateLocalHold(board, permit);
    const Duration period = board.self.limits.permitPeriod;
    auto proof = provenByStore(board);
    if (const auto byPeer = provenByPeer(board); byPeer && (!proof || byPeer->provenAt > proof->provenAt)) {
        proof = byPeer;
    }
    if (proof) {
        permit.isEstablished = true;
        extendPermit(permit, *proof, period);
    }
    if (permit.isEstablished && !isValid(permit, board.now + board.self.limits.permitRenewal)) {
        if (const auto byAllPeers = provenByAllPeers(board)) {
            extendPermit(permit, *byAllPeers, period);
        }
    }
    if (permit.isEstablished) {
        if (const auto until = isolatedUntil(board); until && *until > permit.validUntil) {
            permit.validUntil = *until;
            permit.source = PermitSource::IsolatedPeriod;
        }
    }
    board.permit = permit;
}

}
