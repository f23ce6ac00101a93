#include "controllers.h"
#include "ownerduties.h"
#include "ownershipchange.h"
#include "targetlease.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// A new owner does not hand the domain over for this time, so that it is not interrupted while it loads the domain if other hosts return in the meantime.
constexpr Duration minOwnershipTime{3'000};

// Time between two rounds of readiness checks of possible successors. An owner that lacks processor time does hardly any work, so it asks more often.
constexpr Duration checkPeriod{2'000};
constexpr Duration urgentCheckPeriod{400};

// Time after a handover in which the former owner does not claim the domain.
constexpr Duration noClaimTime{800};

// The same for an owner that has failed at a duty. What has failed may not show in the proofs that a claim needs.
constexpr Duration noClaimTimeOfFailedOwner{10'000};

// Time for which an owner that has failed at a duty is not offered the domain again, though it may be the strongest host.
constexpr Duration unfitTime{30'000};

// A change of owner pays off if the successor has at least this many times the owner's processor share.
constexpr double strongerFactor = 1.5;

// Mean timer lag above which the owner lacks processor time, for instance because its machine has become slow. On a healthy host with a processor quota period
// of a tenth of a second, timers are up to 100 ms late.
constexpr Duration maxHealthyLag{200};

// Limit on recent changes of owner for a handover to a host that is no stronger. If the load of the domain makes timers late on every owner, such a handover
// does not help, and each change costs the time of a takeover.
constexpr long maxRecentChanges = 2;

// Hosts that are asked in one round. What makes the owner slow often affects a part of the other hosts too, so an owner that lacks processor time asks several.
constexpr std::size_t maxSuccessorChecks = 2;
constexpr std::size_t maxUrgentSuccessorChecks = 5;

// Limit on unanswered checks that are remembered. A slow owner reads the answers to a round after it has begun the next ones.
constexpr std::size_t maxOpenChecks = 20;

/// True if few enough changes of owner are recent that another one is likely to help.
bool areChangesRare(const WorkflowBoard &board)
{
    const auto recent = std::ranges::count_if(board.ownership.recentOwnerChanges, [&](TimePoint at) { return board.now - at <= recentChangeWindow; });
    return recent <= maxRecentChanges;
}

/// True if this host lacks processor time and a change of owner is likely to help.
bool lacksProcessorTime(const WorkflowBoard &board)
{
    return board.lag.mean > maxHealthyLag && areChangesRare(board);
}

/// True if this host fails at a duty of the owner. A successor is asked whether its transactions, reads and watches are answered, so an outage that all hosts
/// share leaves the domain where it is. A batch may be refused for its content, which no answer rules out, so such changes have to be rare.
bool failsAtDuty(const WorkflowBoard &board)
{
    const auto duty = stalledDuty(board);
    return duty && (*duty != OwnerDuty::CommitProgress || areChangesRare(board));
}

/// True if the owner waits for runs of a former owner to lapse on targets that have not answered it. A successor would wait anew, because it does not know
/// which leases this owner has extended and takes each of them to have been extended until its own ownership began.
bool awaitsLapses(const WorkflowBoard &board)
{
    const bool isOver = board.now >= board.ownership.ownedSince + maxFormerOwnerLease(board.self.limits);
    return !isOver && std::ranges::any_of(board.runs.usedTargets(), [&](const auto &row) {
        const auto *target = board.targets.find(row.first);
        return target != nullptr && !target->hasAnsweredOwner && board.now < latestLapseAt(*target);
    });
}

/// Hosts that are better suited to own the domain, the one with the most processor time first. Any other host is, if this one fails at a duty.
std::vector<HostRecord> betterHosts(const WorkflowBoard &board)
{
    const bool acceptsAnyHost = failsAtDuty(board);
    const double wanted = acceptsAnyHost ? 0 : board.self.processorShare * (lacksProcessorTime(board) ? 1 : strongerFactor);
    std::vector<HostRecord> better;
    for (const auto &[id, record] : board.directory.hosts) {
        if ((acceptsAnyHost || record.processorShare > 0) && record.processorShare >= wanted) {
            better.push_back(record);
        }
    }
    std::ranges::stable_sort(better, std::greater{}, &HostRecord::processorShare);
    return better;
}

/// Puts the hosts with equal processor time into random order, so that hosts that do not answer are not asked in every round.
std::vector<HostRecord> inRandomOrderOfEquals(WorkflowBoard &board, std::vector<HostRecord> hosts)
{
    constexpr Duration drawRange{1'000'000};
    std::vector<std::pair<Duration, HostRecord>> drawn;
    std::ranges::transform(hosts, std::back_inserter(drawn), [&](HostRecord &record) { return std::pair(takeJitter(board, drawRange), std::move(record)); });
    std::ranges::stable_sort(drawn, {}, [](const auto &row) { return std::pair(-row.second.processorShare, row.first); });
    hosts.clear();
    std::ranges::transform(drawn, std::back_inserter(hosts), [](auto &row) { return std::move(row.second); });
    return hosts;
}

void checkSuccessors(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    const bool isUrgent = lacksProcessorTime(board) || failsAtDuty(board);
    ownership.nextSuccessorCheckAt = board.now + (isUrgent ? urgentCheckPeriod : checkPeriod);
    if (ownership.successorChecks.size() >= maxOpenChecks) {
        ownership.successorChecks.clear();
    }
    auto better = betterHosts(board);
    if (failsAtDuty(board)) {
        // What makes this host fail may affect the strongest hosts as well, so any of them may be asked.
        std::ranges::for_each(better, [](HostRecord &record) { record.processorShare = 0; });
    }
    better = inRandomOrderOfEquals(board, std::move(better));
    better.resize(std::min(better.size(), isUrgent ? maxUrgentSuccessorChecks : maxSuccessorChecks));
    for (const auto &record : better) {
        ReadinessCheck check{takeCallId(board), record.host, record.peerAddress, true, readinessTimeout(board)};
        ownership.successorChecks.emplace(check.id, record.host);
        board.outbox.emplace_back(std::move(check));
    }
}

/// True if the host is weaker than this one, which rules it out unless this host fails at a duty.
bool isWeaker(const WorkflowBoard &board, const HostId &host)
{
    const auto record = board.directory.hosts.find(host);
    return record != board.directory.hosts.end() && record->second.processorShare < board.self.processorShare;
}

/// The first host of the current round whose answer says that it is ready.
std::optional<HostId> readySuccessor(WorkflowBoard &board)
{
    const bool acceptsAnyHost = failsAtDuty(board);
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<ReadinessReply>(&event);
        const auto asked = reply == nullptr ? board.ownership.successorChecks.end() : board.ownership.successorChecks.find(reply->id);
        if (asked != board.ownership.successorChecks.end() && reply->isReady && (acceptsAnyHost || !isWeaker(board, asked->second))) {
            return asked->second;
        }
    }
    return std::nullopt;
}

}

void handOver(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    if (!hasAuthority(board) || board.now < ownership.ownedSince + minOwnershipTime) {
        return;
    }
    const bool isUrgent = lacksProcessorTime(board) || failsAtDuty(board);
    if (!isUrgent && awaitsLapses(board)) {
        // After the wait, the owner needs this time to store where the tasks run next.
        ownership.successorChecks.clear();
        ownership.nextSuccessorCheckAt = board.now + checkPeriod;
        subscribeNoLaterThan(board.timers, "handover", ownership.nextSuccessorCheckAt);
        return;
    }
    if (const auto successor = readySuccessor(board)) {
        const bool fails = failsAtDuty(board);
        const auto reason =
            successor->value
            + (fails ? " is ready, and this host fails at its duties: " + describeOverdue(board)
                     : " is ready and better suited: this host has " + std::to_string(board.self.processorShare) + " of a core and its timers are "
                           + std::to_string(std::chrono::duration_cast<Duration>(board.lag.mean).count()) + " ms late");
        releaseDomain(board, reason);
        ownership.noClaimBefore = board.now + (fails ? noClaimTimeOfFailedOwner : noClaimTime);
        ownership.unfitUntil = fails ? board.now + unfitTime : ownership.unfitUntil;
        return;
    }
    if (isUrgent) {
        ownership.nextSuccessorCheckAt = std::min(ownership.nextSuccessorCheckAt, board.now + urgentCheckPeriod);
    }
    if (board.now >= ownership.nextSuccessorCheckAt) {
        checkSuccessors(board);
    }
    subscribeNoLaterThan(board.timers, "handover", ownership.nextSuccessorCheckAt);
}

}
