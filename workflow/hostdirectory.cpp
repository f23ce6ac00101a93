#include "controllers.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// The records only serve to ask other hosts whether they are ready, so a record may outlive its host for a while. The lease is renewed three times within its
// duration.
constexpr Duration recordLease{15'000};
constexpr int renewalsPerLease = 3;

// Limit on the hosts that are asked before a caller is refused; one ready host is enough.
constexpr std::size_t maxReadinessChecks = 3;

void retryLater(WorkflowBoard &board)
{
    auto &directory = board.directory;
    directory.step = RecordStep::Absent;
    directory.nextCallAt = board.now + recordLease / renewalsPerLease;
}

void handleGrantReply(WorkflowBoard &board, const StoreReply &reply)
{
    auto &directory = board.directory;
    if (reply.outcome != StoreOutcome::Applied) {
        retryLater(board);
        return;
    }
    directory.lease = reply.lease;
    directory.step = RecordStep::Writing;
    const auto &self = board.self;
    const HostRecord record{self.id, self.availabilityZone, self.readinessAddress, self.callerAddress, self.incarnation, self.processorShare};
    directory.call = sendToStore(board, StoreTransaction{{StoreWrite{hostKey(board.self.id), record, std::nullopt, true}}}, directory.lease);
}

void handleRenewalReply(WorkflowBoard &board, const StoreReply &reply)
{
    auto &directory = board.directory;
    const bool isGone = reply.outcome == StoreOutcome::Applied && reply.leaseTimeToLive == Duration{0};
    if (isGone) {
        directory.step = RecordStep::Absent;
        directory.nextCallAt = board.now;
    } else {
        directory.nextCallAt = board.now + recordLease / renewalsPerLease;
    }
}

/// Writes this host's record to the store and renews its lease.
void maintainRecord(WorkflowBoard &board)
{
    auto &directory = board.directory;
    if (const auto *reply = findReply(board, directory.call)) {
        directory.call.reset();
        switch (directory.step) {
        case RecordStep::Granting:
            handleGrantReply(board, *reply);
            break;
        case RecordStep::Writing:
            directory.step = reply->outcome == StoreOutcome::Applied ? RecordStep::Present : RecordStep::Absent;
            directory.nextCallAt = board.now + recordLease / renewalsPerLease;
            break;
        case RecordStep::Present:
            handleRenewalReply(board, *reply);
            break;
        case RecordStep::Absent:
            break;
        }
    }
    if (directory.call || !board.view.isStoreReachable || board.isStopping) {
        return;
    }
    if (board.now < directory.nextCallAt) {
        subscribeNoLaterThan(board.timers, "hostRecord", directory.nextCallAt);
        return;
    }
    if (directory.step == RecordStep::Absent) {
        directory.step = RecordStep::Granting;
        directory.call = sendToStore(board, StoreLeaseGrant{recordLease});
    } else if (directory.step == RecordStep::Present) {
        directory.call = sendToStore(board, StoreLeaseKeepAlive{directory.lease});
    }
}

void applyRecordUpdates(WorkflowBoard &board)
{
    auto &hosts = board.directory.hosts;
    for (const auto &update : board.updates) {
        if (update.prefix != hostKey({}).path) {
            continue;
        }
        if (update.isSnapshot) {
            hosts.clear();
        }
        for (const auto &entry : update.put) {
            if (const auto *record = std::get_if<HostRecord>(&entry.record); record != nullptr && record->host != board.self.id) {
                hosts.insert_or_assign(record->host, *record);
                board.directory.largestProcessorShare = std::max(board.directory.largestProcessorShare, record->processorShare);
            }
        }
        std::ranges::for_each(update.deleted, [&](const StoreKey &key) { hosts.erase({lastPathSegment(key)}); });
    }
}

/// Maximum age of a round of readiness checks and of its answers. A host with timer lag reads the answers late, and would otherwise never have a recent one.
Duration readinessAge(const WorkflowBoard &board)
{
    return timeoutWithLag(board, board.self.limits.readinessAge);
}

bool isRoundRecent(const WorkflowBoard &board)
{
    return board.directory.checkedAt && board.now < nextReadinessRound(board);
}

void handleReadinessReplies(WorkflowBoard &board)
{
    auto &directory = board.directory;
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<ReadinessReply>(&event);
        if (reply == nullptr || directory.checks.erase(reply->id) == 0) {
            continue;
        }
        if (reply->isReady) {
            directory.lastReadyAt = board.now;
            ++directory.ready;
        }
    }
}

}

Duration readinessTimeout(const WorkflowBoard &board)
{
    return timeoutWithLag(board, board.self.limits.readinessTimeout);
}

bool areReadinessAnswersFresh(const WorkflowBoard &board)
{
    const auto &directory = board.directory;
    return isRoundRecent(board) && (directory.checks.empty() || (directory.lastReadyAt && *directory.lastReadyAt >= *directory.checkedAt));
}

bool isAnotherHostReady(const WorkflowBoard &board)
{
    const auto &directory = board.directory;
    return directory.lastReadyAt && board.now - *directory.lastReadyAt <= readinessAge(board);
}

bool areMostOtherHostsReady(const WorkflowBoard &board)
{
    const auto &directory = board.directory;
    return isRoundRecent(board) && directory.ready > 0 && 2 * directory.ready >= directory.asked;
}

TimePoint nextReadinessRound(const WorkflowBoard &board)
{
    const auto &checkedAt = board.directory.checkedAt;
    return checkedAt ? *checkedAt + readinessAge(board) + Duration{1} : board.now;
}

void askOtherHosts(WorkflowBoard &board)
{
    auto &directory = board.directory;
    if (isRoundRecent(board)) {
        return;
    }
    directory.checkedAt = board.now;
    directory.checks.clear();
    directory.ready = 0;
    std::vector<HostRecord> others;
    std::ranges::transform(directory.hosts, std::back_inserter(others), [](const auto &row) { return row.second; });
    // Hosts of other zones come first, because an outage that affects this host often affects its whole zone.
    std::ranges::stable_sort(others, {}, [&](const HostRecord &record) { return record.availabilityZone == board.self.availabilityZone; });
    if (others.size() > maxReadinessChecks) {
        const auto first = static_cast<std::size_t>(takeJitter(board, Duration{static_cast<Duration::rep>(others.size() - maxReadinessChecks)}).count());
        std::ranges::rotate(others, others.begin() + static_cast<std::ptrdiff_t>(first));
        others.resize(maxReadinessChecks);
    }
    for (const auto &record : others) {
        ReadinessCheck check{takeCallId(board), record.host, record.peerAddress, false, readinessTimeout(board)};
        directory.checks.insert(check.id);
        board.outbox.emplace_back(std::move(check));
    }
    directory.asked = others.size();
}

void followHosts(WorkflowBoard &board)
{
    applyRecordUpdates(board);
    handleReadinessReplies(board);
    maintainRecord(board);
}

}
