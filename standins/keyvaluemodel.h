#pragma once

#include "core/time.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// The current row of a key, or its state after a change. `version` is zero after a deletion.
struct KeyValueRow
{
    std::string key;
    std::string value;
    long long createRevision = 0;
    long long modRevision = 0;
    long long version = 0;
    long long lease = 0;

    friend bool operator==(const KeyValueRow &, const KeyValueRow &) = default;
};

/// Half-open range of keys from `key` to `end`. An empty `end` selects the key alone, a single zero byte all keys from `key` on.
struct KeyValueSpan
{
    std::string key;
    std::string end;

    friend bool operator==(const KeyValueSpan &, const KeyValueSpan &) = default;
};

struct KeyValueRange
{
    KeyValueSpan span;
    long long limit = 0; ///< Zero means no limit.

    friend bool operator==(const KeyValueRange &, const KeyValueRange &) = default;
};

struct KeyValuePut
{
    std::string key;
    std::string value;
    long long lease = 0;

    friend bool operator==(const KeyValuePut &, const KeyValuePut &) = default;
};

struct KeyValueDelete
{
    KeyValueSpan span;

    friend bool operator==(const KeyValueDelete &, const KeyValueDelete &) = default;
};

enum class CompareTarget
{
    Version,
    CreateRevision,
    ModRevision,
    Value,
    Lease,
};

enum class CompareResult
{
    Equal,
    Greater,
    Less,
    NotEqual,
};

/// Condition on one key. For a key that does not exist, every number is zero and the value is empty.
struct KeyValueCompare
{
    std::string key;
    CompareTarget target = CompareTarget::Version;
    CompareResult result = CompareResult::Equal;
    long long number = 0;
    std::string value;

    friend bool operator==(const KeyValueCompare &, const KeyValueCompare &) = default;
};

using KeyValueOperation = std::variant<KeyValueRange, KeyValuePut, KeyValueDelete>;

/// Executes `success` if every condition holds, otherwise `failure`, under one revision.
struct KeyValueTransaction
{
    std::vector<KeyValueCompare> compares;
    std::vector<KeyValueOperation> success;
    std::vector<KeyValueOperation> failure;

    friend bool operator==(const KeyValueTransaction &, const KeyValueTransaction &) = default;
};

struct KeyValueLeaseGrant
{
    long long id = 0; ///< Id of the lease; zero lets the service choose one.
    Duration timeToLive{0};

    friend bool operator==(const KeyValueLeaseGrant &, const KeyValueLeaseGrant &) = default;
};

/// Renews a lease. The answer's time to live is zero if the lease does not exist.
struct KeyValueLeaseKeepAlive
{
    long long id = 0;

    friend bool operator==(const KeyValueLeaseKeepAlive &, const KeyValueLeaseKeepAlive &) = default;
};

struct KeyValueLeaseRevoke
{
    long long id = 0;

    friend bool operator==(const KeyValueLeaseRevoke &, const KeyValueLeaseRevoke &) = default;
};

/// Removes the changes before the revision. Current rows stay, and a watch can still start at the revision.
struct KeyValueCompaction
{
    long long revision = 0;

    friend bool operator==(const KeyValueCompaction &, const KeyValueCompaction &) = default;
};

using KeyValueRequest = std::variant<KeyValueRange,
                                     KeyValuePut,
                                     KeyValueDelete,
                                     KeyValueTransaction,
                                     KeyValueLeaseGrant,
                                     KeyValueLeaseKeepAlive,
                                     KeyValueLeaseRevoke,
                                     KeyValueCompaction>;

/// Answer to a request; fields that do not apply to it keep their defaults.
struct KeyValueAnswer
{
    long long revision = 0; ///< Revision of the service after the request.
    std::vector<KeyValueRow> rows;
    long long count = 0; ///< Number of rows in the span, or of rows deleted.
    bool isTruncated = false;
    bool hasSucceeded = false; ///< True if the conditions of a transaction held.
    std::vector<KeyValueAnswer> answers;
    long long lease = 0;
    Duration timeToLive{0};

    friend bool operator==(const KeyValueAnswer &, const KeyValueAnswer &) = default;
};

struct KeyValueLease
{
    Duration timeToLive{0};
    TimePoint expiry;
    std::set<std::string> keys;

    friend bool operator==(const KeyValueLease &, const KeyValueLease &) = default;
};

/// Model of the platform's key-value service, without sockets or clock.
struct KeyValueModel
{
    long long revision = 1;
    long long compactedRevision = 0;
    std::map<std::string, KeyValueRow> rows;
    std::deque<KeyValueRow> changes; ///< Changes since the last compaction, in order of revision.
    std::map<long long, KeyValueLease> leases;
    long long lastLease = 0;

    friend bool operator==(const KeyValueModel &, const KeyValueModel &) = default;
};

struct KeyValueStep
{
    KeyValueModel model;
    absl::StatusOr<KeyValueAnswer> answer;
};

/// Executes a request at the given time. A refused request changes no rows.
KeyValueStep applyRequest(KeyValueModel model, const KeyValueRequest &request, TimePoint now);

/// Deletes the keys of leases that have expired.
KeyValueModel expireLeases(KeyValueModel model, TimePoint now);

std::optional<TimePoint> nextLeaseExpiry(const KeyValueModel &model);

/// Changes in the span from the given revision on, for a watch. OutOfRange if compaction has removed some of them.
absl::StatusOr<std::vector<KeyValueRow>> changesFrom(const KeyValueModel &model, const KeyValueSpan &span, long long revision);

/// The span of all keys that start with the prefix.
KeyValueSpan prefixSpan(const std::string &prefix);

bool contains(const KeyValueSpan &span, const std::string &key);

}
