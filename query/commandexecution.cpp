#include "commandexecution.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cctype>
#include <type_traits>
#include <utility>

namespace sequoiastand
{

namespace
{

Refusal refused(RefusalReason reason, std::string message)
{
    return {reason, RequestEffect::NotRun, Duration{0}, std::move(message)};
}

template<typename Field, typename Value>
void apply(Field &field, const std::optional<Value> &value)
{
    if (value) {
        field = Field{*value};
    }
}

Organisation withChange(Organisation item, const OrganisationChange &change)
{
    item.id = {change.id};
    apply(item.maxWaitingJobs, change.maxWaitingJobs);
    apply(item.tokenHash, change.tokenHash);
    return item;
}

Guarantee withChange(Guarantee item, const GuaranteeChange &change)
{
    item.id = change.id;
    apply(item.organisation, change.organisation);
    apply(item.availabilityZone, change.availabilityZone);
    apply(item.shape.acceleratorsPerWorker, change.acceleratorsPerWorker);
    apply(item.shape.workersPerRack, change.workersPerRack);
    apply(item.shape.racks, change.racks);
    apply(item.shape.count, change.count);
    return item;
}

AvailabilityZone withChange(AvailabilityZone item, const ZoneChange &change)
{
    item.id = {change.id};
    apply(item.region, change.region);
    apply(item.isOut, change.isOut);
    apply(item.leaveNotice, change.leaveNotice);
    apply(item.isolatedStartPeriod, change.isolatedStartPeriod);
    // A zone that returns to service is no longer declared dead.
    item.isDeclaredDead = item.isDeclaredDead && !(change.isOut && !*change.isOut);
    return item;
}

Team withChange(Team item, const TeamChange &change)
{
    item.id = {change.id};
    apply(item.organisation, change.organisation);
    apply(item.acceleratorQuota, change.acceleratorQuota);
    return item;
}

OperatorAccount withChange(OperatorAccount item, const OperatorChange &change)
{
    item.id = {change.id};
    apply(item.role, change.role);
    apply(item.tokenHash, change.tokenHash);
    return item;
}

template<typename Change>
using ItemOf = decltype(withChange({}, std::declval<Change>()));

std::string missingSetting(const ItemChange &change)
{
    const auto *guarantee = std::get_if<GuaranteeChange>(&change);
    const auto *team = std::get_if<TeamChange>(&change);
    if (guarantee != nullptr && (!guarantee->organisation || !guarantee->availabilityZone)) {
        return guarantee->organisation ? "in ZONE" : "for ORGANISATION";
    }
    return team != nullptr && !team->organisation ? "of ORGANISATION" : "";
}

/// Error message for an invalid value of a setting that the core does not validate; empty if all values are valid.
std::string invalidValue(const ItemChange &change)
{
    const auto *organisation = std::get_if<OrganisationChange>(&change);
    const auto *account = std::get_if<OperatorChange>(&change);
    const auto hash = organisation != nullptr ? organisation->tokenHash : account != nullptr ? account->tokenHash : std::nullopt;
    const auto isHexadecimal = [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); };
    constexpr std::size_t digits = 64;
    if (hash && (hash->size() != digits || !std::ranges::all_of(*hash, isHexadecimal))) {
        return "token hash: must be the token's SHA-256 in 64 lower-case hexadecimal digits";
    }
    return "";
}

/// The event for a command. If this host already knows the command, the event is a retry and carries the original edits, so that the core recognises the
/// command.
ExecutionOutcome commandEvent(const Blackboard &board,
                              std::vector<ConfigurationEdit> edits,
                              bool dependsOnCurrentItem,
                              const CommandOptions &options,
                              const StatementContext &context)
{
    CommandRequest request;
    request.id = context.call;
    request.command = options.commandId.empty() ? context.command : CommandId{options.commandId};
    request.operatorId = context.account.id;
    request.isDryRun = options.isDryRun;
    request.statement = context.text;
    request.wait = options.wait.value_or(context.wait);
    request.edits = std::move(edits);
    request.expectedVersion = options.expectedVersion;
    if (dependsOnCurrentItem && !request.expectedVersion) {
        // The edit replaces the whole item and is based on the item that this host knows. If it were applied to a later version, it could undo another
        // operator's change.
        request.expectedVersion = board.configuration.version;
    }
    if (const auto *known = board.commands.find(request.command); known != nullptr && known->request.statement == request.statement) {
        request.edits = known->request.edits;
        request.expectedVersion = known->request.expectedVersion;
    }
    return Event{request};
}

bool isKnownCommand(const Blackboard &board, const CommandOptions &options)
{
    return !options.commandId.empty() && board.commands.contains(CommandId{options.commandId});
}

std::optional<Refusal> versionConflict(const Blackboard &board, const CommandOptions &options)
{
    if (!options.expectedVersion || *options.expectedVersion == board.configuration.version) {
        return std::nullopt;
    }
    return refused(RefusalReason::VersionConflict,
                   absl::StrCat("expected version ", *options.expectedVersion, ", present version ", board.configuration.version));
}

}

ExecutionOutcome executeCommand(const Blackboard &board, const ConfigureStatement &statement, const StatementContext &context)
{
    return std::visit(
        [&](const auto &change) -> ExecutionOutcome {
            using Item = ItemOf<std::decay_t<decltype(change)>>;
            const std::string path = itemPath(withChange(Item{}, change));
            const auto current = itemAt(board.configuration, path);
            const bool isKnown = isKnownCommand(board, statement.options);
            if (const auto error = invalidValue(statement.change); !error.empty()) {
                return refused(RefusalReason::BadRequest, error);
            }
            if (!statement.isNew) {
                if (!current) {
                    return refused(RefusalReason::NotFound, path + " does not exist");
                }
                const Item changed = withChange(std::get<Item>(*current), change);
                return commandEvent(board, {{changed, ""}}, true, statement.options, context);
            }
            if (const auto missing = missingSetting(statement.change); !missing.empty()) {
                return refused(RefusalReason::BadRequest, absl::StrCat(path, ": ", missing, " is missing"));
            }
            const ConfigurationItem item = withChange(Item{}, change);
            // If the statement has a command id and the same item exists, another host may have already carried out this command.
            const bool mayBeRetry = !statement.options.commandId.empty() && current == item;
            if (current && !isKnown && !mayBeRetry) {
                return refused(RefusalReason::BadRequest, path + " already exists; use change");
            }
            return commandEvent(board, {{item, ""}}, false, statement.options, context);
        },
        statement.change);
}

ExecutionOutcome executeCommand(const Blackboard &board, const RemoveStatement &statement, const StatementContext &context)
{
    const bool mayBeRetry = !statement.options.commandId.empty();
    if (!itemAt(board.configuration, statement.path) && !mayBeRetry) {
        return refused(RefusalReason::NotFound, statement.path + " does not exist");
    }
    return commandEvent(board, {{std::nullopt, statement.path}}, false, statement.options, context);
}

ExecutionOutcome executeCommand(const Blackboard &board, const DrainStatement &statement, const StatementContext &context)
{
    const ConfigurationItem item = statement.drain;
    const bool mayBeRetry = !statement.options.commandId.empty();
    if (!statement.isReturn) {
        return commandEvent(board, {{item, ""}}, false, statement.options, context);
    }
    if (!itemAt(board.configuration, itemPath(item)) && !mayBeRetry) {
        return refused(RefusalReason::NotFound, itemPath(item) + " does not exist: it is not drained");
    }
    return commandEvent(board, {{std::nullopt, itemPath(item)}}, false, statement.options, context);
}

ExecutionOutcome executeCommand(const Blackboard &board, const HoldStatement &statement, const StatementContext &context)
{
    if (const auto error = versionConflict(board, statement.options)) {
        return *error;
    }
    if (statement.options.isDryRun) {
        return StatementResult{{}, {absl::StrCat("dry run: would ", statement.isHeld ? "hold" : "release", " starts on host ", board.self.id.value)}, {}};
    }
    return Event{HoldRequest{context.call, context.account.id, statement.isHeld}};
}

ExecutionOutcome executeCommand(const Blackboard &board, const DeclareDeadStatement &statement, const StatementContext &context)
{
    const auto zone = board.configuration.availabilityZones.find(statement.availabilityZone);
    if (zone == board.configuration.availabilityZones.end()) {
        return refused(RefusalReason::NotFound, "availabilityZone/" + statement.availabilityZone.value + " does not exist");
    }
    AvailabilityZone dead = zone->second;
    dead.isOut = true;
    dead.isDeclaredDead = true;
    return commandEvent(board, {{dead, ""}}, true, statement.options, context);
}

ExecutionOutcome executeCommand(const Blackboard &board, const SubmitStatement &statement, const StatementContext &context)
{
    if (const auto error = versionConflict(board, statement.options)) {
        return *error;
    }
    JobSpecification specification = statement.specification;
    const auto &id = specification.id;
    if (!board.configuration.organisations.contains(id.organisation)) {
        return refused(RefusalReason::NotFound, "organisation " + id.organisation.value + " does not exist");
    }
    if (statement.deadlineIn) {
        specification.deadline = board.wallNow + *statement.deadlineIn;
    }
    const auto *known = board.jobs.find(id);
    if (known != nullptr && statement.deadlineIn) {
        // The job keeps the absolute deadline of its first submission, although a relative deadline gives a later time in a retry.
        specification.deadline = known->specification.deadline;
    }
    if (statement.options.isDryRun) {
        const std::string effect = known != nullptr ? " is already known; the answer would be its state" : " would be submitted";
        return StatementResult{{}, {absl::StrCat("dry run: job ", toString(id), effect)}, {}};
    }
    return Event{SubmitRequest{context.call, specification}};
}

ExecutionOutcome executeCommand(const Blackboard &board, const CancelStatement &statement, const StatementContext &context)
{
    if (const auto error = versionConflict(board, statement.options)) {
        return *error;
    }
    if (statement.options.isDryRun) {
        const auto *job = board.jobs.find(statement.job);
        if (job == nullptr) {
            return refused(RefusalReason::NotFound, "job " + toString(statement.job) + " does not exist");
        }
        const std::string effect = isTerminal(job->state) ? " has ended and would stay " : " would be cancelled; it is ";
        return StatementResult{{}, {absl::StrCat("dry run: job ", toString(statement.job), effect, std::string(name(job->state)))}, {}};
    }
    return Event{CancelRequest{context.call, statement.job}};
}

}
