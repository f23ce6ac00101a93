#include "controllers.h"

#include "leaserounds.h"
#include "storeaccess.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

/// Time after which a stopping owner releases its leases even if starts are undecided or records are unstored.
constexpr Duration releaseDeadline{8'000};
/// Time after the release deadline at which the zone is handed over even if targets have not confirmed the release.
constexpr Duration maxReleaseTime{3'000};

bool isInZone(const Blackboard &board, const Peer &peer)
{
    return peer.availabilityZone == board.self.availabilityZone;
}

/// True if the peer may still use target leases of the zone: its last message is younger than the lifetime of a lease.
bool mayHoldLeases(const Blackboard &board, const Peer &peer)
{
    return peer.state != PeerState::Gone && peer.lastContact && board.now - *peer.lastContact < board.self.limits.targetLease;
}

bool isOwnedByPeer(const Blackboard &board)
{
    return std::ranges::any_of(
        board.peers.rows(), [&board](const auto &row) { return isInZone(board, row.second) && row.second.ownedEpoch > 0 && mayHoldLeases(board, row.second); });
}

/// True if the record in the store names another host as owner, and that host may own the zone although none of its heartbeats has said so.
/// Without this rule, two hosts that reach the store but not each other would take the zone from each other endlessly.
bool isOwnedInStore(const Blackboard &board)
{
    const std::optional<ZoneOwner> &stored = board.zoneClaim.stored;
    if (!stored || stored->host == board.self.id || !canReachStore(board)) {
        return false;
    }
    const Peer *peer = board.peers.find(stored->host);
    if (peer == nullptr) {
        return true;
    }
    if (peer->state == PeerState::Gone || peer->isLeaving || peer->ownedEpoch >= stored->epoch) {
        return false;
    }
    return !mayHoldLeases(board, *peer) || board.now - board.zoneClaim.storedChangedAt < board.self.limits.suspectAfter;
}

unsigned long long weightInZone(const Blackboard &board, const HostId &host)
{
    return rendezvousWeight(board.self.availabilityZone.value, host.value);
}

std::optional<HostId> preferredPeer(const Blackboard &board)
{
    std::optional<HostId> first;
    for (const auto &[id, peer] : board.peers.rows()) {
        const bool isCandidate = isInZone(board, peer) && peer.state == PeerState::Alive && !peer.isLeaving;
        if (isCandidate && (!first || weightInZone(board, id) > weightInZone(board, *first))) {
            first = id;
        }
    }
    return first;
}

bool isPreferredOwner(const Blackboard &board)
{
    const std::optional<HostId> peer = preferredPeer(board);
    return !peer || weightInZone(board, board.self.id) > weightInZone(board, *peer);
}

/// True if this host has observed its zone long enough to claim it: every peer of the zone has sent a message or is gone, or the suspicion time has passed.
/// Without the wait, a new host could claim a zone whose owner has not yet sent it a heartbeat.
bool hasObservedZone(const Blackboard &board)
{
    const bool isEveryPeerKnown = std::ranges::all_of(board.peers.rows(), [&board](const auto &row) {
        return !isInZone(board, row.second) || row.second.lastContact || row.second.state == PeerState::Gone;
    });
    return isEveryPeerKnown || board.now - board.zoneClaim.observedSince.value_or(board.now) >= board.self.limits.suspectAfter;
}

void observeStoredOwner(Blackboard &board, const StoreEntry &entry)
{
    const auto *owner = std::get_if<ZoneOwner>(&entry.record);
    if (owner == nullptr || entry.key != zoneOwnerKey(board.self.availabilityZone) || entry.revision < board.zoneClaim.storedRevision) {
        return;
    }
    if (board.zoneClaim.stored != *owner) {
        board.zoneClaim.stored = *owner;
        board.zoneClaim.storedChangedAt = board.now;
    }
    board.zoneClaim.storedRevision = entry.revision;
    board.highestEpochSeen = std::max(board.highestEpochSeen, owner->epoch);
}

void observeEpochs(Blackboard &board)
{
    for (const StoreEntry &entry : storeEntriesInInbox(board)) {
        observeStoredOwner(board, entry);
    }
    const std::optional<FullRead> fullRead = fullReadInInbox(board);
    const StoreKey ownerKey = zoneOwnerKey(board.self.availabilityZone);
    std::vector<StoreKey> deletedKeys = storeDeletionsInInbox(board);
    if (fullRead && !fullRead->keys.contains(ownerKey) && board.zoneClaim.storedRevision <= fullRead->revision) {
        deletedKeys.push_back(ownerKey);
    }
    for (const StoreKey &key : deletedKeys) {
        if (key == ownerKey) {
            // The next write requires that the key does not exist. highestEpochSeen keeps the deleted epoch, so that epochs never repeat.
            board.zoneClaim.stored.reset();
            board.zoneClaim.storedRevision = 0;
        }
    }
    for (const auto &[id, peer] : board.peers.rows()) {
        if (isInZone(board, peer)) {
            board.highestEpochSeen = std::max(board.highestEpochSeen, peer.ownedEpoch);
        }
    }
    for (const Event &event : board.inbox) {
        const auto *received = std::get_if<PeerMessageReceived>(&event);
        const auto *handover = received == nullptr ? nullptr : std::get_if<Handover>(&received->message);
        if (handover != nullptr && handover->availabilityZone == board.self.availabilityZone) {
            board.highestEpochSeen = std::max(board.highestEpochSeen, handover->epoch);
            board.zoneClaim.handedOverEpoch = handover->epoch;
        }
    }
}

void becomeOwner(Blackboard &board, Epoch epoch)
{
    if (!board.zoneClaim.ownedSince) {
        board.zoneClaim.ownedSince = board.now;
    }
    board.epoch = epoch;
    board.highestEpochSeen = std::max(board.highestEpochSeen, epoch);
    board.zoneClaim.requestedEpoch.reset();
    board.zoneClaim.handedOverEpoch.reset();
    count(board.counters, "zoneClaims", board.self.availabilityZone.value);
    board.log.push_back({"updateOwnership", "", "", "owns zone " + board.self.availabilityZone.value + " with epoch " + std::to_string(epoch), false});
}

void giveUpZone(Blackboard &board, const std::string &reason)
{
    board.epoch = 0;
    board.zoneClaim.ownedSince.reset();
    board.zoneClaim.isStoreBehind = false;
    count(board.counters, "zoneLosses", reason);
    board.log.push_back({"updateOwnership", "", "", "gave up zone " + board.self.availabilityZone.value + ": " + reason, false});
}

void writeOwner(Blackboard &board, Epoch epoch)
{
    const ZoneOwner owner{board.self.id, board.self.incarnation, epoch};
    board.zoneClaim.requestedEpoch = epoch;
    board.zoneClaim.requestedAt = board.now;
    requestWrite(board.store, {zoneOwnerKey(board.self.availabilityZone), owner, board.zoneClaim.storedRevision, true}, "updateOwnership");
}

/// Raises the epoch by a write to the store. Without the store, the new epoch takes effect at once and the targets decide which owner they accept.
void raiseEpoch(Blackboard &board)
{
    const Epoch epoch = std::max(board.highestEpochSeen, board.epoch) + 1;
    if (canReachStore(board)) {
        writeOwner(board, epoch);
        return;
    }
    becomeOwner(board, epoch);
    board.zoneClaim.isStoreBehind = true;
}

void applyOwnerWrites(Blackboard &board)
{
    for (const WriteResult &result : board.store.results) {
        if (result.key != zoneOwnerKey(board.self.availabilityZone)) {
            continue;
        }
        const std::optional<Epoch> requested = board.zoneClaim.requestedEpoch;
        board.zoneClaim.requestedEpoch.reset();
        if (result.outcome == WriteOutcome::Conflict) {
            if (result.present) {
                observeStoredOwner(board, *result.present);
            } else {
                board.zoneClaim.stored.reset();
                board.zoneClaim.storedRevision = 0;
            }
        } else if (requested) {
            board.zoneClaim.stored = ZoneOwner{board.self.id, board.self.incarnation, *requested};
            board.zoneClaim.storedRevision = result.revision;
            board.zoneClaim.isStoreBehind = false;
            if (board.epoch != *requested && !board.isStopping) {
                becomeOwner(board, *requested);
            }
        }
    }
}

/// Reason why this owner must give up its zone; empty if it may keep it.
std::string reasonToYield(const Blackboard &board)
{
    const std::optional<ZoneOwner> &stored = board.zoneClaim.stored;
    if (stored && stored->host != board.self.id && stored->epoch > board.epoch) {
        return "higherEpochInStore";
    }
    const bool isPeerPreferred = std::ranges::any_of(board.peers.rows(), [&board](const auto &row) {
        const auto &[id, peer] = row;
        if (!isInZone(board, peer) || !mayHoldLeases(board, peer)) {
            return false;
        }
        const bool winsTie = peer.ownedEpoch == board.epoch && weightInZone(board, id) > weightInZone(board, board.self.id);
        return peer.ownedEpoch > board.epoch || winsTie;
    });
    return isPeerPreferred ? "higherEpochOfPeer" : "";
}

/// True if a target accepts only a higher epoch than this owner's, or refuses the same epoch because it forgot the lease holder in a restart.
bool isRefusedByTargets(const Blackboard &board)
{
    return std::ranges::any_of(board.leases.rows(), [&board](const auto &row) {
        const TargetLease &lease = row.second;
        const bool isRefusedAtOwnEpoch = lease.epoch == board.epoch && lease.reportedHolder != board.self.id;
        return lease.state == LeaseState::Refused && (lease.epoch > board.epoch || isRefusedAtOwnEpoch);
    });
}

void decideOwnership(Blackboard &board)
{
    ZoneClaim &claim = board.zoneClaim;
    // A write may wait long for the store. If it has no answer after `permitPeriod`, the claim is decided again, and a late answer only updates the
    // stored owner as known to this host.
    if (claim.requestedEpoch && board.now - claim.requestedAt > board.self.limits.permitPeriod) {
        withdrawWrite(board.store, zoneOwnerKey(board.self.availabilityZone));
        claim.requestedEpoch.reset();
    }
    if (board.epoch > 0) {
        if (const std::string reason = reasonToYield(board); !reason.empty()) {
            giveUpZone(board, reason);
        } else if (!claim.requestedEpoch && isRefusedByTargets(board)) {
            raiseEpoch(board);
        } else if (!claim.requestedEpoch && claim.isStoreBehind && canReachStore(board)) {
            writeOwner(board, board.epoch);
        }
        return;
    }
    if (claim.requestedEpoch || (!claim.handedOverEpoch && isOwnedByPeer(board))) {
        return;
    }
    if (claim.handedOverEpoch || (!isOwnedInStore(board) && hasObservedZone(board) && isPreferredOwner(board))) {
        raiseEpoch(board);
    }
}

bool hasOpenStarts(const Blackboard &board)
{
    return std::ranges::any_of(board.attempts.rows(), [](const auto &row) { return row.second.step < AttemptStep::Running; });
}

/// Releases the leases once starts are decided and records are stored, then names the successor.
void handOver(Blackboard &board)
{
    ZoneClaim &claim = board.zoneClaim;
    if (!claim.stoppingSince) {
        claim.stoppingSince = board.now;
    }
    if (claim.isHandedOver) {
        return;
    }
    if (board.epoch == 0) {
        claim.isHandedOver = true;
        return;
    }
    const Duration stoppingFor = board.now - *claim.stoppingSince;
    const bool isReadyToRelease = !hasOpenStarts(board) && (board.jobUpdateState.unsaved.empty() || !canReachStore(board));
    claim.isReleasingLeases = claim.isReleasingLeases || isReadyToRelease || stoppingFor >= releaseDeadline;
    if (!claim.isReleasingLeases) {
        return;
    }
    const bool isReleased = board.leases.isEmpty() || stoppingFor >= releaseDeadline + maxReleaseTime;
    if (!isReleased) {
        return;
    }
    if (const std::optional<HostId> successor = preferredPeer(board)) {
        const Peer &peer = *board.peers.find(*successor);
        board.outbox.emplace_back(PeerSend{*successor, peer.address, Handover{board.self.availabilityZone, board.highestEpochSeen}});
    }
    claim.isHandedOver = true;
    giveUpZone(board, "stopping");
}

}

void updateOwnership(Blackboard &board)
{
    if (!board.zoneClaim.observedSince) {
        board.zoneClaim.observedSince = board.now;
    }
    observeEpochs(board);
    applyOwnerWrites(board);
    applyLeaseReplies(board);
    if (board.isStopping) {
        handOver(board);
    } else {
        decideOwnership(board);
    }
    if (isDue(board.timers, "ownership")) {
        sendLeaseCalls(board);
    }
}

}
