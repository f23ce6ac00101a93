#include "heartbeat.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <ranges>

namespace sequoiastand
{

namespace
{

/// Keeps the cost of heartbeats per host constant, however many hosts there are.
constexpr std::size_t othersPerRound = 24;
constexpr int rotationsUntilSuspect = 3;
/// An answer later than this many rounds proves nothing about the present.
constexpr std::size_t maxOpenQuestions = 4;
/// Told by a host that reaches the store but has not yet applied what it read; far beyond any permit.
constexpr Duration uselessReadAge{3'600'000};

std::size_t othersCount(const Blackboard &board)
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
    return session.lastAppliedReadSent ? board.now - *session.lastAppliedReadSent : uselessReadAge;
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

std::vector<HostId> hostsToAsk(const Blackboard &board)
{
    std::vector<HostId> hosts;
    std::vector<std::pair<TimePoint, HostId>> others;
    for (const auto &[id, peer] : board.peers.rows()) {
        if (peer.address.empty()) {
            continue;
        }
        if (peer.availabilityZone == board.self.availabilityZone) {
            hosts.push_back(id);
        } else {
            others.emplace_back(peer.lastHeartbeatSent.value_or(TimePoint::min()), id);
        }
    }
    std::ranges::sort(others);
    std::ranges::copy(others | std::views::take(othersPerRound) | std::views::values, std::back_inserter(hosts));
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
    const auto *known = board.peers.find(heartbeat.host);
    if (heartbeat.host == board.self.id || (known != nullptr && heartbeat.incarnation < known->incarnation)) {
        count(board.counters, "heartbeatsIgnored", "olderIncarnation");
        return;
    }
    Peer peer = known == nullptr ? Peer{} : *known;
    if (heartbeat.incarnation > peer.incarnation) {
        // What the earlier process said about the store proves nothing about this one.
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
    if (const auto question = peer.pendingHeartbeats.find(heartbeat.id); heartbeat.isReply && question != peer.pendingHeartbeats.end()) {
        peer.lastAnsweredSentAt = std::max(question->second, peer.lastAnsweredSentAt.value_or(question->second));
        peer.pendingHeartbeats.erase(peer.pendingHeartbeats.begin(), std::next(question));
    }
    board.peers.put(peer.id, peer);
    if (!heartbeat.isReply) {
        board.outbox.emplace_back(PeerSend{peer.id, peer.address, ownHeartbeat(board, heartbeat.id, true)});
    }
}

void sendHeartbeats(Blackboard &board)
{
    for (const auto &id : hostsToAsk(board)) {
        Peer peer = *board.peers.find(id);
        const CallId question = takeCallId(board);
        peer.pendingHeartbeats.insert_or_assign(question, board.now);
        if (peer.pendingHeartbeats.size() > maxOpenQuestions) {
            peer.pendingHeartbeats.erase(peer.pendingHeartbeats.begin());
        }
        peer.lastHeartbeatSent = board.now;
        board.outbox.emplace_back(PeerSend{id, peer.address, ownHeartbeat(board, question, false)});
        board.peers.put(id, std::move(peer));
    }
}

Duration suspicionTimeout(const Blackboard &board)
{
    const std::size_t rounds = (othersCount(board) + othersPerRound - 1) / othersPerRound;
    const auto &limits = board.self.limits;
    if (rounds <= 1) {
        return limits.suspectAfter;
    }
    return std::max<Duration>(limits.suspectAfter, limits.heartbeatPeriod * (static_cast<int>(rounds) * rotationsUntilSuspect));
}

}
