#include "leaserounds.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Delay between the timeout of a call and its replacement by a new call, so that the front end can report the timeout first.
constexpr Duration callReplacementDelay{500};
constexpr Duration maxRetryDelay{1'000};
constexpr std::size_t maxAcknowledgementsPerCall = 64;

TargetLease withoutCall(TargetLease lease)
{
    lease.callInFlight.reset();
    return lease;
}

TargetLease withGrant(TargetLease lease, Duration duration)
{
    lease.state = LeaseState::Held;
    lease.expiry = lease.callSentAt + duration;
    lease.needsImmediateReport = false;
    lease.reportedHolder = HostId{};
    return lease;
}

/// Stores the epoch that the target reported in the refused lease, so that the owner can exceed it.
TargetLease withRefusal(TargetLease lease, const TargetReply &reply, const HostId &self, TimePoint now, Duration round)
{
    lease.lapsedAt = lease.state == LeaseState::Held ? now : lease.lapsedAt;
    lease.state = LeaseState::Refused;
    lease.retryAt = now + round;
    if (reply.report) {
        lease.reportedHolder = reply.report->holder;
        lease.epoch = reply.report->epoch;
        // If another host holds the lease, a retry cannot succeed before that lease ends. After other refusals, a retry in the next round may succeed.
        lease.retryAt = now + (reply.report->holder == self ? round : std::max(round, reply.report->leaseRemaining));
    }
    return lease;
}

void applyLeaseReply(Blackboard &board, const TargetReply &reply)
{
    const TargetLease *current = board.leases.find(reply.target);
    if (current == nullptr || current->callInFlight != reply.id) {
        return;
    }
    TargetLease lease = withoutCall(*current);
    if (reply.report) {
        board.highestEpochSeen = std::max(board.highestEpochSeen, reply.report->epoch);
    }
    if (lease.state == LeaseState::Releasing) {
        if (reply.outcome == TargetOutcome::Accepted || reply.outcome == TargetOutcome::Refused) {
            board.leases.erase(reply.target);
            return;
        }
        lease.retryAt = board.now + board.self.limits.leaseRound;
    } else if (reply.outcome == TargetOutcome::Accepted) {
        lease = withGrant(std::move(lease), board.self.limits.targetLease);
    } else if (reply.outcome == TargetOutcome::Refused) {
        lease = withRefusal(std::move(lease), reply, board.self.id, board.now, board.self.limits.leaseRound);
        count(board.counters, "leaseRefusals", board.self.availabilityZone.value);
    } else {
        lease.needsImmediateReport = true;
        lease.retryAt = board.now + takeJitter(board, maxRetryDelay);
        count(board.counters, "leaseRetries", reply.outcome == TargetOutcome::NotSent ? "notSent" : "answerLost");
    }
    board.leases.put(reply.target, std::move(lease));
}

/// Marks expired leases for acquisition and drops calls past their deadline.
void expireLeases(Blackboard &board)
{
    std::vector<TargetLease> changed;
    for (const auto &[id, lease] : board.leases.rows()) {
        const bool isLapsed = lease.state == LeaseState::Held && board.now >= lease.expiry;
        const bool isOverdue = lease.callInFlight && board.now >= lease.callDeadline;
        if (!isLapsed && !isOverdue) {
            continue;
        }
        TargetLease updated = lease;
        if (isLapsed) {
            updated.state = LeaseState::Acquiring;
            updated.lapsedAt = board.now;
            count(board.counters, "leasesLapsed", board.self.availabilityZone.value);
        }
        if (isOverdue) {
            updated.callInFlight.reset();
            updated.needsImmediateReport = true;
            count(board.counters, "leaseRetries", "silent");
        }
        changed.push_back(std::move(updated));
    }
    for (TargetLease &lease : changed) {
        const TargetId id = lease.target;
        board.leases.put(id, std::move(lease));
    }
}

/// Adds a lease row for each target of the zone that has none yet.
void addMissingLeases(Blackboard &board)
{
    for (const auto &[id, target] : board.targets.rows()) {
        if (target.availabilityZone == board.self.availabilityZone && !board.leases.contains(id)) {
            TargetLease lease;
            lease.target = id;
            lease.epoch = board.epoch;
            board.leases.put(id, lease);
        }
    }
}

/// Starts the release of usable leases and removes the others. Used while this host does not own its zone or is leaving.
void startReleases(Blackboard &board)
{
    std::vector<TargetLease> released;
    std::vector<TargetId> forgotten;
    for (const auto &[id, lease] : board.leases.rows()) {
        if (isUsable(lease, board.now)) {
            TargetLease updated = withoutCall(lease);
            updated.state = LeaseState::Releasing;
            updated.retryAt = board.now;
            released.push_back(std::move(updated));
        } else if (lease.state != LeaseState::Releasing || board.now >= lease.expiry) {
            forgotten.push_back(id);
        }
    }
    for (TargetLease &lease : released) {
        const TargetId id = lease.target;
        board.leases.put(id, std::move(lease));
    }
    for (const TargetId &id : forgotten) {
        board.leases.erase(id);
    }
}

void removeLeasesOfGoneTargets(Blackboard &board)
{
    std::vector<TargetId> gone;
    for (const auto &[id, lease] : board.leases.rows()) {
        const Target *target = board.targets.find(id);
        const bool isGone = target == nullptr || (target->isListedLeaving && target->health == TargetHealth::Unresponsive && !isUsable(lease, board.now));
        if (isGone) {
            gone.push_back(id);
        }
    }
    for (const TargetId &id : gone) {
        board.leases.erase(id);
    }
}

std::vector<AttemptId> attemptsToAcknowledge(const Blackboard &board, const Target &target)
{
    std::vector<AttemptId> ended;
    for (const ReportedTask &task : target.tasks) {
        const bool isNew = ended.empty() || ended.back() != task.attempt;
        // A reported task whose labels describe an unknown job must be adopted before the target may forget it.
        const bool awaitsAdoption = task.specification && !board.jobs.contains(task.attempt.job);
        if (hasEnded(task.state) && isNew && !awaitsAdoption && ended.size() < maxAcknowledgementsPerCall && isOutcomeStored(board, task.attempt)) {
            ended.push_back(task.attempt);
        }
    }
    return ended;
}

TargetCall makeLeaseCall(Blackboard &board, const Target &target, const TargetLease &lease)
{
    const Limits &limits = board.self.limits;
    TargetCall call;
    call.id = takeCallId(board);
    call.target = target.id;
    call.address = target.address;
    call.host = board.self.id;
    call.timeout = limits.targetCallTimeout;
    if (lease.state == LeaseState::Releasing) {
        call.epoch = lease.epoch;
        call.request = ReleaseTarget{};
        return call;
    }
    const bool isRenewal = lease.state == LeaseState::Held && !lease.needsImmediateReport && lease.epoch == board.epoch;
    const Duration wait = isRenewal ? limits.targetLeaseWait : Duration{0};
    call.epoch = board.epoch;
    call.request = LeaseTarget{limits.targetLease, wait, attemptsToAcknowledge(board, target), isRenewal ? target.tasksVersion : 0};
    call.timeout += wait;
    return call;
}

void sendLeaseCall(Blackboard &board, const TargetLease &lease)
{
    const Target *target = board.targets.find(lease.target);
    if (target == nullptr) {
        return;
    }
    TargetCall call = makeLeaseCall(board, *target, lease);
    TargetLease updated = lease;
    updated.callInFlight = call.id;
    updated.callSentAt = board.now;
    updated.callDeadline = board.now + call.timeout + callReplacementDelay;
    updated.epoch = call.epoch;
    if (updated.state == LeaseState::Refused) {
        updated.state = LeaseState::Acquiring;
    }
    board.outbox.emplace_back(std::move(call));
    board.leases.put(updated.target, updated);
}

}

bool isOutcomeStored(const Blackboard &board, const AttemptId &attempt)
{
    const Job *job = board.jobs.find(attempt.job);
    if (job == nullptr) {
        // Once the store has been read completely, a missing record means that the ledger already contains the job and its outcome.
        return board.store.isLoaded && !board.attempts.contains(attempt);
    }
    if (job->revision == 0 || board.jobUpdateState.unsaved.contains(attempt.job) || board.attempts.contains(attempt)) {
        return false;
    }
    return isTerminal(job->state) || job->attemptCount > attempt.number || (job->state == JobState::Waiting && job->attemptCount == attempt.number);
}

void applyLeaseReplies(Blackboard &board)
{
    for (const Event &event : board.inbox) {
        if (const auto *reply = std::get_if<TargetReply>(&event)) {
            applyLeaseReply(board, *reply);
        }
    }
}

void sendLeaseCalls(Blackboard &board)
{
    expireLeases(board);
    removeLeasesOfGoneTargets(board);
    const bool mayHoldLeases = board.epoch > 0 && !board.zoneClaim.isReleasingLeases;
    if (mayHoldLeases) {
        addMissingLeases(board);
    } else {
        startReleases(board);
    }
    std::vector<TargetLease> ready;
    for (const auto &[id, lease] : board.leases.rows()) {
        if (!lease.callInFlight && board.now >= lease.retryAt) {
            ready.push_back(lease);
        }
    }
    // Held leases come before the others; in both groups, the leases closest to expiry come first.
    std::ranges::sort(ready, {}, [](const TargetLease &lease) { return std::pair{lease.state != LeaseState::Held, lease.expiry}; });
    const auto limit = static_cast<std::size_t>(board.self.limits.leaseCallsPerRound);
    for (std::size_t index = 0; index < std::min(limit, ready.size()); ++index) {
        sendLeaseCall(board, ready[index]);
    }
}

}
