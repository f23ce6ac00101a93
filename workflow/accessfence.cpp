#include "accessfence.h"

#include "callerwrites.h"
#include "controllers.h"

#include <algorithm>
#include <string>
#include <vector>

namespace sequoiastand
{

namespace
{

void learn(AccessFenceView &view, Revision revision, const AccessFence &fence)
{
    if (revision > view.revision) {
        view.revision = revision;
        view.fence = fence;
    }
}

/// Returns false if the entries contain no fence.
bool learn(AccessFenceView &view, const std::vector<StoreEntry> &entries)
{
    const auto entry = std::ranges::find(entries, accessFenceKey(), &StoreEntry::key);
    const auto *fence = entry == entries.end() ? nullptr : std::get_if<AccessFence>(&entry->record);
    if (fence != nullptr) {
        learn(view, entry->revision, *fence);
    }
    return fence != nullptr;
}

void forget(AccessFenceView &view)
{
    view.revision = 0;
    view.fence = {};
}

void applyUpdate(AccessFenceView &view, const MirrorUpdate &update)
{
    const bool isDeleted = std::ranges::find(update.deleted, accessFenceKey()) != update.deleted.end();
    if (!learn(view, update.put) && (update.isSnapshot || isDeleted) && update.revision > view.revision) {
        forget(view);
    }
}

/// True if the call is a write for a caller that was conditional on the fence.
bool isFencedWrite(const WorkflowBoard &board, const CallId &call)
{
    return std::ranges::any_of(board.calls.rows(), [&](const auto &row) { return row.second.call == call && row.second.isFenced && isWriting(row.second); });
}

/// Learns the present fence from the conflicts of writes, which are faster than a watch that lags.
void readConflicts(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<StoreReply>(&event);
        if (reply == nullptr || reply->outcome != StoreOutcome::Conflict) {
            continue;
        }
        if (!learn(board.accessFence, reply->entries) && isFencedWrite(board, reply->id)) {
            forget(board.accessFence); // The key has been removed, or cannot be decoded.
        }
    }
}

void handleWriteReply(WorkflowBoard &board)
{
    auto &view = board.accessFence;
    const auto *reply = findReply(board, view.write);
    if (reply == nullptr) {
        return;
    }
    view.write.reset();
    if (reply->outcome == StoreOutcome::Applied) {
        learn(view, reply->revision, view.written);
        return;
    }
    // If this copy took effect, the next one conflicts and brings the record. A conflict that does not bring it shows a record that cannot be decoded.
    const bool isUnreadable = reply->outcome == StoreOutcome::Conflict && view.revision == 0;
    view.retryAt = board.now + (isUnreadable ? board.self.limits.proofPeriod : board.self.limits.storeRetry);
}

bool isWithdrawalUnfenced(const WorkflowBoard &board)
{
    return board.accessFence.fence.configuration < board.view.withdrawalRevision;
}

void replaceFence(WorkflowBoard &board)
{
    auto &view = board.accessFence;
    if (view.write || !hasAuthority(board) || !isWithdrawalUnfenced(board)) {
        return;
    }
    if (board.now < view.retryAt) {
        subscribeNoLaterThan(board.timers, "accessFence", view.retryAt);
        return;
    }
    view.written = {board.view.withdrawalRevision};
    view.write = sendToStore(board, StoreTransaction{{StoreWrite{accessFenceKey(), view.written, view.revision, false}}, {}});
    logDecision(board, "fenceAccess", "", "", "replaces the access fence for the configuration at revision " + std::to_string(view.written.configuration));
}

}

void followAccessFence(WorkflowBoard &board)
{
    for (const auto &update : board.updates) {
        if (update.prefix == domainOwnerKey().path) {
            applyUpdate(board.accessFence, update);
        }
    }
    readConflicts(board);
    handleWriteReply(board);
    replaceFence(board);
}

std::optional<StoreCondition> accessFenceCondition(const WorkflowBoard &board)
{
    const auto revision = board.accessFence.revision;
    return revision == 0 || isFencedOut(board) ? std::nullopt : std::optional(StoreCondition{accessFenceKey(), revision});
}

bool isFencedOut(const WorkflowBoard &board)
{
    return board.accessFence.fence.configuration > board.view.revision;
}

}
