#pragma once

#include "configuration.h"
#include "job.h"
#include "message.h"
#include "peer.h"
#include "storerecord.h"
#include "target.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// A caller's request to run a job, answered once the job is accepted or refused.
struct SubmitRequest
{
    CallId id;
    JobSpecification specification;

    friend bool operator==(const SubmitRequest &, const SubmitRequest &) = default;
};

/// A caller's request for the state of a job, answered once the job has ended or `wait` has passed.
struct StatusRequest
{
    CallId id;
    JobId job;
    Duration wait{0};

    friend bool operator==(const StatusRequest &, const StatusRequest &) = default;
};

struct CancelRequest
{
    CallId id;
    JobId job;

    friend bool operator==(const CancelRequest &, const CancelRequest &) = default;
};

/// A configuration item to put, or the path of one to remove.
struct ConfigurationEdit
{
    std::optional<ConfigurationItem> item;
    std::string removedPath;

    friend bool operator==(const ConfigurationEdit &, const ConfigurationEdit &) = default;
};

/// An operator's request to change the configuration.
struct CommandRequest
{
    CallId id;
    CommandId command;
    OperatorId operatorId;
    std::vector<ConfigurationEdit> edits;
    std::optional<long long> expectedVersion;
    bool isDryRun = false;
    std::string statement;
    Duration wait{0}; ///< Time to wait until the change is in force before the answer is "pending".

    friend bool operator==(const CommandRequest &, const CommandRequest &) = default;
};

/// An operator's request to forbid the start of work on this host, or to allow it again. It works without the store.
struct HoldRequest
{
    CallId id;
    OperatorId operatorId;
    bool isHeld = true;

    friend bool operator==(const HoldRequest &, const HoldRequest &) = default;
};

/// Reports that the caller has closed its connection, so its call needs no answer.
struct CallAbandoned
{
    CallId id;

    friend bool operator==(const CallAbandoned &, const CallAbandoned &) = default;
};

/// Changes reported by the store's watch, in the order of their revisions.
struct StoreWatchEvent
{
    Revision revision = 0;
    std::vector<StoreEntry> put;
    std::vector<StoreKey> deleted;
    std::string prefix; ///< Prefix of the watch that reports the changes, if a host keeps several watches.

    friend bool operator==(const StoreWatchEvent &, const StoreWatchEvent &) = default;
};

/// Reports that the watch ended, timed out, or began at a compacted revision. A full read follows.
struct StoreWatchLost
{
    std::string reason;
    std::string prefix; ///< Prefix of the lost watch, if a host keeps several watches.

    friend bool operator==(const StoreWatchLost &, const StoreWatchLost &) = default;
};

struct PeerMessageReceived
{
    HostId from;
    PeerMessage message;

    friend bool operator==(const PeerMessageReceived &, const PeerMessageReceived &) = default;
};

enum class ListedKind
{
    EntryHost,
    Target,
};

/// An entry of the platform's list of live and leaving hosts.
struct ListedHost
{
    ListedKind kind = ListedKind::Target;
    std::string id;
    RackId rack;
    AvailabilityZoneId availabilityZone;
    std::string address;
    int acceleratorCount = 0;
    int milliCpu = 0;
    int memoryMb = 0;
    bool isLeaving = false;

    friend bool operator==(const ListedHost &, const ListedHost &) = default;
};

/// The platform's host list as read. It lags behind the actual state.
struct HostListRead
{
    std::vector<ListedHost> hosts;

    friend bool operator==(const HostListRead &, const HostListRead &) = default;
};

/// Request to stop on SIGTERM: the host hands over its zone, answers open calls and exits.
struct StopRequested
{
    friend bool operator==(const StopRequested &, const StopRequested &) = default;
};

using Event = std::variant<SubmitRequest,
                           StatusRequest,
                           CancelRequest,
                           CommandRequest,
                           CallAbandoned,
                           StoreReply,
                           StoreWatchEvent,
                           StoreWatchLost,
                           TargetReply,
                           PeerMessageReceived,
                           HostListRead,
                           StopRequested,
                           HoldRequest>;

}
