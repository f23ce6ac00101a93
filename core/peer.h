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

/// State of another entry host as known to this host.
struct Peer
{
    HostId id;
    AvailabilityZoneId availabilityZone;
    std::string address; ///< IP number and port of its peer listener.
    long long incarnation = 0;
    PeerState state = PeerState::Suspect;
    std::optional<TimePoint> lastContact;
    std::optional<TimePoint> lastAnsweredSentAt; ///< Send time of the latest heartbeat that the peer answered.
    long long configurationVersion = 0;
    std::optional<Duration> storeReadAge; ///< Age of the peer's last successful store read at its last heartbeat; none if the peer cannot reach the store.
    Epoch ownedEpoch = 0;                 ///< Epoch under which the peer owns its availability zone; zero if it does not.
    ZoneCapacity capacity;                ///< Capacity of the peer's zone, reported while the peer owns it.
    bool isLeaving = false;
    bool isListed = true;    ///< False once the host was removed from the platform's host list.
    bool wasListed = false;  ///< The platform's host list has contained the host at least once.
    bool isRecorded = false; ///< The store holds the host's record, so the host's store lease has not expired.
    bool isSeed = false;     ///< The settings name the host, so it is never removed.
    Revision recordRevision = 0;
    bool isListedLeaving = false;                  ///< The platform's host list marks the host as leaving.
    TimePoint silenceFrom;                         ///< The peer's silence is counted from this time, or from its last message if that came later.
    std::map<CallId, TimePoint> pendingHeartbeats; ///< Unanswered heartbeats and their send times.
    std::optional<TimePoint> lastHeartbeatSent;

    friend bool operator==(const Peer &, const Peer &) = default;
};

/// State of the sending host. Sent as a request every heartbeat period and as the reply to a request.
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

/// Requests the configuration of a peer that reported a higher version.
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

/// Asks a peer to carry out a store call for a host that reaches the peer but not the store.
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

/// Asks the zone owner to start an idempotent job at once while the store is unreachable.
struct Offer
{
    CallId id;
    JobSpecification specification;

    friend bool operator==(const Offer &, const Offer &) = default;
};

struct OfferReply
{
    CallId id;
    std::optional<Refusal> refusal; ///< Reason of the refusal; none once the targets have started the job.
    std::optional<Job> job;

    friend bool operator==(const OfferReply &, const OfferReply &) = default;
};

/// Tells the successor that it may claim the zone and acquire the released leases.
struct Handover
{
    AvailabilityZoneId availabilityZone;
    Epoch epoch = 0;

    friend bool operator==(const Handover &, const Handover &) = default;
};

using PeerMessage = std::variant<Heartbeat, ConfigurationRequest, ConfigurationReply, StoreRelay, StoreRelayReply, Offer, OfferReply, Handover>;

}
