#include "controllers.h"
#include "ownershipchange.h"

#include <algorithm>
#include <string>
#include <vector>

namespace sequoiastand
{

namespace
{

// A new owner does not hand the domain over for this time, so that it is not interrupted while it loads the domain if other hosts return in the meantime.
constexpr Duration minOwnershipTime{3'000};

// Time between two rounds of readiness checks of possible successors.
constexpr Duration checkPeriod{2'000};

// Time after a handover in which the former owner does not claim the domain.
constexpr Duration noClaimTime{800};

// A change of owner pays off if the successor has at least this many times the owner's processor share.
constexpr double strongerFactor = 1.5;

// Mean timer lag above which the owner lacks processor time, for instance because its machine has become slow. On a healthy host with a processor quota period
// of a tenth of a second, timers are up to 100 ms late.
constexpr Duration maxHealthyLag{200};

// Limit on recent changes of owner for a handover to a host that is no stronger. If the load of the domain makes timers late on every owner, such a handover
// does not help, and each change costs the time of a takeover.
constexpr long maxRecentChanges = 2;

constexpr std::size_t maxSuccessorChecks = 2;

/// Hosts that are better suited to own the domain, the one with the most processor time first.
std::vector<HostRecord> betterHosts(const WorkflowBoard &board)
{
    const auto recent = std::ranges::count_if(board.ownership.recentOwnerChanges, [&](TimePoint at) { return board.now - at <= recentChangeWindow; });
    const bool isTooLate = board.lag.mean > maxHealthyLag && recent <= maxRecentChanges;
    const double wanted = board.self.processorShare * (isTooLate ? 1 : strongerFactor);
    std::vector<HostRecord> better;
    for (const auto &[id, record] : board.directory.hosts) {
        if (record.processorShare > 0 && record.processorShare >= wanted) {
            better.push_back(record);
        }
    }
    std::ranges::stable_sort(better, std::greater{}, &HostRecord::processorShare);
    return better;
}

void checkSuccessors(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    ownership.nextSuccessorCheckAt = board.now + checkPeriod;
    ownership.successorChecks.clear();
    auto better = betterHosts(board);
    if (better.size() > maxSuccessorChecks) {
        better.resize(maxSuccessorChecks);
    }
    for (const auto &record : better) {
        ReadinessCheck check{takeCallId(board), record.host, record.peerAddress, timeoutWithLag(board, board.self.limits.readinessTimeout)};
        ownership.successorChecks.emplace(check.id, record.host);
        board.outbox.emplace_back(std::move(check));
    }
}

/// The first host of the current round whose answer says that it is ready.
std::optional<HostId> readySuccessor(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<ReadinessReply>(&event);
        const auto asked = reply == nullptr ? board.ownership.successorChecks.end() : board.ownership.successorChecks.find(reply->id);
        if (asked != board.ownership.successorChecks.end() && reply->isReady) {
            return asked->second;
        }
    }
    return std::nullopt;
}

}

void handOver(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    if (ownership.step != OwnershipStep::Owner || board.isStopping || board.now < ownership.ownedSince + minOwnershipTime) {
        return;
    }
    if (const auto successor = readySuccessor(board)) {
        ownership.noClaimBefore = board.now + noClaimTime;
        releaseDomain(board,
                      successor->value + " is ready and better suited: this host has " + std::to_string(board.self.processorShare)
                          + " of a core and its timers are " + std::to_string(std::chrono::duration_cast<Duration>(board.lag.mean).count()) + " ms late");
        return;
    }
    if (board.now >= ownership.nextSuccessorCheckAt) {
        checkSuccessors(board);
    }
    subscribeNoLaterThan(board.timers, "handover", ownership.nextSuccessorCheckAt);
}

}
