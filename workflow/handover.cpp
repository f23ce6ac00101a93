#include "controllers.h"
#include "ownershipchange.h"

#include <algorithm>
#include <string>
#include <vector>

namespace sequoiastand
{

namespace
{

// A new owner reads the domain first; hosts that come back within this time do not interrupt it.
constexpr Duration settledAfter{3'000};

// Between two rounds of questions to possible successors.
constexpr Duration checkPeriod{2'000};

// From a handover until the former owner claims the domain again if nobody else has.
constexpr Duration successorTime{800};

// A host with this many times the owner's processor share is worth the change of owner.
constexpr double strongerFactor = 1.5;

// Timers that fire this late on the average show that the owner lacks processor time, for instance because its machine has turned slow. Under a quota of a tenth
// of a second they are up to 100 ms late on a healthy host.
constexpr Duration tooLate{200};

// A domain that makes every owner late is not helped by another host that is no stronger; each change costs it the time of a take-over.
constexpr long maxRecentChanges = 2;

constexpr std::size_t askedSuccessors = 2;

/// Hosts that would own the domain better, the strongest first.
std::vector<HostRecord> betterHosts(const WorkflowBoard &board)
{
    const auto recent = std::ranges::count_if(board.ownership.recentOwnerChanges, [&](TimePoint at) { return board.now - at <= recentChangeWindow; });
    const bool isTooLate = board.lag.mean > tooLate && recent <= maxRecentChanges;
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

void askSuccessors(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    ownership.nextSuccessorCheckAt = board.now + checkPeriod;
    ownership.successorChecks.clear();
    auto better = betterHosts(board);
    if (better.size() > askedSuccessors) {
        better.resize(askedSuccessors);
    }
    for (const auto &record : better) {
        ReadinessCheck check{takeCallId(board), record.host, record.peerAddress, timeoutWithLag(board, board.self.limits.readinessTimeout)};
        ownership.successorChecks.emplace(check.id, record.host);
        board.outbox.emplace_back(std::move(check));
    }
}

/// The host that has answered that it is ready.
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
    if (ownership.step != OwnershipStep::Owner || board.isStopping || board.now < ownership.ownedSince + settledAfter) {
        return;
    }
    if (const auto successor = readySuccessor(board)) {
        ownership.noClaimBefore = board.now + successorTime;
        releaseDomain(board,
                      successor->value + " is ready and can serve it better: this host has " + std::to_string(board.self.processorShare)
                          + " of a core and its timers are " + std::to_string(std::chrono::duration_cast<Duration>(board.lag.mean).count()) + " ms late");
        return;
    }
    if (board.now >= ownership.nextSuccessorCheckAt) {
        askSuccessors(board);
    }
    subscribeNoLaterThan(board.timers, "handover", ownership.nextSuccessorCheckAt);
}

}
