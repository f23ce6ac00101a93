#include "jobrecovery.h"

#include "jobrecord.h"
#include "jobretry.h"
#include "storeaccess.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Time for which targets keep their tasks after the lease of their holder has expired. A task that is unreported for longer has certainly ended.
constexpr Duration taskRetention{600'000};

/// True once every target of the zone has sent a report under a lease of this host since the host became owner.
bool haveAllTargetsReported(const Blackboard &board)
{
    return std::ranges::all_of(board.targets.rows(), [&board](const auto &row) {
        const auto &[id, target] = row;
        if (target.availabilityZone != board.self.availabilityZone) {
            return true;
        }
        const TargetLease *lease = board.leases.find(id);
        return lease != nullptr && isUsable(*lease, board.now) && target.reportRequestedAt && *target.reportRequestedAt >= *board.zoneClaim.ownedSince;
    });
}

Job afterUnreportedAttempt(Job job, int maxAttempts, WallTime wallNow)
{
    const std::string whatHappened = "no target reported attempt " + std::to_string(job.attemptCount);
    job.mayHaveStarted = false;
    if (job.isCancelRequested) {
        job.state = JobState::Cancelled;
        job.finishedAt = wallNow;
        job.explanation = "cancelled; " + whatHappened;
    } else if (!job.specification.isIdempotent) {
        job.state = JobState::Unknown;
        job.mayHaveStarted = true;
        job.finishedAt = wallNow;
        job.explanation = whatHappened + ", which may have run; the job is not idempotent and is not retried";
    } else if (++job.failedAttempts >= maxAttempts) {
        job.state = JobState::Failed;
        job.finishedAt = wallNow;
        job.explanation = whatHappened + "; this was the last of " + std::to_string(maxAttempts) + " attempts";
    } else {
        job.state = JobState::Waiting;
        job.explanation = whatHappened + "; waits for another attempt";
    }
    return job;
}

/// Ends or retries an active job whose tasks no target reports.
void recoverUnreportedJob(Blackboard &board, const Job &job, bool isReportComplete)
{
    const JobId &id = job.specification.id;
    const TimePoint since = board.jobUpdateState.jobsWithoutAttempt.try_emplace(id, board.now).first->second;
    const Duration limit = job.specification.isIdempotent ? board.self.limits.silentZoneTakeover : taskRetention;
    if (!isReportComplete && board.now - since < limit) {
        return;
    }
    Job recoveredJob = afterUnreportedAttempt(job, board.self.limits.maxJobAttempts, board.wallNow);
    if (recoveredJob.state == JobState::Waiting) {
        recoveredJob = withRetryDelay(board, std::move(recoveredJob), AttemptEnd::MemberLost);
    } else {
        count(board.counters, "jobs", std::string(name(recoveredJob.state)));
    }
    board.jobUpdateState.jobsWithoutAttempt.erase(id);
    saveJob(board, std::move(recoveredJob));
}

/// Jobs with a reported task on a target whose lease this host holds; driveAttempts adopts these tasks.
std::set<JobId> reportedJobs(const Blackboard &board)
{
    std::set<JobId> reported;
    for (const auto &[id, lease] : board.leases.rows()) {
        const Target *target = isUsable(lease, board.now) ? board.targets.find(id) : nullptr;
        if (target != nullptr) {
            std::ranges::for_each(target->tasks, [&reported](const ReportedTask &task) { reported.insert(task.attempt.job); });
        }
    }
    return reported;
}

void recoverUnreportedJobs(Blackboard &board)
{
    std::vector<JobId> jobsWithoutAttempt;
    for (const auto &[id, job] : board.jobs.rows()) {
        if (isTerminal(job.state) || !isScheduledHere(board, job) || attemptOf(board, id) != nullptr) {
            continue;
        }
        if (job.state != JobState::Waiting) {
            jobsWithoutAttempt.push_back(id);
        } else if (job.isCancelRequested) {
            board.jobUpdateState.cancellations.insert(id);
        }
    }
    const bool isReportComplete = !jobsWithoutAttempt.empty() && haveAllTargetsReported(board);
    const std::set<JobId> reported = jobsWithoutAttempt.empty() ? std::set<JobId>{} : reportedJobs(board);
    std::erase_if(jobsWithoutAttempt, [&reported](const JobId &id) { return reported.contains(id); });
    std::erase_if(board.jobUpdateState.jobsWithoutAttempt,
                  [&jobsWithoutAttempt](const auto &entry) { return !std::ranges::binary_search(jobsWithoutAttempt, entry.first); });
    for (const JobId &id : jobsWithoutAttempt) {
        Job job = *board.jobs.find(id);
        if (job.state == JobState::Reserving) {
            job.state = JobState::Waiting;
            board.jobs.put(id, std::move(job));
        } else {
            recoverUnreportedJob(board, job, isReportComplete);
        }
    }
}

/// True if this zone is the one that takes the job over, among all zones with an owner. Every owner computes the same result unless the
/// owners know different peers; in this case the first write to the store decides.
bool isTakenOverHere(const Blackboard &board, const JobId &id)
{
    const std::string key = toString(id);
    const unsigned long long ownWeight = rendezvousWeight(key, board.self.availabilityZone.value);
    return std::ranges::none_of(board.peers.rows(), [&](const auto &row) {
        const Peer &peer = row.second;
        const bool isOtherCandidate = peer.ownedEpoch > 0 && peer.state == PeerState::Alive && peer.availabilityZone != board.self.availabilityZone
                                      && !isZoneOut(board.configuration, peer.availabilityZone);
        return isOtherCandidate && rendezvousWeight(key, peer.availabilityZone.value) > ownWeight;
    });
}

/// A job that is not idempotent is taken over only if its record shows that no attempt can have started.
bool mayTakeOver(const Job &job)
{
    if (isTerminal(job.state) || job.revision == 0) {
        return false;
    }
    return job.specification.isIdempotent || (job.state == JobState::Waiting && !job.mayHaveStarted);
}

void takeOverUnresponsiveZones(Blackboard &board)
{
    if (!canReachStore(board) || isZoneOut(board.configuration, board.self.availabilityZone)) {
        return;
    }
    std::set<AvailabilityZoneId> unresponsiveZones;
    for (const auto &[id, zone] : board.configuration.availabilityZones) {
        if (id != board.self.availabilityZone && isZoneUnresponsive(board, id)) {
            unresponsiveZones.insert(id);
        }
    }
    if (unresponsiveZones.empty()) {
        return;
    }
    std::vector<Job> taken;
    for (const auto &[id, job] : board.jobs.rows()) {
        if (static_cast<int>(taken.size()) >= board.self.limits.bulkOperationsPerStep) {
            break;
        }
        if (unresponsiveZones.contains(job.availabilityZone) && mayTakeOver(job) && !board.jobUpdateState.unsaved.contains(id) && isTakenOverHere(board, id)) {
            taken.push_back(job);
        }
    }
    for (Job &job : taken) {
        job.explanation = "taken over from zone " + job.availabilityZone.value + ", which is unresponsive";
        job.availabilityZone = board.self.availabilityZone;
        job.state = JobState::Waiting;
        job.mayHaveStarted = false;
        // The next attempt gets a new number, so that late reports of the other zone's attempt are not mistaken for it.
        ++job.attemptCount;
        count(board.counters, "jobsTakenOver", board.self.availabilityZone.value);
        saveJob(board, std::move(job));
    }
}

}

void adoptReportedJobs(Blackboard &board)
{
    if (canReachStore(board) && !board.store.isLoaded) {
        return;
    }
    for (const TargetId &targetId : board.targets.changes()) {
        const Target *target = board.targets.find(targetId);
        const TargetLease *lease = board.leases.find(targetId);
        if (target == nullptr || lease == nullptr || !isUsable(*lease, board.now)) {
            continue;
        }
        for (const ReportedTask &task : target->tasks) {
            if (!task.specification || board.jobs.contains(task.attempt.job) || task.state == TaskState::Reserved) {
                continue;
            }
            Job job;
            job.specification = *task.specification;
            job.availabilityZone = board.self.availabilityZone;
            job.state = JobState::Starting;
            job.attemptCount = task.attempt.number;
            job.mayHaveStarted = true;
            job.attemptOwner = board.self.id;
            job.acceptedAt = board.wallNow;
            job.explanation = "adopted from a task on target " + targetId.value;
            count(board.counters, "jobsAdopted", board.self.availabilityZone.value);
            saveJob(board, std::move(job));
        }
    }
}

bool isZoneUnresponsive(const Blackboard &board, const AvailabilityZoneId &zone)
{
    const auto configured = board.configuration.availabilityZones.find(zone);
    const Duration isolatedStarts = configured == board.configuration.availabilityZones.end() ? Duration{0} : configured->second.isolatedStartPeriod;
    const Duration limit = std::max(board.self.limits.silentZoneTakeover, board.self.limits.permitPeriod + isolatedStarts);
    int unresponsiveHosts = 0;
    for (const auto &[id, peer] : board.peers.rows()) {
        if (peer.availabilityZone != zone) {
            continue;
        }
        // A host that still renews its record in the store is at most cut off from this host, so its zone does not count as unresponsive.
        if (peer.state != PeerState::Gone || (peer.lastContact && board.now - *peer.lastContact < limit)) {
            return false;
        }
        ++unresponsiveHosts;
    }
    return unresponsiveHosts > 0;
}

void recoverJobs(Blackboard &board)
{
    if (!isZoneScheduler(board)) {
        board.jobUpdateState.jobsWithoutAttempt.clear();
        return;
    }
    recoverUnreportedJobs(board);
    takeOverUnresponsiveZones(board);
}

}
