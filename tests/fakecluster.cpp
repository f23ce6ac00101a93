#include "fakecluster.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr Duration tick{10};
constexpr Duration peerLatency{1};

HostSettings settingsOf(const std::string &id, const std::string &zone, long long incarnation)
{
    HostSettings settings;
    settings.id = HostId{id};
    settings.availabilityZone = AvailabilityZoneId{zone};
    settings.peerAddress = id + ":7001";
    settings.httpAddress = id + ":8001";
    settings.incarnation = incarnation;
    settings.randomSeed = std::hash<std::string>{}(id) + static_cast<unsigned long long>(incarnation);
    return settings;
}

SeedHost seedOf(const HostSettings &settings)
{
    return {settings.id, settings.availabilityZone, settings.peerAddress};
}

void addSeed(Blackboard &board, const SeedHost &seed, TimePoint now)
{
    board.self.seeds.push_back(seed);
    Peer peer;
    peer.id = seed.id;
    peer.availabilityZone = seed.availabilityZone;
    peer.address = seed.peerAddress;
    peer.isSeed = true;
    peer.silenceFrom = now;
    board.peers.put(seed.id, peer);
}

void takeOutbox(FakeCluster &cluster, const HostId &id, Blackboard &board)
{
    for (const auto &message : std::exchange(board.outbox, {})) {
        if (const auto *call = std::get_if<StoreCall>(&message)) {
            submitCall(cluster.store, id, *call, cluster.now);
        } else if (const auto *send = std::get_if<PeerSend>(&message)) {
            cluster.wire.push_back({id, send->peer, cluster.now + peerLatency, send->message});
        } else if (const auto *reply = std::get_if<CallerReply>(&message)) {
            cluster.replies.emplace_back(cluster.now, *reply);
        } else if (cluster.onTargetCall) {
            cluster.onTargetCall(cluster, id, std::get<TargetCall>(message));
        }
    }
    updateSessionWatch(cluster.store, id, board.store.isWatching, board.store.watchRevision);
}

void deliverPeerMessages(FakeCluster &cluster)
{
    std::vector<FakePeerMessage> rest;
    for (auto &message : cluster.wire) {
        if (cluster.cut.contains({message.from, message.to})) {
            continue;
        }
        if (message.due > cluster.now) {
            rest.push_back(std::move(message));
        } else {
            cluster.pending[message.to].emplace_back(PeerMessageReceived{message.from, std::move(message.message)});
        }
    }
    cluster.wire = std::move(rest);
}

}

void addHost(FakeCluster &cluster, const std::string &id, const std::string &zone)
{
    HostSettings settings = settingsOf(id, zone, 1);
    for (auto &[other, board] : cluster.hosts) {
        settings.seeds.push_back(seedOf(board.self));
        addSeed(board, seedOf(settings), cluster.now);
    }
    cluster.hosts.insert_or_assign(settings.id, makeBlackboard(settings, cluster.now, cluster.wallNow));
}

void restartHost(FakeCluster &cluster, const std::string &id)
{
    const HostSettings before = boardOf(cluster, id).self;
    HostSettings settings = settingsOf(id, before.availabilityZone.value, before.incarnation + 1);
    settings.seeds = before.seeds;
    cluster.pending.erase(settings.id);
    closeWatches(cluster.store, settings.id);
    std::erase_if(cluster.store.deliveries, [&settings](const FakeDelivery &delivery) { return delivery.host == settings.id; });
    cluster.hosts.insert_or_assign(settings.id, makeBlackboard(settings, cluster.now, cluster.wallNow));
}

void setCut(FakeCluster &cluster, const std::string &left, const std::string &right, bool isCut)
{
    for (const auto &link : {std::pair{HostId{left}, HostId{right}}, std::pair{HostId{right}, HostId{left}}}) {
        if (isCut) {
            cluster.cut.insert(link);
        } else {
            cluster.cut.erase(link);
        }
    }
}

void post(FakeCluster &cluster, const std::string &host, Event event)
{
    cluster.pending[HostId{host}].push_back(std::move(event));
}

void run(FakeCluster &cluster, Duration period)
{
    const TimePoint end = cluster.now + period;
    while (cluster.now < end) {
        cluster.now += tick;
        cluster.wallNow += tick;
        deliverPeerMessages(cluster);
        for (auto &[id, board] : cluster.hosts) {
            auto &events = cluster.pending[id];
            std::ranges::move(takeStoreEvents(cluster.store, id, cluster.now), std::back_inserter(events));
            if (cluster.paused.contains(id)) {
                continue;
            }
            const auto due = nextDue(board.timers);
            if (!events.empty() || (due && *due <= cluster.now)) {
                step(board, std::exchange(events, {}), cluster.now, cluster.wallNow);
                takeOutbox(cluster, id, board);
            }
        }
    }
}

bool runUntil(FakeCluster &cluster, Duration limit, const std::function<bool()> &condition)
{
    const TimePoint end = cluster.now + limit;
    while (cluster.now < end && !condition()) {
        run(cluster, tick);
    }
    return condition();
}

Blackboard &boardOf(FakeCluster &cluster, const std::string &id)
{
    return cluster.hosts.at(HostId{id});
}

std::optional<CallerReply> replyTo(const FakeCluster &cluster, CallId id)
{
    std::optional<CallerReply> found;
    for (const auto &[at, reply] : cluster.replies) {
        if (reply.id == id) {
            found = reply;
        }
    }
    return found;
}

}
