#include "grammar.h"

#include "syntaxerror.h"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>
#include <type_traits>
#include <utility>

namespace x3 = boost::spirit::x3;

namespace sequoiastand
{

/// Parser with a description of what it accepts, which error messages show as the expected text.
template<typename Subject>
struct NamedParser : x3::unary_parser<Subject, NamedParser<Subject>>
{
    using Base = x3::unary_parser<Subject, NamedParser<Subject>>;
    static bool const is_pass_through_unary = true; // NOLINT(readability-identifier-naming): X3 requires this name.

    NamedParser(const Subject &wrapped, std::string text)
        : Base(wrapped)
        , expected(std::move(text))
    {
    }

    template<typename Iterator, typename Context, typename RuleContext, typename Attribute>
    bool parse(Iterator &first, const Iterator &last, const Context &context, RuleContext &rule, Attribute &attribute) const
    {
        return this->subject.parse(first, last, context, rule, attribute);
    }

    std::string expected;
};

}

template<typename Subject>
struct boost::spirit::x3::get_info<sequoiastand::NamedParser<Subject>>
{
    using result_type = std::string; // NOLINT(readability-identifier-naming): X3 requires this name.
    std::string operator()(const sequoiastand::NamedParser<Subject> &parser) const
    {
        return parser.expected;
    }
};

/// Makes error messages describe a parser with a semantic action by the text of the parser that the action is attached to.
template<typename Subject, typename Action>
struct boost::spirit::x3::get_info<boost::spirit::x3::action<Subject, Action>>
{
    using result_type = std::string; // NOLINT(readability-identifier-naming): X3 requires this name.
    std::string operator()(const boost::spirit::x3::action<Subject, Action> &parser) const
    {
        return boost::spirit::x3::what(parser.subject);
    }
};

namespace sequoiastand
{

namespace
{

using Iterator = std::string_view::const_iterator;

/// Statement that the parser's semantic actions fill in step by step. Every action follows a keyword that determines the grammar's alternative, so the parser
/// never has to undo an action by backtracking.
struct Draft
{
    Iterator begin;
    Statement statement;
    CommandOptions options;
};

struct DraftTag
{
};

template<typename Context>
Draft &draftOf(const Context &context)
{
    return x3::get<DraftTag>(context).get();
}

template<typename Class, typename Context>
Class &partOf(const Context &context)
{
    auto &draft = draftOf(context);
    if constexpr (std::is_same_v<Class, CommandOptions>) {
        return draft.options;
    } else if constexpr (std::is_constructible_v<ItemChange, Class>) {
        return std::get<Class>(std::get<ConfigureStatement>(draft.statement).change);
    } else if constexpr (std::is_same_v<Class, JobSpecification>) {
        return std::get<SubmitStatement>(draft.statement).specification;
    } else {
        return std::get<Class>(draft.statement);
    }
}

template<typename>
struct MemberTraits;

template<typename Class, typename Field>
struct MemberTraits<Field Class::*>
{
    using Owner = Class;
};

/// Assigns the parsed value to a field of the statement.
template<auto member>
constexpr auto assign = [](const auto &context) {
    using Owner = typename MemberTraits<decltype(member)>::Owner;
    (partOf<Owner>(context).*member) = x3::_attr(context);
};

/// Assigns a constant to a field of the statement.
template<auto member, auto value>
constexpr auto assignConstant = [](const auto &context) {
    using Owner = typename MemberTraits<decltype(member)>::Owner;
    (partOf<Owner>(context).*member) = value;
};

/// Appends the parsed value to a list of the query.
template<auto member>
constexpr auto append = [](const auto &context) { (partOf<QueryStatement>(context).*member).push_back(x3::_attr(context)); };

auto begin(const Statement &statement)
{
    return [statement](const auto &context) { draftOf(context).statement = statement; };
}

template<typename Subject>
auto named(std::string text, const Subject &subject)
{
    return NamedParser<typename x3::extension::as_parser<Subject>::value_type>(x3::as_parser(subject), std::move(text));
}

const auto wordCharacter = x3::alnum | x3::char_("_.") | x3::char_('-');

auto keyword(const char *text)
{
    return named(text, x3::lexeme[x3::no_case[x3::lit(text)] >> !wordCharacter]);
}

const auto skipper = x3::space | ('#' >> *(x3::char_ - x3::eol));

// Values.

const auto quoted = x3::rule<struct QuotedTag, std::string>{"text in quotes"} = x3::lexeme['"' >> *(('\\' >> x3::char_) | (x3::char_ - '"')) >> '"'];
const auto bareWord = x3::rule<struct BareWordTag, std::string>{"a word"} = x3::lexeme[+wordCharacter];
const auto wordRule = x3::rule<struct WordTag, std::string>{"a name"} = bareWord | quoted;
// Names become parts of store keys, so they must not contain a separator.
const auto nameRule = x3::rule<struct NameTag, std::string>{"a name"} = x3::lexeme[x3::repeat(1, 128)[wordCharacter] >> !wordCharacter];
const auto word = named("a name of 1 to 128 letters, digits, dots, hyphens or underscores", nameRule);
const auto quotedName = named("a name in quotes", x3::rule<struct QuotedNameTag, std::string>{"a name in quotes"} = x3::lexeme['"' >> nameRule >> '"']);
const auto quotedText = named("text in quotes", quoted);
const auto number = named("a whole number", x3::lexeme[x3::uint_parser<unsigned, 10, 1, 9>{} >> !wordCharacter]);
const auto version = named("a version number", x3::lexeme[x3::ulong_long >> !wordCharacter]);

const auto unit = [] {
    x3::symbols<long long> units;
    units.add("ms", 1)("s", 1'000)("sec", 1'000)("m", 60'000)("min", 60'000)("h", 3'600'000)("d", 86'400'000);
    return units;
}();
const auto addPart = [](const auto &context) {
    const auto &part = x3::_attr(context);
    x3::_val(context) += Duration{static_cast<long long>(boost::fusion::at_c<0>(part)) * boost::fusion::at_c<1>(part)};
};
const auto durationRule = x3::rule<struct DurationTag, Duration>{"a duration"} = +x3::lexeme[x3::uint_ >> x3::omit[*x3::blank] >> unit][addPart];
const auto duration = named("a duration such as 30s, 10min or 2h", durationRule);

template<int count>
const auto digits = x3::uint_parser<unsigned, 10, count, count>{};

struct Date
{
    std::chrono::year_month_day day{};
    Duration timeOfDay{0};
};

const auto setYear = [](const auto &context) { x3::_val(context).day = std::chrono::year{static_cast<int>(x3::_attr(context))} / 1 / 1; };
const auto setMonth = [](const auto &context) {
    auto &date = x3::_val(context).day;
    date = date.year() / std::chrono::month{x3::_attr(context)} / 1;
    x3::_pass(context) = date.ok();
};
const auto setDay = [](const auto &context) {
    auto &date = x3::_val(context).day;
    date = date.year() / date.month() / std::chrono::day{x3::_attr(context)};
    x3::_pass(context) = date.ok();
};

template<unsigned limit, long long scale>
const auto addTime = [](const auto &context) {
    x3::_val(context).timeOfDay += Duration{x3::_attr(context) * scale};
    x3::_pass(context) = x3::_attr(context) < limit;
};

const auto yearMonth = x3::rule<struct YearMonthTag, Date>{"month"} = x3::lexeme[digits<4>[setYear] >> '-' >> digits<2>[setMonth] >> !wordCharacter];
const auto dateTime = x3::rule<struct DateTimeTag, Date>{"date"} =
    x3::lexeme[digits<4>[setYear] >> '-' >> digits<2>[setMonth] >> '-' >> digits<2>[setDay]
               >> -('T' >> digits<2>[addTime<24, 3'600'000>] >> ':' >> digits<2>[addTime<60, 60'000>] >> -(':' >> digits<2>[addTime<60, 1'000>])
                    >> -x3::lit('Z'))
               >> !wordCharacter];

const auto setAbsolute = [](const auto &context) {
    const Date &date = x3::_attr(context);
    x3::_val(context) = TimeExpression{WallTime{std::chrono::sys_days{date.day}} + date.timeOfDay, Duration{0}};
};
const auto setAgo = [](const auto &context) { x3::_val(context) = TimeExpression{std::nullopt, x3::_attr(context)}; };
const auto setNow = [](const auto &context) { x3::_val(context) = TimeExpression{}; };
const auto timeRule = x3::rule<struct TimeTag, TimeExpression>{"a time"} =
    dateTime[setAbsolute] | (durationRule >> keyword("ago"))[setAgo] | keyword("now")[setNow];
const auto time = named("a time such as 2026-11-30, 2026-11-30T09:15 or 2h ago", timeRule);

const auto setOrganisation = [](const auto &context) { x3::_val(context).organisation.value = x3::_attr(context); };
const auto setRequest = [](const auto &context) { x3::_val(context).request.value = x3::_attr(context); };
const auto jobIdRule = x3::rule<struct JobIdTag, JobId>{"a job"} = x3::lexeme[nameRule[setOrganisation] >> '/' >> nameRule[setRequest]];
const auto jobId = named("a job as ORGANISATION/REQUEST", jobIdRule);

const auto jobClass = named("urgent, ordinary or patient", [] {
    x3::symbols<JobClass> classes;
    classes.add("urgent", JobClass::Urgent)("ordinary", JobClass::Ordinary)("patient", JobClass::Patient);
    return classes;
}());
const auto adjacency = named("any, worker, rack or zone", [] {
    x3::symbols<Adjacency> adjacencies;
    adjacencies.add("any", Adjacency::Any)("worker", Adjacency::Worker)("rack", Adjacency::Rack)("zone", Adjacency::AvailabilityZone);
    return adjacencies;
}());
const auto role = named("viewer, submitter or administrator", [] {
    x3::symbols<OperatorRole> roles;
    roles.add("viewer", OperatorRole::Viewer)("submitter", OperatorRole::Submitter)("administrator", OperatorRole::Administrator);
    return roles;
}());

// Commands.

const auto option = (keyword("dry") > keyword("run"))[assignConstant<&CommandOptions::isDryRun, true>]
                    | (keyword("expecting") > keyword("version") > version[assign<&CommandOptions::expectedVersion>])
                    | (keyword("command") > keyword("id") > quotedName[assign<&CommandOptions::commandId>])
                    | (keyword("wait") > duration[assign<&CommandOptions::wait>]);
const auto tokenHash = keyword("token") > keyword("hash");

const auto organisationSettings =
    *((keyword("waiting") > number[assign<&OrganisationChange::maxWaitingJobs>]) | (tokenHash > quotedText[assign<&OrganisationChange::tokenHash>]) | option);
const auto guaranteeSettings =
    *((keyword("for") > word[assign<&GuaranteeChange::organisation>]) | (keyword("in") > word[assign<&GuaranteeChange::availabilityZone>])
      | (keyword("accelerators") > number[assign<&GuaranteeChange::acceleratorsPerWorker>])
      | (keyword("workers") > number[assign<&GuaranteeChange::workersPerRack>]) | (keyword("racks") > number[assign<&GuaranteeChange::racks>])
      | (keyword("count") > number[assign<&GuaranteeChange::count>]) | option);
const auto zoneSettings = *((keyword("region") > word[assign<&ZoneChange::region>]) | (keyword("notice") > duration[assign<&ZoneChange::leaveNotice>])
                            | (keyword("isolated") > keyword("starts") > duration[assign<&ZoneChange::isolatedStartPeriod>]) | option);
const auto teamSettings =
    *((keyword("of") > word[assign<&TeamChange::organisation>]) | (keyword("quota") > number[assign<&TeamChange::acceleratorQuota>]) | option);
const auto operatorSettings =
    *((keyword("role") > role[assign<&OperatorChange::role>]) | (tokenHash > quotedText[assign<&OperatorChange::tokenHash>]) | option);

auto configure(bool isNew)
{
    const auto kind = [isNew](const ItemChange &change) { return begin(ConfigureStatement{isNew, change, {}}); };
    return named("organisation, guarantee, zone, team or operator",
                 (keyword("organisation")[kind(OrganisationChange{})] > word[assign<&OrganisationChange::id>] > organisationSettings)
                     | (keyword("guarantee")[kind(GuaranteeChange{})] > word[assign<&GuaranteeChange::id>] > guaranteeSettings)
                     | (keyword("zone")[kind(ZoneChange{})] > word[assign<&ZoneChange::id>] > zoneSettings)
                     | (keyword("team")[kind(TeamChange{})] > word[assign<&TeamChange::id>] > teamSettings)
                     | (keyword("operator")[kind(OperatorChange{})] > word[assign<&OperatorChange::id>] > operatorSettings));
}

auto removal(const char *kind, const std::string &prefix)
{
    return keyword(kind) > word[([prefix](const auto &context) { draftOf(context).statement = RemoveStatement{prefix + x3::_attr(context), {}}; })];
}

auto drain(bool isReturn)
{
    const auto scope = [isReturn](DrainScope value) { return begin(DrainStatement{isReturn, {value, ""}, {}}); };
    const auto setName = [](const auto &context) { std::get<DrainStatement>(draftOf(context).statement).drain.name = x3::_attr(context); };
    ZoneChange zone;
    zone.isOut = !isReturn;
    return named("zone, rack or target",
                 (keyword("zone")[begin(ConfigureStatement{false, zone, {}})] > word[assign<&ZoneChange::id>]
                  > *((keyword("notice") > duration[assign<&ZoneChange::leaveNotice>]) | option))
                     | (keyword("rack")[scope(DrainScope::Rack)] > word[setName] > *option)
                     | (keyword("target")[scope(DrainScope::Target)] > word[setName] > *option));
}

const auto setTeam = [](const auto &context) { partOf<JobSpecification>(context).team.value = x3::_attr(context); };
const auto setDeadline = [](const auto &context) { partOf<JobSpecification>(context).deadline = *x3::_attr(context).at; };
const auto absoluteTime = x3::rule<struct AbsoluteTimeTag, TimeExpression>{"a time"} = dateTime[setAbsolute];
const auto deadline = named("a time or a duration", absoluteTime[setDeadline] | durationRule[assign<&SubmitStatement::deadlineIn>]);
const auto submitSettings =
    *((keyword("team") > word[setTeam]) | (keyword("class") > jobClass[assign<&JobSpecification::jobClass>])
      | (keyword("tasks") > number[assign<&JobSpecification::taskCount>]) | (keyword("accelerators") > number[assign<&JobSpecification::acceleratorsPerTask>])
      | (keyword("adjacency") > adjacency[assign<&JobSpecification::adjacency>]) | (keyword("cpu") > number[assign<&JobSpecification::milliCpuPerTask>])
      | (keyword("memory") > number[assign<&JobSpecification::memoryMbPerTask>]) | keyword("idempotent")[assignConstant<&JobSpecification::isIdempotent, true>]
      | keyword("checkpointable")[assignConstant<&JobSpecification::isCheckpointable, true>]
      | (keyword("run") > keyword("time") > duration[assign<&JobSpecification::declaredRunTime>]) | (keyword("deadline") > deadline)
      | (keyword("payload") > quotedText[assign<&JobSpecification::payload>]) | option);

const auto setZone = [](const auto &context) { partOf<DeclareDeadStatement>(context).availabilityZone.value = x3::_attr(context); };

const auto command = (keyword("create") > configure(true)) | (keyword("change") > configure(false))
                     | (keyword("remove") > named("organisation, guarantee, zone, team or operator",
                                                  removal("organisation", "organisation/") | removal("guarantee", "guarantee/")
                                                      | removal("zone", "availabilityZone/") | removal("team", "team/") | removal("operator", "operator/"))
                        > *option)
                     | (keyword("drain") > drain(false)) | (keyword("return") > drain(true))
                     | (keyword("hold")[begin(HoldStatement{true, {}})] > keyword("starts") > *option)
                     | (keyword("release")[begin(HoldStatement{false, {}})] > keyword("starts") > *option)
                     | (keyword("declare")[begin(DeclareDeadStatement{})] > keyword("zone") > word[setZone] > keyword("dead") > *option)
                     | (keyword("submit")[begin(SubmitStatement{})] > keyword("job") > jobId[assign<&JobSpecification::id>] > submitSettings)
                     | (keyword("cancel")[begin(CancelStatement{})] > keyword("job") > jobId[assign<&CancelStatement::job>] > *option);

// Queries.

const auto subject = named("jobs, organisations, guarantees, zones, teams, operators, drains, targets, hosts, configuration, history or counters", [] {
    x3::symbols<QuerySubject> subjects;
    subjects.add("jobs", QuerySubject::Jobs)("organisations", QuerySubject::Organisations)("guarantees", QuerySubject::Guarantees);
    subjects.add("zones", QuerySubject::Zones)("teams", QuerySubject::Teams)("operators", QuerySubject::Operators)("drains", QuerySubject::Drains);
    subjects.add("targets", QuerySubject::Targets)("hosts", QuerySubject::Hosts)("configuration", QuerySubject::Configuration);
    subjects.add("history", QuerySubject::History)("counters", QuerySubject::Counters);
    return x3::lexeme[x3::no_case[subjects] >> !wordCharacter];
}());

const auto setColumn = [](const auto &context) {
    const auto &range = x3::_attr(context);
    x3::_val(context) = {std::string(range.begin(), range.end()), static_cast<std::size_t>(range.begin() - draftOf(context).begin)};
};
const auto columnRule = x3::rule<struct ColumnTag, ColumnName>{"a column"} = x3::raw[x3::lexeme[+wordCharacter]][setColumn];
const auto column = named("a column", columnRule);

const auto setValue = [](const auto &context) { x3::_val(context) = x3::_attr(context); };
const auto integer = x3::rule<struct IntegerTag, long long>{"a number"} = x3::lexeme[x3::long_long >> !wordCharacter];
const auto valueRule = x3::rule<struct ValueTag, QueryValue>{"a value"} = timeRule[setValue] | durationRule[setValue] | integer[setValue] | wordRule[setValue];
const auto value = named("a value", valueRule);

const auto comparison = [] {
    x3::symbols<Comparison> comparisons;
    comparisons.add("=", Comparison::Equal)("!=", Comparison::NotEqual)("<", Comparison::Less)("<=", Comparison::LessOrEqual);
    comparisons.add(">", Comparison::Greater)(">=", Comparison::GreaterOrEqual)("contains", Comparison::Contains);
    return comparisons;
}();
const auto setConditionColumn = [](const auto &context) { x3::_val(context).column = x3::_attr(context); };
const auto setComparison = [](const auto &context) { x3::_val(context).comparison = x3::_attr(context); };
const auto addValue = [](const auto &context) { x3::_val(context).values.push_back(x3::_attr(context)); };
const auto setIn = [](const auto &context) { x3::_val(context).comparison = Comparison::In; };
const auto condition = x3::rule<struct ConditionTag, Condition>{"a condition"} = column[setConditionColumn]
                                                                                 > named("=, !=, <, <=, >, >=, contains or in",
                                                                                         (keyword("in")[setIn] > '(' > (value[addValue] % ',') > ')')
                                                                                             | (comparison[setComparison] > value[addValue]));

const auto setSortColumn = [](const auto &context) { x3::_val(context).column = x3::_attr(context); };
const auto setDescending = [](const auto &context) { x3::_val(context).isDescending = true; };
const auto sortKey = x3::rule<struct SortKeyTag, SortKey>{"a column"} = column[setSortColumn] > -(keyword("descending")[setDescending] | keyword("ascending"));

const auto query = keyword("show")[begin(QueryStatement{})] > subject[assign<&QueryStatement::subject>]
                   > *((keyword("where") > (condition[append<&QueryStatement::conditions>] % keyword("and")))
                       | (keyword("since") > time[assign<&QueryStatement::since>]) | (keyword("until") > time[assign<&QueryStatement::until>])
                       | (keyword("group") > keyword("by") > (column[append<&QueryStatement::groupBy>] % ','))
                       | (keyword("order") > keyword("by") > (sortKey[append<&QueryStatement::orderBy>] % ','))
                       | (keyword("limit") > number[assign<&QueryStatement::limit>]));

const auto setReviewMonth = [](const auto &context) {
    auto &review = partOf<ReviewStatement>(context);
    const auto &day = x3::_attr(context).day;
    review.from = TimeExpression{WallTime{std::chrono::sys_days{day}}, Duration{0}};
    review.until = TimeExpression{WallTime{std::chrono::sys_days{day + std::chrono::months{1}}}, Duration{0}};
};
const auto review = keyword("review")[begin(ReviewStatement{})]
                    > *((keyword("month") > named("a month such as 2026-11", yearMonth)[setReviewMonth])
                        | (keyword("from") > time[assign<&ReviewStatement::from>]) | (keyword("until") > time[assign<&ReviewStatement::until>])
                        | (keyword("organisation") > word[assign<&ReviewStatement::organisation>]) | (keyword("team") > word[assign<&ReviewStatement::team>])
                        | (keyword("class") > jobClass[assign<&ReviewStatement::jobClass>])
                        | (keyword("zone") > word[assign<&ReviewStatement::availabilityZone>])
                        | (keyword("as") > keyword("html")[assignConstant<&ReviewStatement::isHtml, true>]));

const auto explain = keyword("explain")[begin(ExplainStatement{})] > keyword("job") > jobId[assign<&ExplainStatement::job>];

const auto failureMode = keyword("on")[begin(FailureModeStatement{})] > keyword("failure")
                         > named("continue or stop", keyword("continue")[assignConstant<&FailureModeStatement::continues, true>] | keyword("stop"));

const auto statementStart = "a statement: create, change, remove, drain, return, hold, release, declare, submit, cancel, show, explain, review or on failure";
const auto completeStatement = x3::eps > named(statementStart, command | query | explain | review | failureMode) > named("the end of the statement", x3::eoi);

template<typename Options>
concept TakesOptions = requires(Options statement)
{
    statement.options;
};

}

std::variant<Statement, SyntaxError> parseStatement(std::string_view text)
{
    Draft draft{text.begin(), {}, {}};
    auto first = text.begin();
    const auto errorAt = [&text, &draft](Iterator failedAt, const std::string &expected) {
        Iterator position = failedAt;
        // X3 reports a position before the blanks and comments that precede the unexpected word. They are skipped to find the word.
        x3::parse(position, text.end(), *skipper);
        const bool isEnd = expected == "the end of the statement";
        return SyntaxError{static_cast<std::size_t>(position - text.begin()),
                           isEnd ? continuations(draft.statement) : expected,
                           wordAt(text.substr(static_cast<std::size_t>(position - text.begin())))};
    };
    try {
        if (!x3::phrase_parse(first, text.end(), x3::with<DraftTag>(std::ref(draft))[completeStatement], skipper)) {
            return errorAt(first, statementStart);
        }
    } catch (const x3::expectation_failure<Iterator> &failure) {
        return errorAt(failure.where(), failure.which());
    }
    std::visit(
        [&draft](auto &statement) {
            if constexpr (TakesOptions<decltype(statement)>) {
                statement.options = draft.options;
            }
        },
        draft.statement);
    return draft.statement;
}

}
