#include "heartbeat.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <ranges>

namespace sequoiastand
{

namespace
{

/// Number of hosts outside the zone that get a heartbeat in one round; the limit keeps the cost per host constant as the system grows.
constexpr std::size_t outsideHostsPerRound = 24;
constexpr int missedRotationsUntilSuspect = 3;
/// Number of unanswered heartbeats kept per peer. A reply that is later than this many rounds is too old to prove anything, so it does not change
/// `lastAnsweredSentAt`.
constexpr std::size_t maxPendingHeartbeats = 4;
/// Read age reported by a host that reaches the store but has not yet applied what it read.
/// It is far longer than any permit, so that no peer relies on the read.
constexpr Duration unappliedReadAge{3'600'000};

std::size_t outsideHostCount(const Blackboard &board)
{
    return static_cast<std::size_t>(std::ranges::count_if(board.peers.rows(), [&board](const auto &row) {
        return row.second.availabilityZone != board.self.availabilityZone && row.second.state != PeerState::Gone;
    }));
}

std::optional<Duration> ownReadAge(const Blackboard &board)
{
    const auto &session = board.store;
    if (!session.lastReadSent || board.now >= *session.lastReadSent + board.self.limits.permitPeriod) {
        return std::nullopt;
    }
    return session.lastAppliedReadSent ? board.now - *session.lastAppliedReadSent : unappliedReadAge;
}

bool isUsable(const Blackboard &board, const Target &target)
{
    const auto *lease = board.leases.find(target.id);
    return lease != nullptr && lease->state == LeaseState::Held && target.health == TargetHealth::Healthy && !target.isLeaving
           && !isDrained(board.configuration, target.rack, target.id);
}

int heldAccelerators(const Target &target)
{
    AcceleratorMask held = 0;
    for (const auto &task : target.tasks) {
        if (task.state == TaskState::Reserved || task.state == TaskState::Running) {
            held |= task.accelerators;
        }
    }
    return std::popcount(held);
}

std::vector<HostId> heartbeatReceivers(const Blackboard &board)
{
    std::vector<HostId> hosts;
    std::vector<std::pair<TimePoint, HostId>> outsideHosts;
    for (const auto &[id, peer] : board.peers.rows()) {
        if (peer.address.empty()) {
            continue;
        }
        if (peer.availabilityZone == board.self.availabilityZone) {
            hosts.push_back(id);
        } else {
            outsideHosts.emplace_back(peer.lastHeartbeatSent.value_or(TimePoint::min()), id);
        }
    }
    std::ranges::sort(outsideHosts);
    std::ranges::copy(outsideHosts | std::views::take(outsideHostsPerRound) | std::views::values, std::back_inserter(hosts));
    return hosts;
}

}

Heartbeat ownHeartbeat(const Blackboard &board, CallId id, bool isReply)
{
    Heartbeat heartbeat;
    heartbeat.id = id;
    heartbeat.isReply = isReply;
    heartbeat.host = board.self.id;
    heartbeat.availabilityZone = board.self.availabilityZone;
    heartbeat.address = board.self.peerAddress;
    heartbeat.incarnation = board.self.incarnation;
    heartbeat.configurationVersion = board.configuration.version;
    heartbeat.storeReadAge = ownReadAge(board);
    heartbeat.ownedEpoch = board.epoch;
    heartbeat.capacity = board.epoch > 0 ? ownCapacity(board) : ZoneCapacity{};
    heartbeat.isLeaving = board.isStopping;
    return heartbeat;
}

ZoneCapacity ownCapacity(const Blackboard &board)
{
    ZoneCapacity capacity;
    for (const auto &[id, target] : board.targets.rows()) {
        if (target.availabilityZone == board.self.availabilityZone && isUsable(board, target)) {
            capacity.usableAccelerators += target.acceleratorCount;
            capacity.freeAccelerators += target.acceleratorCount - heldAccelerators(target);
        }
    }
    return capacity;
}

void applyHeartbeat(Blackboard &board, const Heartbeat &heartbeat)
{
    const auto *knownPeer = board.peers.find(heartbeat.host);
    if (heartbeat.host == board.self.id || (knownPeer != nullptr && heartbeat.incarnation < knownPeer->incarnation)) {
        count(board.counters, "heartbeatsIgnored", "olderIncarnation");
        return;
    }
    Peer peer = knownPeer == nullptr ? Peer{} : *knownPeer;
    if (heartbeat.incarnation > peer.incarnation) {
        // Replies of the host's earlier process prove nothing about the store reads of the new process.
        peer.lastAnsweredSentAt.reset();
        peer.pendingHeartbeats.clear();
    }
    peer.id = heartbeat.host;
    peer.availabilityZone = heartbeat.availabilityZone;
    peer.address = heartbeat.address;
    peer.incarnation = heartbeat.incarnation;
    peer.state = PeerState::Alive;
    peer.lastContact = board.now;
    peer.configurationVersion = heartbeat.configurationVersion;
    peer.storeReadAge = heartbeat.storeReadAge;
    peer.ownedEpoch = heartbeat.ownedEpoch;
    peer.capacity = heartbeat.capacity;
    peer.isLeaving = heartbeat.isLeaving || peer.isListedLeaving;
    if (const auto pending = peer.pendingHeartbeats.find(heartbeat.id); heartbeat.isReply && pending != peer.pendingHeartbeats.end()) {
        peer.lastAnsweredSentAt = std::max(pending->second, peer.lastAnsweredSentAt.value_or(pending->second));
        peer.pendingHeartbeats.erase(peer.pendingHeartbeats.begin(), std::next(pending));
    }
    board.peers.put(peer.id, peer);
    if (!heartbeat.isReply) {
        board.outbox.emplace_back(PeerSend{peer.id, peer.address, ownHeartbeat(board, heartbeat.id, true)});
    }
}

void sendHeartbeats(Blackboard &board)
{
    for (const auto &id : heartbeatReceivers(board)) {
        Peer peer = *board.peers.find(id);
        const CallId callId = takeCallId(board);
        peer.pendingHeartbeats.insert_or_assign(callId, board.now);
        if (peer.pendingHeartbeats.size() > maxPendingHeartbeats) {
            peer.pendingHeartbeats.erase(peer.pendingHeartbeats.begin());
        }
        peer.lastHeartbeatSent = board.now;
        board.outbox.emplace_back(PeerSend{id, peer.address, ownHeartbeat(board, callId, false)});
        board.peers.put(id, std::move(peer));
    }
}

Duration suspicionTimeout(const Blackboard &board)
{
    const std::size_t rounds = (outsideHostCount(board) + outsideHostsPerRound - 1) / outsideHostsPerRound;
    const auto &limits = board.self.limits;
    if (rounds <= 1) {
        return limits.suspectAfter;
    }
    return std::max<Duration>(limits.suspectAfter, limits.heartbeatPeriod * (static_cast<int>(rounds) * missedRotationsUntilSuspect));
}

}
