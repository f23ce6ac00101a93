#include "controllers.h"

#include "attemptcalls.h"
#include "attemptreports.h"
#include "attemptsteps.h"
#include "jobrecord.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

void placeJob(AttemptEdits &work, const Placement &placement)
{
    const Blackboard &board = work.board;
    const Job *job = board.jobs.find(placement.job);
    const bool isFree = job != nullptr && job->state == JobState::Waiting && attemptOf(board, placement.job) == nullptr;
    if (!isFree || placement.members.empty()) {
        return;
    }
    const int number = job->attemptCount + 1;
    if (readAttempt(work, {placement.job, number}) != nullptr) {
        return;
    }
    addAttempt(work, makeAttempt(placement, number, board.now, board.self.limits.reservationExpiry));
    reserveMembers(work, *editAttempt(work, {placement.job, number}));
    count(work.board.counters, "attempts", "placed");
}

void throttle(AttemptEdits &work, const Throttle &planned)
{
    const Attempt *present = readAttempt(work, planned.attempt);
    if (present == nullptr || present->step != AttemptStep::Running || present->throttlePercent == planned.percent) {
        return;
    }
    Attempt *attempt = editAttempt(work, planned.attempt);
    attempt->throttlePercent = planned.percent;
    sendThrottle(work, *attempt, planned.percent);
    count(work.board.counters, "attempts", "throttled");
}

void applyPlan(AttemptEdits &work)
{
    const Plan &plan = work.board.plan;
    for (const Preemption &preemption : plan.preemptions) {
        const Attempt *present = readAttempt(work, preemption.attempt);
        if (present != nullptr && present->step < AttemptStep::Stopping) {
            Attempt *attempt = editAttempt(work, preemption.attempt);
            attempt->skipsCheckpoint = preemption.skipsCheckpoint;
            beginStop(*attempt, preemption.cause);
            count(work.board.counters, "attempts", "preempted");
        }
    }
    for (const Throttle &planned : plan.throttles) {
        throttle(work, planned);
    }
    for (const Placement &placement : plan.placements) {
        placeJob(work, placement);
    }
}

/// Stops attempts whose job is cancelled, moved or over, and takes up those that wait for a record.
void applyJobChanges(AttemptEdits &work)
{
    const Blackboard &board = work.board;
    for (const JobId &id : board.jobs.changes()) {
        const Attempt *present = attemptOf(board, id);
        const Job *job = board.jobs.find(id);
        if (present == nullptr || (present->step == AttemptStep::Running && job != nullptr && job->state == JobState::Running && !job->isCancelRequested)) {
            continue;
        }
        Attempt *attempt = editAttempt(work, present->id);
        if (job == nullptr || isStaleAttempt(*job, attempt->id, board.self.availabilityZone)) {
            beginStop(*attempt, StopCause::Moved);
        } else if (job->isCancelRequested) {
            beginStop(*attempt, StopCause::Cancelled);
        }
    }
}

/// Deadlines, silent calls, lapsed leases and bulk work that a previous step left over.
void applyTimer(AttemptEdits &work)
{
    for (const auto &[id, attempt] : work.board.attempts.rows()) {
        if (attempt.step != AttemptStep::Running) {
            expireMemberCalls(work, id);
            editAttempt(work, id);
        }
    }
    for (const auto &[target, attempts] : work.board.attemptIndex.byTarget) {
        if (isLeaseLapsed(work.board, target)) {
            std::ranges::for_each(attempts, [&work](const AttemptId &id) { applyLapsedLeases(work, id); });
        }
    }
}

}

void driveAttempts(Blackboard &board)
{
    if (!isZoneScheduler(board)) {
        discardAttempts(board);
        return;
    }
    const bool mayStop = !board.attemptIndex.areStopsDeferred || isDue(board.timers, "attempts");
    AttemptEdits work{board, {}, mayStop ? board.self.limits.bulkOperationsPerStep : 0};
    board.attemptIndex.areStopsDeferred = !mayStop;
    applyMemberReplies(work);
    applyReports(work);
    applyPlan(work);
    applyJobChanges(work);
    if (isDue(board.timers, "attempts")) {
        applyTimer(work);
    }
    for (auto &[id, attempt] : work.edited) {
        advanceAttempt(work, attempt);
    }
    commit(work);
}

}
