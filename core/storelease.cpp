#include "storelease.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

/// Number of renewal attempts within the lifetime of a lease.
constexpr int renewalsPerLease = 3;

HostRecord ownRecord(const HostSettings &self)
{
    return {self.id, self.availabilityZone, self.peerAddress, self.httpAddress, self.incarnation};
}

bool isStopComplete(const Blackboard &board)
{
    const auto &session = board.store;
    return board.isStopping && board.epoch == 0 && board.calls.isEmpty() && session.writes.empty() && session.transactions.empty() && !session.batch;
}

}

void maintainStoreLease(Blackboard &board)
{
    auto &session = board.store;
    if (session.leaseCall) {
        return;
    }
    if (isStopComplete(board)) {
        if (session.lease != 0) {
            sendStoreCall(board, StoreLeaseRevoke{session.lease});
            session.lease = 0;
        }
        return;
    }
    const auto timeToLive = board.self.limits.storeLease;
    if (session.lease == 0) {
        session.leaseCall = sendStoreCall(board, StoreLeaseGrant{timeToLive}).id;
    } else if (board.now >= *session.leaseRenewedAt + timeToLive / renewalsPerLease) {
        session.leaseCall = sendStoreCall(board, StoreLeaseKeepAlive{session.lease}).id;
    }
    if (session.leaseCall) {
        session.leaseCallSince = board.now;
    }
}

void applyStoreLeaseReply(Blackboard &board, const StoreAnswer &answer)
{
    auto &session = board.store;
    if (!session.leaseCall || *session.leaseCall != answer.reply.id) {
        return;
    }
    session.leaseCall.reset();
    const auto &reply = answer.reply;
    if (reply.outcome != StoreOutcome::Applied) {
        return;
    }
    if (session.lease == 0 && reply.lease != 0) {
        session.lease = reply.lease;
        session.leaseRenewedAt = session.leaseCallSince;
        count(board.counters, "storeLease", "granted");
    } else if (reply.leaseTimeToLive <= Duration{0}) {
        session.lease = 0;
        session.hostRecordLease = 0;
        count(board.counters, "storeLease", "expired");
        board.log.push_back({"syncStore", "store", "", "the host's store lease expired; a new one is requested", true});
        maintainStoreLease(board);
    } else {
        session.leaseRenewedAt = session.leaseCallSince;
    }
}

void checkHostRecord(Blackboard &board)
{
    auto &session = board.store;
    const StoreKey key = hostKey(board.self.id);
    const auto isDeleted = [&key](const StoreWatchEvent &event) { return std::ranges::find(event.deleted, key) != event.deleted.end(); };
    const auto isMissing = [&](const StoreReply &reply) {
        return session.fullRead == reply.id && std::ranges::find(reply.entries, key, &StoreEntry::key) == reply.entries.end();
    };
    if (std::ranges::any_of(eventsOf<StoreWatchEvent>(board), isDeleted) || std::ranges::any_of(eventsOf<StoreReply>(board), isMissing)) {
        session.hostRecordLease = 0;
    }
}

void maintainHostRecord(Blackboard &board)
{
    auto &session = board.store;
    if (session.lease == 0 || session.hostRecordLease == session.lease || board.isStopping) {
        return;
    }
    // After a pause of this host, its record under the old lease may still exist until that lease expires. The write therefore does not require that the
    // key is absent.
    requestWrite(session, StoreWrite{hostKey(board.self.id), ownRecord(board.self), std::nullopt, true}, "hostRecord");
    session.hostRecordLease = session.lease;
}

}
