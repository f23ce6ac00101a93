#include "jobrecord.h"

#include "storeaccess.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

const std::string jobPrefix = "jobs/";
const std::string purpose = "updateJobs";

std::optional<JobId> jobIdFromKey(const StoreKey &key)
{
    if (!key.path.starts_with(jobPrefix)) {
        return std::nullopt;
    }
    const auto separator = key.path.find('/', jobPrefix.size());
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    return JobId{{key.path.substr(jobPrefix.size(), separator - jobPrefix.size())}, {key.path.substr(separator + 1)}};
}

StoreWrite writeOf(const Job &job)
{
    Job record = job;
    record.notBefore.reset();
    return {jobKey(job.specification.id), record, job.revision, false};
}

void removeJob(Blackboard &board, const JobId &id)
{
    board.jobUpdateState.unsaved.erase(id);
    board.jobs.erase(id);
}

/// Removes ended jobs whose records were moved into the ledger while this host had no watch on the store.
void removeMissingJobs(Blackboard &board, const FullRead &read)
{
    std::vector<JobId> missing;
    for (const auto &[id, job] : board.jobs.rows()) {
        const bool wasStored = job.revision > 0 && job.revision <= read.revision && !board.jobUpdateState.unsaved.contains(id);
        if (wasStored && isTerminal(job.state) && !read.keys.contains(jobKey(id))) {
            missing.push_back(id);
        }
    }
    for (const JobId &id : missing) {
        removeJob(board, id);
    }
}

/// Merges a stored record into the job's row on the board.
void applyStoredJob(Blackboard &board, Job stored, Revision revision)
{
    stored.revision = revision;
    const JobId id = stored.specification.id;
    const Job *local = board.jobs.find(id);
    if (local == nullptr) {
        board.jobs.put(id, std::move(stored));
        return;
    }
    if (local->revision >= revision) {
        return;
    }
    const bool keepsLocalRun = isScheduledHere(board, *local) && attemptOf(board, id) != nullptr;
    const bool isUnsaved = board.jobUpdateState.unsaved.contains(id);
    MergedJob merged = mergeJob(*local, stored, keepsLocalRun || (isScheduledHere(board, *local) && isUnsaved && local->revision > 0), isUnsaved);
    if (merged.needsSaving) {
        saveJob(board, std::move(merged.job));
        return;
    }
    board.jobUpdateState.unsaved.erase(id);
    withdrawWrite(board.store, jobKey(id));
    board.jobs.put(id, std::move(merged.job));
}

void applyWrittenJob(Blackboard &board, const JobId &id, Revision revision)
{
    const Job *local = board.jobs.find(id);
    if (local == nullptr) {
        return;
    }
    Job job = *local;
    job.revision = std::max(job.revision, revision);
    const StoreKey key = jobKey(id);
    if (isQueued(board.store, key)) {
        // A newer write of the job is queued and still expects the old revision, so saveJob() replaces that write.
        saveJob(board, std::move(job));
        return;
    }
    if (!isInFlight(board.store, key)) {
        board.jobUpdateState.unsaved.erase(id);
    }
    board.jobs.put(id, std::move(job));
}

void applyConflict(Blackboard &board, const JobId &id, const WriteResult &result)
{
    count(board.counters, "writeConflicts", "job");
    const Job *stored = result.present ? std::get_if<Job>(&result.present->record) : nullptr;
    const Job *local = board.jobs.find(id);
    if (stored == nullptr) {
        // The store has no record, so the job was moved into the ledger. Only a job that has not ended is written again.
        if (local != nullptr && !isTerminal(local->state)) {
            Job job = *local;
            job.revision = 0;
            saveJob(board, std::move(job));
        } else if (local != nullptr) {
            removeJob(board, id);
        }
        return;
    }
    if (local != nullptr && local->revision >= result.present->revision && board.jobUpdateState.unsaved.contains(id)) {
        // The watch delivered the conflicting record before this reply, so the row already contains it and is written again.
        saveJob(board, *local);
        return;
    }
    applyStoredJob(board, *stored, result.present->revision);
}

}

bool isZoneScheduler(const Blackboard &board)
{
    return board.epoch > 0 && !board.zoneClaim.isReleasingLeases;
}

bool isScheduledHere(const Blackboard &board, const Job &job)
{
    return isZoneScheduler(board) && job.availabilityZone == board.self.availabilityZone;
}

const Attempt *attemptOf(const Blackboard &board, const JobId &job)
{
    const auto found = board.attempts.rows().lower_bound(AttemptId{job, 0});
    return found == board.attempts.rows().end() || found->first.job != job ? nullptr : &found->second;
}

bool isStaleAttempt(const Job &job, const AttemptId &attempt, const AvailabilityZoneId &zone)
{
    if (isTerminal(job.state) || job.availabilityZone != zone || attempt.number < job.attemptCount) {
        return true;
    }
    return attempt.number == job.attemptCount && job.state == JobState::Waiting;
}

void saveJob(Blackboard &board, Job job)
{
    const JobId id = job.specification.id;
    requestWrite(board.store, writeOf(job), purpose);
    board.jobUpdateState.unsaved.insert(id);
    board.jobs.put(id, std::move(job));
}

MergedJob mergeJob(const Job &local, const Job &stored, bool isScheduledHere, bool isUnsaved)
{
    if (isTerminal(stored.state) || local.specification != stored.specification) {
        return {stored, false};
    }
    if (isTerminal(local.state) && !isUnsaved) {
        Job kept = local;
        kept.revision = stored.revision;
        return {kept, false};
    }
    Job merged = stored;
    const bool isCancelRequested = local.isCancelRequested || stored.isCancelRequested;
    const bool keepsLocalRun = isScheduledHere && local.availabilityZone == stored.availabilityZone;
    if (keepsLocalRun || (isUnsaved && local.state == JobState::Finished)) {
        merged = local;
        merged.revision = stored.revision;
        merged.acceptedAt = stored.acceptedAt;
        merged.attemptCount = std::max(local.attemptCount, stored.attemptCount);
        merged.failedAttempts = std::max(local.failedAttempts, stored.failedAttempts);
        merged.startedAt = stored.startedAt ? stored.startedAt : local.startedAt;
        if (stored.held.size() > local.held.size()) {
            merged.held = stored.held;
        }
    }
    merged.isCancelRequested = isCancelRequested;
    const bool differsFromStored =
        merged.isCancelRequested != stored.isCancelRequested || merged.state != stored.state || merged.attemptCount != stored.attemptCount;
    return {merged, isUnsaved && differsFromStored};
}

void applyStoredJobs(Blackboard &board)
{
    for (const StoreEntry &entry : storeEntriesInInbox(board)) {
        if (const auto *job = std::get_if<Job>(&entry.record)) {
            applyStoredJob(board, *job, entry.revision);
        }
    }
    for (const StoreKey &key : storeDeletionsInInbox(board)) {
        const std::optional<JobId> id = jobIdFromKey(key);
        const Job *local = id ? board.jobs.find(*id) : nullptr;
        if (local != nullptr && isTerminal(local->state)) {
            removeJob(board, *id);
        }
    }
    if (const std::optional<FullRead> read = fullReadInInbox(board)) {
        removeMissingJobs(board, *read);
    }
    for (const WriteResult &result : std::vector<WriteResult>(board.store.results)) {
        const std::optional<JobId> id = jobIdFromKey(result.key);
        if (!id) {
            continue;
        }
        if (result.outcome == WriteOutcome::Applied) {
            applyWrittenJob(board, *id, result.revision);
        } else {
            applyConflict(board, *id, result);
        }
    }
}

void requestMissingWrites(Blackboard &board)
{
    std::set<std::string> queued;
    for (const PendingWrite &pending : board.store.writes) {
        queued.insert(pending.write.key.path);
    }
    for (const JobId &id : board.jobUpdateState.unsaved) {
        const Job *job = board.jobs.find(id);
        const StoreKey key = jobKey(id);
        if (job != nullptr && !queued.contains(key.path) && !isInFlight(board.store, key)) {
            requestWrite(board.store, writeOf(*job), purpose);
        }
    }
}

}
