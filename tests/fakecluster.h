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

/// Message between hosts on its way.
struct FakePeerMessage
{
    HostId from;
    HostId to;
    TimePoint due;
    PeerMessage message;
};

/// Several hosts' boards on virtual time with one fake store and a network that can be cut.
struct FakeCluster
{
    TimePoint now{Duration{1'000'000}};
    WallTime wallNow{Duration{1'800'000'000'000}};
    FakeStore store;
    std::map<HostId, Blackboard> hosts;
    std::set<HostId> paused; ///< Take no steps; what arrives waits.
    std::set<std::pair<HostId, HostId>> cut;
    std::vector<FakePeerMessage> wire;
    std::map<HostId, std::vector<Event>> pending;
    std::vector<std::pair<TimePoint, CallerReply>> replies; ///< Answers to callers and operators, in order.
    std::function<void(FakeCluster &, const HostId &, const TargetCall &)> onTargetCall;
};

/// Adds a host that knows the hosts added before as seeds, and they it.
void addHost(FakeCluster &cluster, const std::string &id, const std::string &zone);

/// Starts the host's process anew: empty board, higher incarnation.
void restartHost(FakeCluster &cluster, const std::string &id);

/// Cuts or restores the way between two hosts.
void setCut(FakeCluster &cluster, const std::string &left, const std::string &right, bool isCut);

/// Hands an event to a host with its next step.
void post(FakeCluster &cluster, const std::string &host, Event event);

/// Lets time pass in steps of 10 ms.
void run(FakeCluster &cluster, Duration period);

/// Runs until the condition holds; false if it does not within the limit.
bool runUntil(FakeCluster &cluster, Duration limit, const std::function<bool()> &condition);

/// The board of a host.
Blackboard &boardOf(FakeCluster &cluster, const std::string &id);

/// Last answer to that call.
std::optional<CallerReply> replyTo(const FakeCluster &cluster, CallId id);

}
