#pragma once

#include "configuration.h"
#include "identifier.h"
#include "job.h"
#include "target.h"
#include "time.h"

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

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// Value of `ledger/<yyyymmdd>/<zone>/<n>`: finished jobs without their payload.
struct LedgerBatch
{
    std::vector<Job> jobs;

    friend bool operator==(const LedgerBatch &, const LedgerBatch &) = default;
};

using StoreRecord = std::variant<Job, ConfigurationItem, ConfigurationVersion, ConfigurationChange, ZoneOwner, HostRecord, LedgerBatch>;

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

/// Applies all writes if every condition holds; otherwise answers with the present entries of their keys.
struct StoreTransaction
{
    std::vector<StoreWrite> writes;

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

}
