#include "controllers.h"

#include "admission.h"
#include "joboutcome.h"
#include "jobrecord.h"
#include "jobrecovery.h"
#include "jobretry.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr Duration maintenancePeriod{1'000};

/// Marks a job for cancellation. Any host may do so, because the owner of the job's zone reads the flag from the record.
void requestCancellation(Blackboard &board, const JobId &id)
{
    const Job *job = board.jobs.find(id);
    if (job == nullptr || isTerminal(job->state) || job->isCancelRequested) {
        return;
    }
    Job flaggedJob = *job;
    flaggedJob.isCancelRequested = true;
    saveJob(board, std::move(flaggedJob));
}

void applyCancelRequests(Blackboard &board)
{
    for (const Event &event : board.inbox) {
        if (const auto *request = std::get_if<CancelRequest>(&event)) {
            requestCancellation(board, request->job);
        }
    }
    for (const JobId &id : board.jobs.changes()) {
        const Job *job = board.jobs.find(id);
        if (job != nullptr && job->isCancelRequested && !isTerminal(job->state)) {
            board.jobUpdateState.cancellations.insert(id);
        }
    }
}

bool isCancellable(const Blackboard &board, const Job &job)
{
    return isScheduledHere(board, job) && attemptOf(board, job.specification.id) == nullptr && !isTerminal(job.state)
           && (job.state == JobState::Waiting || job.state == JobState::Reserving);
}

/// Cancels waiting jobs, a limited number in each step. driveAttempts stops jobs that have an attempt.
void cancelWaitingJobs(Blackboard &board)
{
    if (board.jobUpdateState.isBulkPaused && !isDue(board.timers, "attempts")) {
        return;
    }
    board.jobUpdateState.isBulkPaused = false;
    int remaining = board.self.limits.bulkOperationsPerStep;
    std::set<JobId> &cancellations = board.jobUpdateState.cancellations;
    for (auto next = cancellations.begin(); next != cancellations.end();) {
        const Job *job = board.jobs.find(*next);
        if (job == nullptr || !isCancellable(board, *job)) {
            next = cancellations.erase(next);
            continue;
        }
        if (remaining-- == 0) {
            board.jobUpdateState.isBulkPaused = true;
            subscribeNoLaterThan(board.timers, "attempts", board.now);
            return;
        }
        Job cancelled = *job;
        cancelled.state = JobState::Cancelled;
        cancelled.finishedAt = board.wallNow;
        cancelled.explanation = "cancelled before it started";
        count(board.counters, "jobs", "cancelled");
        saveJob(board, std::move(cancelled));
        next = cancellations.erase(next);
    }
}

bool isWaitingHere(const Blackboard &board, const JobId &id)
{
    const Job *job = board.jobs.find(id);
    return job != nullptr && job->state == JobState::Waiting && isScheduledHere(board, *job) && attemptOf(board, id) == nullptr;
}

void applyPlan(Blackboard &board)
{
    for (const PlannedRefusal &refusal : board.plan.refusals) {
        if (isWaitingHere(board, refusal.job)) {
            Job job = *board.jobs.find(refusal.job);
            job.state = JobState::Refused;
            job.finishedAt = board.wallNow;
            job.explanation = std::string(name(refusal.reason)) + ": " + refusal.explanation;
            count(board.counters, "jobsRefused", std::string(name(refusal.reason)));
            saveJob(board, std::move(job));
        }
    }
    for (const ZoneMove &move : board.plan.moves) {
        const Job *job = board.jobs.find(move.job);
        // The other zone acts on the stored record, so the job moves only after its previous write has been confirmed.
        if (isWaitingHere(board, move.job) && job->revision > 0 && !board.jobUpdateState.unsaved.contains(move.job)) {
            Job moved = *job;
            moved.availabilityZone = move.availabilityZone;
            moved.explanation = move.explanation;
            count(board.counters, "jobsMoved", move.availabilityZone.value);
            saveJob(board, std::move(moved));
        }
    }
    for (const Explanation &explanation : board.plan.explanations) {
        if (isWaitingHere(board, explanation.job)) {
            Job job = *board.jobs.find(explanation.job);
            job.explanation = explanation.text;
            board.jobs.put(explanation.job, std::move(job));
        }
    }
}

std::string placementText(const Blackboard &board, const Attempt &attempt)
{
    const auto planned = std::ranges::find_if(board.plan.placements, [&attempt](const Placement &placement) { return placement.job == attempt.id.job; });
    return planned == board.plan.placements.end() ? "placed on " + std::to_string(attempt.members.size()) + " targets" : planned->explanation;
}

void applyAttemptEnd(Blackboard &board, const Job &job, const Attempt &attempt)
{
    const bool wasRecorded = job.mayHaveStarted || attempt.runningSince || attempt.isAdopted;
    const AttemptEnd end = attemptEndOf(attempt, job.specification);
    Job updatedJob = withAttemptEnd(job, attempt, board.self.limits.maxJobAttempts, board.now, board.wallNow);
    if (updatedJob.state == JobState::Waiting) {
        updatedJob = withRetryDelay(board, std::move(updatedJob), end);
    } else {
        count(board.counters, "jobs", std::string(name(updatedJob.state)));
        addRetryBudget(board, updatedJob);
    }
    if (wasRecorded || isTerminal(updatedJob.state)) {
        saveJob(board, std::move(updatedJob));
    } else {
        board.jobs.put(attempt.id.job, std::move(updatedJob));
    }
}

/// Updates the job from one attempt of this zone. A repeated call for an unchanged attempt has no effect.
void applyAttempt(Blackboard &board, const Attempt &attempt)
{
    const Job *job = board.jobs.find(attempt.id.job);
    if (job == nullptr || isTerminal(job->state) || isStaleAttempt(*job, attempt.id, board.self.availabilityZone)) {
        return;
    }
    Job updatedJob = *job;
    updatedJob.attemptCount = attempt.id.number;
    switch (attempt.step) {
    case AttemptStep::Reserving:
        if (job->state != JobState::Reserving) {
            updatedJob.state = JobState::Reserving;
            updatedJob.explanation = placementText(board, attempt);
            board.jobs.put(attempt.id.job, std::move(updatedJob));
        }
        return;
    case AttemptStep::Recording:
    case AttemptStep::Starting:
        if (job->state != JobState::Starting) {
            updatedJob.state = JobState::Starting;
            updatedJob.mayHaveStarted = true;
            updatedJob.attemptOwner = board.self.id;
            saveJob(board, std::move(updatedJob));
        }
        return;
    case AttemptStep::Running:
        if (job->state != JobState::Running) {
            updatedJob.state = JobState::Running;
            updatedJob.mayHaveStarted = true;
            updatedJob.attemptOwner = board.self.id;
            updatedJob.startedAt = job->startedAt ? job->startedAt : board.wallNow;
            addSample(board.counters,
                      "startDelaySeconds." + std::string(name(job->specification.jobClass)),
                      static_cast<double>((board.wallNow - job->acceptedAt).count()) / 1'000.0);
            saveJob(board, std::move(updatedJob));
        }
        return;
    case AttemptStep::Stopping:
        updatedJob.state = JobState::Stopping;
        board.jobs.put(attempt.id.job, std::move(updatedJob));
        return;
    case AttemptStep::Ended:
        applyAttemptEnd(board, *job, attempt);
        return;
    }
}

void applyAttemptsToJobs(Blackboard &board)
{
    if (!isZoneScheduler(board)) {
        return;
    }
    for (const AttemptId &id : board.attempts.changes()) {
        if (const Attempt *attempt = board.attempts.find(id)) {
            applyAttempt(board, *attempt);
        }
    }
    if (isDue(board.timers, "attempts")) {
        // A step runs a limited number of rounds, so the previous step may have finished before it applied the end of an attempt to its job.
        for (const auto &[id, attempt] : board.attempts.rows()) {
            if (attempt.step == AttemptStep::Ended) {
                applyAttempt(board, attempt);
            }
        }
    }
}

}

void updateJobs(Blackboard &board)
{
    board.jobUpdateState.refusals.clear();
    applyStoredJobs(board);
    admitSubmissions(board);
    applyCancelRequests(board);
    if (isZoneScheduler(board)) {
        adoptReportedJobs(board);
        applyPlan(board);
        applyAttemptsToJobs(board);
    }
    cancelWaitingJobs(board);
    resolveSubmissions(board);
    const bool isMaintenanceDue = !board.jobUpdateState.lastMaintenance || board.now - *board.jobUpdateState.lastMaintenance >= maintenancePeriod;
    if (isDue(board.timers, "attempts") && isMaintenanceDue) {
        board.jobUpdateState.lastMaintenance = board.now;
        requestMissingWrites(board);
        recoverJobs(board);
    }
}

}
