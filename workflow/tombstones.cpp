#include "tombstones.h"

#include <algorithm>

namespace sequoiastand
{

void followTombstoneLease(WorkflowBoard &board)
{
    auto &writer = board.tombstones;
    const auto *reply = findReply(board, writer.grant);
    if (reply == nullptr) {
        return;
    }
    writer.grant.reset();
    if (reply->outcome == StoreOutcome::Applied) {
        writer.lease = reply->lease;
        // The lease runs from the arrival of the call, so its second half begins no earlier than this.
        writer.useUntil = writer.grantSentAt + reply->leaseTimeToLive / 2;
    }
}

void requestTombstoneLease(WorkflowBoard &board)
{
    auto &writer = board.tombstones;
    if (writer.grant || hasTombstoneLease(board)) {
        return;
    }
    writer.grant = sendToStore(board, StoreLeaseGrant{std::max(board.self.limits.tombstoneLease, board.self.limits.minStoreLease)});
    writer.grantSentAt = board.now;
}

bool hasTombstoneLease(const WorkflowBoard &board)
{
    return board.tombstones.lease != 0 && board.now < board.tombstones.useUntil;
}

void dropTombstoneLease(WorkflowBoard &board)
{
    board.tombstones.lease = 0;
}

Duration takeTombstone(WorkflowBoard &board)
{
    const auto &limits = board.self.limits;
    auto &writer = board.tombstones;
    const auto earliest = writer.nextAt - limits.maxTombstoneBurst * limits.tombstonePeriod;
    if (board.now < earliest) {
        return earliest - board.now;
    }
    writer.nextAt = std::max(writer.nextAt, board.now) + limits.tombstonePeriod;
    return Duration{0};
}

StoreKey tombstoneKey(const RoutedCall &routed)
{
    return workflowTombstoneKey({routed.rest}, routed.queue->isAnonymous ? OrganisationId{} : routed.organisation, routed.queue->id);
}

StoreTransaction tombstoneTransaction(const WorkflowBoard &board, const RoutedCall &routed)
{
    const RequestId id{routed.rest};
    StoreTransaction transaction;
    transaction.conditions = {{workflowKey(id), 0}, {workflowProgressKey(id), 0}};
    transaction.writes.push_back({tombstoneKey(routed), WorkflowTombstone{board.wallNow}, std::nullopt, true});
    return transaction;
}

}
