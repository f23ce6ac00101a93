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

/// A caller asks to run a job and is answered once it is accepted or refused.
struct SubmitRequest
{
    CallId id;
    JobSpecification specification;

    friend bool operator==(const SubmitRequest &, const SubmitRequest &) = default;
};

/// A caller asks for the job's state, at once or when the job has ended or `wait` is over.
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

/// One item to put, or a path to remove.
struct ConfigurationEdit
{
    std::optional<ConfigurationItem> item;
    std::string removedPath;

    friend bool operator==(const ConfigurationEdit &, const ConfigurationEdit &) = default;
};

/// An operator's change of the configuration.
struct CommandRequest
{
    CallId id;
    CommandId command;
    OperatorId operatorId;
    std::vector<ConfigurationEdit> edits;
    std::optional<long long> expectedVersion;
    bool isDryRun = false;
    std::string statement;
    Duration wait{0}; ///< How long to wait for "in force" before answering "pending".

    friend bool operator==(const CommandRequest &, const CommandRequest &) = default;
};

/// An operator connected to this host stops starts on it, or lifts that. Needs no store.
struct HoldRequest
{
    CallId id;
    OperatorId operatorId;
    bool isHeld = true;

    friend bool operator==(const HoldRequest &, const HoldRequest &) = default;
};

/// The caller has closed its connection; its answer is not wanted any more.
struct CallAbandoned
{
    CallId id;

    friend bool operator==(const CallAbandoned &, const CallAbandoned &) = default;
};

/// Changes from the store's watch, in order.
struct StoreWatchEvent
{
    Revision revision = 0;
    std::vector<StoreEntry> put;
    std::vector<StoreKey> deleted;
    std::string prefix; ///< Of the watch that reports them, where a host keeps several.

    friend bool operator==(const StoreWatchEvent &, const StoreWatchEvent &) = default;
};

/// The watch ended, was compacted or fell silent; a full read follows.
struct StoreWatchLost
{
    std::string reason;
    std::string prefix; ///< Of the lost watch, where a host keeps several.

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

/// One line of the platform's list of live and leaving hosts.
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

/// The platform's list as read; it lags behind the truth.
struct HostListRead
{
    std::vector<ListedHost> hosts;

    friend bool operator==(const HostListRead &, const HostListRead &) = default;
};

/// SIGTERM: hand over, answer what is open, then exit.
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
