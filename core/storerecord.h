#pragma once

#include "configuration.h"
#include "identifier.h"
#include "job.h"
#include "queueconfiguration.h"
#include "target.h"
#include "targetregistration.h"
#include "time.h"
#include "workflow.h"
#include "workflowprogress.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// Modification revision of a key in the store; zero means that the key does not exist.
using Revision = long long;

/// Key of a record, relative to the common prefix of the product's keys.
struct StoreKey
{
    std::string path;

    friend auto operator<=>(const StoreKey &, const StoreKey &) = default;
};

/// Value of `config/version`. The command id shows which command wrote the version, so that a command can be sent twice safely.
struct ConfigurationVersion
{
    long long version = 0;
    OperatorId changedBy;
    CommandId command;

    friend bool operator==(const ConfigurationVersion &, const ConfigurationVersion &) = default;
};

/// Value of `config/history/<version>`.
struct ConfigurationChange
{
    long long version = 0;
    OperatorId changedBy;
    CommandId command;
    WallTime changedAt;
    std::string statement;

    friend bool operator==(const ConfigurationChange &, const ConfigurationChange &) = default;
};

/// Value of `zones/<zone>/owner`.
struct ZoneOwner
{
    HostId host;
    long long incarnation = 0;
    Epoch epoch = 0;

    friend bool operator==(const ZoneOwner &, const ZoneOwner &) = default;
};

/// Value of `hosts/<hostId>`, bound to the host's store lease.
struct HostRecord
{
    HostId host;
    AvailabilityZoneId availabilityZone;
    std::string peerAddress;
    std::string httpAddress;
    long long incarnation = 0;
    double processorShare = 0; ///< Share of a processor core that the host may use; zero if unknown.

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// Value of `ledger/<yyyymmdd>/<zone>/<n>`: finished jobs without their payload.
struct LedgerBatch
{
    std::vector<Job> jobs;

    friend bool operator==(const LedgerBatch &, const LedgerBatch &) = default;
};

/// A caller's request to cancel a workflow; its key names the workflow.
struct WorkflowCancellation
{
    WallTime requestedAt;

    friend bool operator==(const WorkflowCancellation &, const WorkflowCancellation &) = default;
};

/// Left behind by the cancelling of a workflow that does not exist, bound to a store lease. The writes of submissions are conditional on the key's absence, so
/// that a submission that was sent before and is still on its way does not take effect after the caller was told that the workflow does not exist.
struct WorkflowTombstone
{
    WallTime requestedAt;

    friend bool operator==(const WorkflowTombstone &, const WorkflowTombstone &) = default;
};

/// The host that places the work of a service domain, bound to its store lease. The revision at which the key was created is its fencing token.
struct DomainOwner
{
    HostId host;
    long long incarnation = 0;

    friend bool operator==(const DomainOwner &, const DomainOwner &) = default;
};

/// Fencing record of the domain owner. Every batch replaces it, so that the condition of a late batch fails.
struct CommitMark
{
    Revision token = 0;
    long long batch = 0;

    friend bool operator==(const CommitMark &, const CommitMark &) = default;
};

/// The owner replaces this record once it knows of a configuration that withdraws keys. Writes for callers are conditional on its revision, so that a copy that
/// the store executes late has no effect.
struct AccessFence
{
    Revision configuration = 0; ///< Revision of the configuration for which the owner wrote the record. Only hosts that know it may use the record.

    friend bool operator==(const AccessFence &, const AccessFence &) = default;
};

/// Capacity and labels that at least one target of a service has or recently had.
struct TargetShape
{
    ServiceId service;
    Resources capacity;
    std::vector<std::string> labels;
    WallTime seenAt; ///< Last time at which a target of this shape was registered; at most a minute old while one is registered.

    friend bool operator==(const TargetShape &, const TargetShape &) = default;
};

/// Summary of the domain's work that hosts need in order to accept workflows.
struct DomainSummary
{
    std::map<QueueId, int> waiting;  ///< Number of accepted workflows of which no task has started.
    std::vector<TargetShape> shapes; ///< All distinct shapes.

    friend bool operator==(const DomainSummary &, const DomainSummary &) = default;
};

/// Marks an availability zone, named by the key, in which no more work may start.
struct ZoneEvacuation
{
    friend bool operator==(const ZoneEvacuation &, const ZoneEvacuation &) = default;
};

using StoreRecord = std::variant<Job,
                                 ConfigurationItem,
                                 ConfigurationVersion,
                                 ConfigurationChange,
                                 ZoneOwner,
                                 HostRecord,
                                 LedgerBatch,
                                 Workflow,
                                 WorkflowProgress,
                                 WorkflowCancellation,
                                 WorkflowTombstone,
                                 DomainOwner,
                                 CommitMark,
                                 AccessFence,
                                 DomainSummary,
                                 QueueConfiguration,
                                 ZoneEvacuation,
                                 TargetRegistration>;

struct StoreEntry
{
    StoreKey key;
    StoreRecord record;
    Revision revision = 0;

    friend bool operator==(const StoreEntry &, const StoreEntry &) = default;
};

/// Change of one key within a transaction.
struct StoreWrite
{
    StoreKey key;
    std::optional<StoreRecord> record; ///< New value; none deletes the key.
    std::optional<Revision> expected;  ///< Revision that the key must have for the transaction to apply; none means no condition.
    bool isBoundToLease = false;

    friend bool operator==(const StoreWrite &, const StoreWrite &) = default;
};

/// Revision that a key must have; zero means that the key must not exist.
struct StoreCondition
{
    StoreKey key;
    Revision revision = 0;

    friend bool operator==(const StoreCondition &, const StoreCondition &) = default;
};

/// Applies all writes if every condition holds; otherwise returns the present entries of their keys.
struct StoreTransaction
{
    std::vector<StoreWrite> writes;
    std::vector<StoreCondition> conditions; ///< Further conditions, also on keys that the transaction does not write.

    friend bool operator==(const StoreTransaction &, const StoreTransaction &) = default;
};

/// Read of one key, or of all keys with the prefix.
struct StoreRange
{
    StoreKey key;
    bool isPrefix = false;

    friend bool operator==(const StoreRange &, const StoreRange &) = default;
};

struct StoreLeaseGrant
{
    Duration timeToLive{0};

    friend bool operator==(const StoreLeaseGrant &, const StoreLeaseGrant &) = default;
};

struct StoreLeaseKeepAlive
{
    long long lease = 0;

    friend bool operator==(const StoreLeaseKeepAlive &, const StoreLeaseKeepAlive &) = default;
};

struct StoreLeaseRevoke
{
    long long lease = 0;

    friend bool operator==(const StoreLeaseRevoke &, const StoreLeaseRevoke &) = default;
};

using StoreRequest = std::variant<StoreTransaction, StoreRange, StoreLeaseGrant, StoreLeaseKeepAlive, StoreLeaseRevoke>;

struct StoreCall
{
    CallId id;
    StoreRequest request;
    long long lease = 0; ///< Lease of the writes that are bound to the host's lease.
    Duration timeout{0};
    bool opensConnection = false; ///< Uses a new connection, because another one may no longer respond.

    friend bool operator==(const StoreCall &, const StoreCall &) = default;
};

enum class StoreOutcome
{
    Applied,
    Conflict, ///< A condition did not hold; `entries` holds the present entries.
    NotSent,  ///< The call cannot have had an effect.
    Unknown,  ///< The call may have taken effect; its result must be read back before a retry.
};

struct StoreReply
{
    CallId id;
    StoreOutcome outcome = StoreOutcome::Unknown;
    Revision revision = 0; ///< Revision of the store at the time of its reply.
    long long lease = 0;
    Duration leaseTimeToLive{0}; ///< Zero when the lease no longer exists.
    std::vector<StoreEntry> entries;
    std::string error;

    friend bool operator==(const StoreReply &, const StoreReply &) = default;
};

/// True if both records have the same content; the revision field of a job is ignored.
bool isSameRecord(const StoreRecord &left, const StoreRecord &right);

StoreKey jobKey(const JobId &id);
StoreKey configurationItemKey(const std::string &path);
StoreKey configurationVersionKey();
StoreKey configurationHistoryKey(long long version);

/// Key that the transaction of a command creates, so that a command that is sent twice takes effect only once.
StoreKey configurationCommandKey(const CommandId &command);
StoreKey zoneOwnerKey(const AvailabilityZoneId &zone);
StoreKey hostKey(const HostId &host);
StoreKey ledgerKey(WallTime day, const AvailabilityZoneId &zone, int number);

// Keys of a service domain.
StoreKey workflowKey(const RequestId &id);
StoreKey workflowCancellationKey(const RequestId &id);

/// Key of the tombstone that a cancelling on the queue leaves behind; the organisation is empty if the queue is anonymous.
StoreKey workflowTombstoneKey(const RequestId &id, const OrganisationId &organisation, const QueueId &queue);
StoreKey workflowProgressKey(const RequestId &id);
StoreKey domainOwnerKey();
StoreKey commitMarkKey();

/// Key of the access fence. It begins with the owner's key, so that the hosts' watches of the owner report it too.
StoreKey accessFenceKey();
StoreKey domainSummaryKey();
StoreKey queueConfigurationKey();
StoreKey zoneEvacuationKey(const AvailabilityZoneId &zone);
StoreKey targetRegistrationKey(const TargetId &target);

/// Common prefix of the keys of the owner, the commit mark and the summary.
StoreKey domainPrefix();

/// The last segment of the key's path: the workflow, zone or target that the key names.
std::string lastPathSegment(const StoreKey &key);

}
