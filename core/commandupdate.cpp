#include "commandanswers.h"
#include "configurationcheck.h"
#include "configurationrestore.h"
#include "controllers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace sequoiastand
{

namespace
{

/// Time after which a command that the store has not confirmed is withdrawn, or reported as unknown if it may have been applied.
constexpr Duration storeTimeout{5'000};
constexpr std::size_t maxRecentChanges = 200;
constexpr Duration conflictRetryDelay{100};
constexpr Duration outageRetryDelay{1'000};

void recordChanges(Blackboard &board, const std::vector<StoreEntry> &entries)
{
    for (const auto &entry : entries) {
        if (const auto *change = std::get_if<ConfigurationChange>(&entry.record)) {
            board.recentChanges.insert_or_assign(change->version, *change);
        }
    }
    while (board.recentChanges.size() > maxRecentChanges) {
        board.recentChanges.erase(board.recentChanges.begin());
    }
}

std::optional<Refusal> immediateRefusal(const Blackboard &board, const CommandRequest &request)
{
    if (board.isStopping) {
        return Refusal{RefusalReason::ShuttingDown, RequestEffect::NotRun, outageRetryDelay, "this host is stopping; send the command to another host"};
    }
    if (request.expectedVersion && *request.expectedVersion < board.configuration.version) {
        return versionConflict(board, *request.expectedVersion);
    }
    return std::nullopt;
}

void answerDryRun(Blackboard &board, const CommandRequest &request)
{
    if (const auto refusal = validateEdits(board.configuration, request.edits, board.targets)) {
        refuseCaller(board, request.id, *refusal);
        return;
    }
    if (request.expectedVersion && *request.expectedVersion != board.configuration.version) {
        refuseCaller(board, request.id, versionConflict(board, *request.expectedVersion));
        return;
    }
    CallerReply reply;
    reply.id = request.id;
    reply.text = absl::StrCat("dry run: would change ", request.edits.size(), " items and make version ", board.configuration.version + 1);
    board.outbox.emplace_back(std::move(reply));
}

bool isSameCommand(CommandRequest left, const CommandRequest &right)
{
    left.id = right.id;
    left.wait = right.wait;
    return left == right;
}

void receiveRequest(Blackboard &board, const CommandRequest &request)
{
    const CommandWaiter waiter{request.id, board.now + request.wait, board.now + std::max(storeTimeout, request.wait)};
    subscribeNoLaterThan(board.timers, "commands", waiter.storeDeadline);
    if (const auto *known = board.commands.find(request.command)) {
        if (!isSameCommand(known->request, request)) {
            refuseCaller(board, request.id, {RefusalReason::RequestIdReused, RequestEffect::NotRun, Duration{0}, "the command id was used for another change"});
            return;
        }
        CommandProgress progress = *known;
        progress.waiters.push_back(waiter);
        board.commands.put(request.command, std::move(progress));
        return;
    }
    if (const auto refusal = immediateRefusal(board, request)) {
        refuseCaller(board, request.id, *refusal);
        return;
    }
    if (request.isDryRun) {
        answerDryRun(board, request);
        return;
    }
    CommandProgress progress;
    progress.request = request;
    progress.receivedAt = board.now;
    progress.waiters.push_back(waiter);
    board.commands.put(request.command, std::move(progress));
}

void removeAbandonedWaiters(Blackboard &board)
{
    for (const auto &abandoned : eventsOf<CallAbandoned>(board)) {
        const auto rows = board.commands.rows();
        for (const auto &[id, known] : rows) {
            CommandProgress progress = known;
            std::erase_if(progress.waiters, [&abandoned](const CommandWaiter &waiter) { return waiter.id == abandoned.id; });
            board.commands.put(id, std::move(progress));
        }
    }
}

CommandProgress accepted(const Blackboard &board, CommandProgress progress, long long version)
{
    progress.step = CommandStep::Confirming;
    progress.version = version;
    progress.acceptedAt = board.now;
    progress.inForceAt = latestInForceTime(board, progress);
    return progress;
}

const ConfigurationChange *changeOfCommand(const std::vector<StoreEntry> &entries, const CommandId &id)
{
    const auto found = std::ranges::find(entries, configurationCommandKey(id), &StoreEntry::key);
    return found == entries.end() ? nullptr : std::get_if<ConfigurationChange>(&found->record);
}

/// Handles a write that the store refused. If the store already holds the command, an earlier transmission of it was applied; any other conflict is
/// another operator's change.
void resolveConflict(Blackboard &board, const CommandProgress &progress, const TransactionResult &result)
{
    recordChanges(board, result.present);
    if (const auto *earlier = changeOfCommand(result.present, progress.request.command)) {
        board.commands.put(progress.request.command, accepted(board, progress, earlier->version));
        return;
    }
    Refusal refusal = versionConflict(board, progress.version - 1);
    refusal.retryAfter = progress.request.expectedVersion ? Duration{0} : conflictRetryDelay;
    refuseCommand(board, progress.request.command, refusal);
}

void applyResults(Blackboard &board)
{
    const auto rows = board.commands.rows();
    for (const auto &result : board.store.transactionResults) {
        const auto row = std::ranges::find_if(rows, [&result](const auto &candidate) { return configurationCommandKey(candidate.first) == result.firstKey; });
        if (row == rows.end() || row->second.step != CommandStep::Writing) {
            continue;
        }
        if (result.outcome == WriteOutcome::Applied) {
            board.commands.put(row->first, accepted(board, row->second, row->second.version));
        } else {
            resolveConflict(board, row->second, result);
        }
    }
}

/// Writes of the command's transaction. The command's key comes first, because the first key identifies the result of the transaction. The write
/// of this key fails if the store already holds the command, so a repeated command is not applied twice.
std::vector<StoreWrite> transactionOf(const Blackboard &board, const CommandRequest &request, long long version)
{
    const ConfigurationChange change{version, request.operatorId, request.command, board.wallNow, request.statement};
    std::vector<StoreWrite> writes{
        StoreWrite{configurationCommandKey(request.command), change, 0},
        StoreWrite{configurationVersionKey(), ConfigurationVersion{version, request.operatorId, request.command}, board.store.storedVersionRevision},
        StoreWrite{configurationHistoryKey(version), change, 0},
    };
    std::map<StoreKey, StoreWrite> items;
    for (const auto &edit : request.edits) {
        const StoreKey key = configurationItemKey(edit.item ? itemPath(*edit.item) : edit.removedPath);
        items.insert_or_assign(key, StoreWrite{key, edit.item ? std::optional<StoreRecord>(*edit.item) : std::nullopt, std::nullopt});
    }
    std::ranges::transform(items, std::back_inserter(writes), [](const auto &row) { return row.second; });
    return writes;
}

void writeCommand(Blackboard &board, const CommandProgress &queued)
{
    const auto &request = queued.request;
    if (request.expectedVersion && *request.expectedVersion != board.configuration.version) {
        refuseCommand(board, request.command, versionConflict(board, *request.expectedVersion));
        return;
    }
    if (const auto refusal = validateEdits(board.configuration, request.edits, board.targets)) {
        refuseCommand(board, request.command, *refusal);
        return;
    }
    CommandProgress progress = queued;
    progress.step = CommandStep::Writing;
    progress.version = board.configuration.version + 1;
    requestTransaction(board.store, transactionOf(board, request, progress.version), "command");
    board.commands.put(request.command, std::move(progress));
}

/// Writes one command of this host at a time, and only if this host has applied the version that the store holds.
void writeNext(Blackboard &board)
{
    const auto isWriting = [](const auto &row) { return row.second.step == CommandStep::Writing; };
    const bool isCurrent = board.store.isLoaded && board.store.storedVersion == board.configuration.version;
    if (!isCurrent || std::ranges::any_of(board.commands.rows(), isWriting)) {
        return;
    }
    std::optional<CommandProgress> oldest;
    for (const auto &[id, progress] : board.commands.rows()) {
        if (progress.step == CommandStep::Queued && (!oldest || progress.receivedAt < oldest->receivedAt)) {
            oldest = progress;
        }
    }
    if (oldest) {
        writeCommand(board, *oldest);
    }
}

/// Answers commands that the store does not confirm in time. Only a command that has certainly not been applied is answered with NotRun.
void expireCommands(Blackboard &board)
{
    const auto isOverdue = [&board](const CommandWaiter &waiter) { return board.now >= waiter.storeDeadline; };
    const auto rows = board.commands.rows();
    for (const auto &[id, progress] : rows) {
        const bool isQueued = progress.step == CommandStep::Queued;
        if (!isQueued && progress.step != CommandStep::Writing) {
            continue;
        }
        const bool isWanted = board.now < progress.receivedAt + storeTimeout || !std::ranges::all_of(progress.waiters, isOverdue);
        if (!isWanted && (isQueued || withdrawTransaction(board.store, configurationCommandKey(id)))) {
            refuseCommand(board, id, {RefusalReason::StoreUnavailable, RequestEffect::NotRun, outageRetryDelay, "the store does not accept the change"});
            continue;
        }
        CommandProgress waiting = progress;
        std::erase_if(waiting.waiters, [&](const CommandWaiter &waiter) {
            const bool isAnswered = isOverdue(waiter);
            if (isAnswered) {
                refuseCaller(
                    board,
                    waiter.id,
                    {RefusalReason::Timeout, RequestEffect::Unknown, outageRetryDelay, "the store has not answered; send the command again with the same id"});
            }
            return isAnswered;
        });
        for (const auto &waiter : waiting.waiters) {
            subscribeNoLaterThan(board.timers, "commands", waiter.storeDeadline);
        }
        board.commands.put(id, std::move(waiting));
    }
}

}

void updateCommands(Blackboard &board)
{
    for (const auto &event : eventsOf<StoreWatchEvent>(board)) {
        recordChanges(board, event.put);
    }
    restoreConfiguration(board);
    for (const auto &request : eventsOf<CommandRequest>(board)) {
        receiveRequest(board, request);
    }
    removeAbandonedWaiters(board);
    applyResults(board);
    writeNext(board);
    expireCommands(board);
    confirmCommands(board);
}

}
