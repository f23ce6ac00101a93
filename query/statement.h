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

/// Clauses that every command takes.
struct CommandOptions
{
    bool isDryRun = false;
    std::optional<long long> expectedVersion;
    std::string commandId;
    std::optional<Duration> wait; ///< How long to wait for "in force".

    friend bool operator==(const CommandOptions &, const CommandOptions &) = default;
};

// What a `create` or `change` says about one item; an absent field keeps its value.

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

/// `create ...`, `change ...`; also `drain zone` and `return zone`, which change the zone.
struct ConfigureStatement
{
    bool isNew = false;
    ItemChange change;
    CommandOptions options;

    friend bool operator==(const ConfigureStatement &, const ConfigureStatement &) = default;
};

/// `remove organisation kask`; the path is that of the configuration item.
struct RemoveStatement
{
    std::string path;
    CommandOptions options;

    friend bool operator==(const RemoveStatement &, const RemoveStatement &) = default;
};

/// `drain rack r1`, `return target t1`.
struct DrainStatement
{
    bool isReturn = false;
    Drain drain;
    CommandOptions options;

    friend bool operator==(const DrainStatement &, const DrainStatement &) = default;
};

/// `hold starts`, `release starts`: on the host that the operator is connected to.
struct HoldStatement
{
    bool isHeld = true;
    CommandOptions options;

    friend bool operator==(const HoldStatement &, const HoldStatement &) = default;
};

/// `declare zone Z dead`.
struct DeclareDeadStatement
{
    AvailabilityZoneId availabilityZone;
    CommandOptions options;

    friend bool operator==(const DeclareDeadStatement &, const DeclareDeadStatement &) = default;
};

/// A time as written: absolute, or so long before the statement is run.
struct TimeExpression
{
    std::optional<WallTime> at;
    Duration ago{0};

    friend bool operator==(const TimeExpression &, const TimeExpression &) = default;
};

struct SubmitStatement
{
    JobSpecification specification;
    std::optional<Duration> deadlineIn; ///< Deadline counted from when the statement is run.
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

/// A column's name and its place in the statement, for faults that show only when the columns are known.
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
    std::vector<QueryValue> values; ///< One, or several for `in`.

    friend bool operator==(const Condition &, const Condition &) = default;
};

struct SortKey
{
    ColumnName column;
    bool isDescending = false;

    friend bool operator==(const SortKey &, const SortKey &) = default;
};

/// `show SUBJECT where ... since ... until ... group by ... order by ... limit N`
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

/// `review month 2026-11 organisation kask as html`. Without a time range: the present month.
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

/// `on failure continue`: what a script does after a statement that fails.
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

/// The least role that may run the statement.
OperatorRole requiredRole(const Statement &statement);

}
