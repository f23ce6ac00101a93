#pragma once

#include "core/configuration.h"
#include "core/identifier.h"
#include "core/job.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// Optional clauses of every command.
struct CommandOptions
{
    bool isDryRun = false;
    std::optional<long long> expectedVersion;
    std::string commandId;
    std::optional<Duration> wait; ///< Maximum time to wait for the change to be in force.

    friend bool operator==(const CommandOptions &, const CommandOptions &) = default;
};

// The following structs hold the fields of the item in a `create` or `change` statement. A field that the statement does not give keeps its value.

struct OrganisationChange
{
    std::string id;
    std::optional<int> maxWaitingJobs;
    std::optional<std::string> tokenHash;

    friend bool operator==(const OrganisationChange &, const OrganisationChange &) = default;
};

struct GuaranteeChange
{
    std::string id;
    std::optional<std::string> organisation;
    std::optional<std::string> availabilityZone;
    std::optional<int> acceleratorsPerWorker;
    std::optional<int> workersPerRack;
    std::optional<int> racks;
    std::optional<int> count;

    friend bool operator==(const GuaranteeChange &, const GuaranteeChange &) = default;
};

struct ZoneChange
{
    std::string id;
    std::optional<std::string> region;
    std::optional<bool> isOut;
    std::optional<Duration> leaveNotice;
    std::optional<Duration> isolatedStartPeriod;

    friend bool operator==(const ZoneChange &, const ZoneChange &) = default;
};

struct TeamChange
{
    std::string id;
    std::optional<std::string> organisation;
    std::optional<int> acceleratorQuota;

    friend bool operator==(const TeamChange &, const TeamChange &) = default;
};

struct OperatorChange
{
    std::string id;
    std::optional<OperatorRole> role;
    std::optional<std::string> tokenHash;

    friend bool operator==(const OperatorChange &, const OperatorChange &) = default;
};

using ItemChange = std::variant<OrganisationChange, GuaranteeChange, ZoneChange, TeamChange, OperatorChange>;

/// A `create` or `change` statement. `drain zone` and `return zone` are changes of the zone.
struct ConfigureStatement
{
    bool isNew = false;
    ItemChange change;
    CommandOptions options;

    friend bool operator==(const ConfigureStatement &, const ConfigureStatement &) = default;
};

/// A statement such as `remove organisation kask`; `path` is the path of the configuration item.
struct RemoveStatement
{
    std::string path;
    CommandOptions options;

    friend bool operator==(const RemoveStatement &, const RemoveStatement &) = default;
};

/// A statement such as `drain rack r1` or `return target t1`.
struct DrainStatement
{
    bool isReturn = false;
    Drain drain;
    CommandOptions options;

    friend bool operator==(const DrainStatement &, const DrainStatement &) = default;
};

/// A `hold starts` or `release starts` statement, which applies to the host that the operator is connected to.
struct HoldStatement
{
    bool isHeld = true;
    CommandOptions options;

    friend bool operator==(const HoldStatement &, const HoldStatement &) = default;
};

/// A `declare zone Z dead` statement.
struct DeclareDeadStatement
{
    AvailabilityZoneId availabilityZone;
    CommandOptions options;

    friend bool operator==(const DeclareDeadStatement &, const DeclareDeadStatement &) = default;
};

/// A time in a statement: absolute (`at`), or relative to the time at which the statement runs (`ago`).
struct TimeExpression
{
    std::optional<WallTime> at;
    Duration ago{0};

    friend bool operator==(const TimeExpression &, const TimeExpression &) = default;
};

struct SubmitStatement
{
    JobSpecification specification;
    std::optional<Duration> deadlineIn; ///< Deadline relative to the time at which the statement runs.
    CommandOptions options;

    friend bool operator==(const SubmitStatement &, const SubmitStatement &) = default;
};

struct CancelStatement
{
    JobId job;
    CommandOptions options;

    friend bool operator==(const CancelStatement &, const CancelStatement &) = default;
};

enum class QuerySubject
{
    Jobs,
    Organisations,
    Guarantees,
    Zones,
    Teams,
    Operators,
    Drains,
    Targets,
    Hosts,
    Configuration,
    History,
    Counters,
};

enum class Comparison
{
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Contains,
    In,
};

using QueryValue = std::variant<std::string, long long, Duration, TimeExpression>;

/// A column name with its position in the statement, for errors that are found only when the subject's columns are known.
struct ColumnName
{
    std::string text;
    std::size_t offset = 0;

    friend bool operator==(const ColumnName &, const ColumnName &) = default;
};

struct Condition
{
    ColumnName column;
    Comparison comparison = Comparison::Equal;
    std::vector<QueryValue> values; ///< One value, or several for `in`.

    friend bool operator==(const Condition &, const Condition &) = default;
};

struct SortKey
{
    ColumnName column;
    bool isDescending = false;

    friend bool operator==(const SortKey &, const SortKey &) = default;
};

/// A statement `show SUBJECT where ... since ... until ... group by ... order by ... limit N`.
struct QueryStatement
{
    QuerySubject subject = QuerySubject::Jobs;
    std::vector<Condition> conditions;
    std::optional<TimeExpression> since;
    std::optional<TimeExpression> until;
    std::vector<ColumnName> groupBy;
    std::vector<SortKey> orderBy;
    std::optional<long long> limit;

    friend bool operator==(const QueryStatement &, const QueryStatement &) = default;
};

struct ExplainStatement
{
    JobId job;

    friend bool operator==(const ExplainStatement &, const ExplainStatement &) = default;
};

/// A statement such as `review month 2026-11 organisation kask as html`. The default time range is the current month.
struct ReviewStatement
{
    std::optional<TimeExpression> from;
    std::optional<TimeExpression> until;
    std::optional<std::string> organisation;
    std::optional<std::string> team;
    std::optional<JobClass> jobClass;
    std::optional<std::string> availabilityZone;
    bool isHtml = false;

    friend bool operator==(const ReviewStatement &, const ReviewStatement &) = default;
};

/// An `on failure continue` or `on failure stop` statement, which tells what a script does after a failed statement.
struct FailureModeStatement
{
    bool continues = false;

    friend bool operator==(const FailureModeStatement &, const FailureModeStatement &) = default;
};

using Statement = std::variant<ConfigureStatement,
                               RemoveStatement,
                               DrainStatement,
                               HoldStatement,
                               DeclareDeadStatement,
                               SubmitStatement,
                               CancelStatement,
                               QueryStatement,
                               ExplainStatement,
                               ReviewStatement,
                               FailureModeStatement>;

/// The lowest role that may run the statement.
OperatorRole requiredRole(const Statement &statement);

}
