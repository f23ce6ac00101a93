#pragma once

#include "clusterview.h"
#include "configuration.h"
#include "identifier.h"
#include "storerecord.h"
#include "target.h"
#include "time.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

enum class PeerState
{
    Alive,
    Suspect,
    Gone,
};

/// Another entry host as this one knows it.
struct Peer
{
    HostId id;
    AvailabilityZoneId availabilityZone;
    std::string address; ///< IP number and port of its peer listener.
    long long incarnation = 0;
    PeerState state = PeerState::Suspect;
    std::optional<TimePoint> lastContact;
    std::optional<TimePoint> lastAnsweredSentAt; ///< When the question was sent whose answer was heard last.
    long long configurationVersion = 0;
    std::optional<Duration> storeReadAge; ///< Age of its last successful store read when it answered; none if it cannot reach the store.
    Epoch ownedEpoch = 0;                 ///< Zero unless it owns its availability zone.
    ZoneCapacity capacity;                ///< Of its zone, told by the zone's owner.
    bool isLeaving = false;
    bool isListed = true; ///< False once the platform's host list no longer has a host that it had.
    bool wasListed = false;
    bool isRecorded = false; ///< The store holds its record, so its store lease has not expired.
    bool isSeed = false;     ///< Named in the settings; never forgotten.
    Revision recordRevision = 0;
    bool isListedLeaving = false;
    TimePoint silenceFrom;                         ///< Silence counts from here if the peer was not heard later.
    std::map<CallId, TimePoint> pendingHeartbeats; ///< Heartbeats without an answer yet, by the time they were sent.
    std::optional<TimePoint> lastHeartbeatSent;

    friend bool operator==(const Peer &, const Peer &) = default;
};

/// Sent every second as question and as answer.
struct Heartbeat
{
    CallId id;
    bool isReply = false;
    HostId host;
    AvailabilityZoneId availabilityZone;
    std::string address;
    long long incarnation = 0;
    long long configurationVersion = 0;
    std::optional<Duration> storeReadAge;
    Epoch ownedEpoch = 0;
    ZoneCapacity capacity;
    bool isLeaving = false;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Asks a peer for its configuration because its version is higher.
struct ConfigurationRequest
{
    CallId id;

    friend bool operator==(const ConfigurationRequest &, const ConfigurationRequest &) = default;
};

struct ConfigurationReply
{
    CallId id;
    long long version = 0;
    std::vector<ConfigurationItem> items;

    friend bool operator==(const ConfigurationReply &, const ConfigurationReply &) = default;
};

/// Asks a peer to carry out a store call, for a host that is cut off from the store only.
struct StoreRelay
{
    CallId id;
    StoreCall call;

    friend bool operator==(const StoreRelay &, const StoreRelay &) = default;
};

struct StoreRelayReply
{
    CallId id;
    StoreReply reply;

    friend bool operator==(const StoreRelayReply &, const StoreRelayReply &) = default;
};

/// Asks the zone owner to start an idempotent job at once while the store is away.
struct Offer
{
    CallId id;
    JobSpecification specification;

    friend bool operator==(const Offer &, const Offer &) = default;
};

struct OfferReply
{
    CallId id;
    std::optional<Refusal> refusal; ///< None once the targets have started the job.
    std::optional<Job> job;

    friend bool operator==(const OfferReply &, const OfferReply &) = default;
};

/// Names the successor that may acquire the released leases.
struct Handover
{
    AvailabilityZoneId availabilityZone;
    Epoch epoch = 0;

    friend bool operator==(const Handover &, const Handover &) = default;
};

using PeerMessage = std::variant<Heartbeat, ConfigurationRequest, ConfigurationReply, StoreRelay, StoreRelayReply, Offer, OfferReply, Handover>;

}
