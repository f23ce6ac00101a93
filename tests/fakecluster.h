#pragma once

#include "core/step.h"
#include "fakestore.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

/// A message in transit between two hosts.
struct FakePeerMessage
{
    HostId from;
    HostId to;
    TimePoint due;
    PeerMessage message;
};

/// The boards of several hosts on virtual time, with one fake store and a network whose links can be cut.
struct FakeCluster
{
    TimePoint now{Duration{1'000'000}};
    WallTime wallNow{Duration{1'800'000'000'000}};
    FakeStore store;
    std::map<HostId, Blackboard> hosts;
    std::set<HostId> paused; ///< Hosts that take no steps; their events are queued.
    std::set<std::pair<HostId, HostId>> cut;
    std::vector<FakePeerMessage> wire;
    std::map<HostId, std::vector<Event>> pending;
    std::vector<std::pair<TimePoint, CallerReply>> replies; ///< Answers to callers and operators, in the order sent.
    std::function<void(FakeCluster &, const HostId &, const TargetCall &)> onTargetCall;
};

/// Adds a host; it and the hosts added before know each other as seeds.
void addHost(FakeCluster &cluster, const std::string &id, const std::string &zone);

/// Restarts the host's process with an empty board and the next incarnation.
void restartHost(FakeCluster &cluster, const std::string &id);

/// Cuts or restores the link between two hosts, in both directions.
void setCut(FakeCluster &cluster, const std::string &left, const std::string &right, bool isCut);

/// Queues an event for the host's next step.
void post(FakeCluster &cluster, const std::string &host, Event event);

/// Advances virtual time by the period in steps of 10 ms.
void run(FakeCluster &cluster, Duration period);

/// Runs until the condition holds. Returns false if it does not hold within the limit.
bool runUntil(FakeCluster &cluster, Duration limit, const std::function<bool()> &condition);

/// The board of the host, which must exist.
Blackboard &boardOf(FakeCluster &cluster, const std::string &id);

/// The last answer to the call.
std::optional<CallerReply> replyTo(const FakeCluster &cluster, CallId id);

}
