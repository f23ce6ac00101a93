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

/// Key of a record, below the product's prefix.
struct StoreKey
{
    std::string path;

    friend auto operator<=>(const StoreKey &, const StoreKey &) = default;
};

/// Value of `config/version`. The command id makes a command safe to send twice.
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
    double processorShare = 0; ///< Of a core that the host may use; zero: not known.

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// Value of `ledger/<yyyymmdd>/<zone>/<n>`: finished jobs without their payload.
struct LedgerBatch
{
    std::vector<Job> jobs;

    friend bool operator==(const LedgerBatch &, const LedgerBatch &) = default;
};

/// A caller's wish to end a workflow; its key names the workflow.
struct WorkflowCancellation
{
    WallTime requestedAt;

    friend bool operator==(const WorkflowCancellation &, const WorkflowCancellation &) = default;
};

/// The host that places the work of a service domain, bound to its store lease. The revision at which the key was created is its fencing token.
struct DomainOwner
{
    HostId host;
    long long incarnation = 0;

    friend bool operator==(const DomainOwner &, const DomainOwner &) = default;
};

/// Replaced by every batch of the owner, so that a batch which arrives late fails its condition.
struct CommitMark
{
    Revision token = 0;
    long long batch = 0;

    friend bool operator==(const CommitMark &, const CommitMark &) = default;
};

/// Capacity and labels that some target of a service has, or had lately.
struct TargetShape
{
    ServiceId service;
    Resources capacity;
    std::vector<std::string> labels;
    WallTime seenAt; ///< When such a target was registered, at most a minute old while there is one.

    friend bool operator==(const TargetShape &, const TargetShape &) = default;
};

/// What accepting hosts need to know of the domain's work.
struct DomainSummary
{
    std::map<QueueId, int> waiting;  ///< Accepted workflows of which no task has started.
    std::vector<TargetShape> shapes; ///< Each differing shape once.

    friend bool operator==(const DomainSummary &, const DomainSummary &) = default;
};

/// Nothing more may start in the availability zone that the key names.
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
                                 DomainOwner,
                                 CommitMark,
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

/// One key's change within a transaction.
struct StoreWrite
{
    StoreKey key;
    std::optional<StoreRecord> record; ///< None deletes the key.
    std::optional<Revision> expected;  ///< The transaction applies only if the key has this revision; none means no condition.
    bool isBoundToLease = false;

    friend bool operator==(const StoreWrite &, const StoreWrite &) = default;
};

/// A key that must have the revision; zero means that it must not exist.
struct StoreCondition
{
    StoreKey key;
    Revision revision = 0;

    friend bool operator==(const StoreCondition &, const StoreCondition &) = default;
};

/// Applies all writes if every condition holds; otherwise answers with the present entries of their keys.
struct StoreTransaction
{
    std::vector<StoreWrite> writes;
    std::vector<StoreCondition> conditions; ///< On keys that the transaction need not write.

    friend bool operator==(const StoreTransaction &, const StoreTransaction &) = default;
};

/// Reads one key, or all keys with the prefix.
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
    long long lease = 0; ///< For writes that are bound to the host's lease.
    Duration timeout{0};

    friend bool operator==(const StoreCall &, const StoreCall &) = default;
};

enum class StoreOutcome
{
    Applied,
    Conflict, ///< A condition did not hold; `entries` has the present rows.
    NotSent,  ///< The call certainly had no effect.
    Unknown,  ///< The call may have had its effect; read back before trying again.
};

struct StoreReply
{
    CallId id;
    StoreOutcome outcome = StoreOutcome::Unknown;
    Revision revision = 0; ///< The store's revision when it answered.
    long long lease = 0;
    Duration leaseTimeToLive{0}; ///< Zero when the lease no longer exists.
    std::vector<StoreEntry> entries;
    std::string error;

    friend bool operator==(const StoreReply &, const StoreReply &) = default;
};

/// True if both records hold the same content; the revision that a job carries is not content.
bool isSameRecord(const StoreRecord &left, const StoreRecord &right);

StoreKey jobKey(const JobId &id);
StoreKey configurationItemKey(const std::string &path);
StoreKey configurationVersionKey();
StoreKey configurationHistoryKey(long long version);

/// Key that makes a command safe to send twice: it is created in the transaction that carries out the command.
StoreKey configurationCommandKey(const CommandId &command);
StoreKey zoneOwnerKey(const AvailabilityZoneId &zone);
StoreKey hostKey(const HostId &host);
StoreKey ledgerKey(WallTime day, const AvailabilityZoneId &zone, int number);

// Keys of a service domain.
StoreKey workflowKey(const RequestId &id);
StoreKey workflowCancellationKey(const RequestId &id);
StoreKey workflowProgressKey(const RequestId &id);
StoreKey domainOwnerKey();
StoreKey commitMarkKey();
StoreKey domainSummaryKey();
StoreKey queueConfigurationKey();
StoreKey zoneEvacuationKey(const AvailabilityZoneId &zone);
StoreKey targetRegistrationKey(const TargetId &target);

/// Common prefix of the owner key, the commit mark and the summary.
StoreKey domainPrefix();

/// The last part of a key: the workflow, zone or target that it names.
std::string lastPathSegment(const StoreKey &key);

}
