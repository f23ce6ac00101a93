#include "attemptsteps.h"

#include "attemptcalls.h"
#include "jobrecord.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr Duration stopRetryInterval{1'000};

bool isEnded(const AttemptMember &member)
{
    return member.step == MemberStep::Ended;
}

bool areAllIn(const Attempt &attempt, MemberStep step)
{
    return std::ranges::all_of(attempt.members, [step](const AttemptMember &member) { return member.step == step; });
}

bool isAnyIn(const Attempt &attempt, MemberStep step)
{
    return std::ranges::any_of(attempt.members, [step](const AttemptMember &member) { return member.step == step; });
}

/// True if a member has ended without finishing its work.
bool hasFailedMember(const Attempt &attempt)
{
    return std::ranges::any_of(attempt.members, [](const AttemptMember &member) { return isEnded(member) && member.end != TaskState::Finished; });
}

bool needsRecord(const JobSpecification &specification)
{
    return !specification.isIdempotent;
}

/// True if the store holds the record of this attempt. Work that is not idempotent may start only then.
bool isRecorded(const Blackboard &board, const Job &job, const Attempt &attempt)
{
    const bool isThisAttempt = job.state == JobState::Starting && job.attemptCount == attempt.id.number && job.mayHaveStarted;
    return isThisAttempt && job.revision > 0 && !board.jobUpdateState.unsaved.contains(attempt.id.job);
}

std::string memberObstacle(const Blackboard &board, const AttemptMember &member)
{
    const Target *target = board.targets.find(member.target);
    const TargetLease *lease = board.leases.find(member.target);
    if (target == nullptr || lease == nullptr || !isUsable(*lease, board.now)) {
        return "lease lapsed";
    }
    if (target->isLeaving) {
        return "target leaving";
    }
    return isDrained(board.configuration, target->rack, member.target) ? "target or rack drained" : "";
}

/// Sends the starts of all reserved members, or stops the attempt if it may not start at this moment.
void startMembers(AttemptEdits &work, Attempt &attempt)
{
    const Blackboard &board = work.board;
    if (const std::string obstacle = startObstacle(board, attempt); !obstacle.empty()) {
        count(work.board.counters, "startsHeldBack", obstacle);
        beginStop(attempt, isZoneOut(board.configuration, board.self.availabilityZone) ? StopCause::ZoneOut : StopCause::ReservationFailed);
        return;
    }
    attempt.step = AttemptStep::Starting;
    const Job &job = *board.jobs.find(attempt.id.job);
    for (AttemptMember &member : attempt.members) {
        if (member.step == MemberStep::Reserved) {
            member.step = MemberStep::Starting;
            member.mayHaveRun = true;
            sendMemberCall(work, attempt, member, StartTask{attempt.id, member.index, job.specification, job.checkpointedWork});
        }
    }
}

void advanceReserving(AttemptEdits &work, Attempt &attempt)
{
    const Job *job = work.board.jobs.find(attempt.id.job);
    if (job == nullptr || hasFailedMember(attempt) || isAnyIn(attempt, MemberStep::InDoubt) || work.board.now >= attempt.stepDeadline) {
        beginStop(attempt, StopCause::ReservationFailed);
    } else if (areAllIn(attempt, MemberStep::Reserved)) {
        if (needsRecord(job->specification)) {
            attempt.step = AttemptStep::Recording;
        } else {
            startMembers(work, attempt);
        }
    }
}

void advanceRecording(AttemptEdits &work, Attempt &attempt)
{
    const Job *job = work.board.jobs.find(attempt.id.job);
    if (job == nullptr || hasFailedMember(attempt) || work.board.now >= attempt.stepDeadline) {
        beginStop(attempt, StopCause::ReservationFailed);
    } else if (isRecorded(work.board, *job, attempt)) {
        startMembers(work, attempt);
    }
}

/// Time at which the whole gang began to run: for an adopted first attempt the time in the job record, otherwise the present time.
TimePoint runningSince(const Blackboard &board, const Attempt &attempt)
{
    const Job *job = board.jobs.find(attempt.id.job);
    if (attempt.isAdopted && job != nullptr && job->startedAt && job->held.empty()) {
        return board.now - std::max(Duration{0}, board.wallNow - *job->startedAt);
    }
    return board.now;
}

void advanceStarting(AttemptEdits &work, Attempt &attempt)
{
    const Job *job = work.board.jobs.find(attempt.id.job);
    const bool isWhole = job != nullptr && static_cast<int>(attempt.members.size()) >= job->specification.taskCount;
    const bool isRunning = std::ranges::all_of(attempt.members, [](const AttemptMember &member) {
        return member.step == MemberStep::Running || (isEnded(member) && member.end == TaskState::Finished);
    });
    if (hasFailedMember(attempt)) {
        const bool neverRan = std::ranges::none_of(attempt.members, &AttemptMember::mayHaveRun);
        beginStop(attempt, neverRan ? StopCause::ReservationFailed : StopCause::MemberLost);
    } else if (isWhole && isRunning) {
        attempt.step = AttemptStep::Running;
        attempt.runningSince = runningSince(work.board, attempt);
    } else if (attempt.isAdopted && work.board.now >= attempt.stepDeadline) {
        beginStop(attempt, StopCause::MemberLost);
    } else if (isAnyIn(attempt, MemberStep::Reserved)) {
        startMembers(work, attempt);
    }
}

void advanceRunning(Attempt &attempt)
{
    if (std::ranges::all_of(attempt.members, isEnded)) {
        attempt.step = AttemptStep::Ended;
    } else if (hasFailedMember(attempt)) {
        beginStop(attempt, StopCause::MemberLost);
    }
}

bool takesCheckpoint(const Blackboard &board, const Attempt &attempt)
{
    const Job *job = board.jobs.find(attempt.id.job);
    const bool isPlannedStop = attempt.stopCause == StopCause::Preempted || attempt.stopCause == StopCause::Moved || attempt.stopCause == StopCause::ZoneOut;
    return job != nullptr && job->specification.isCheckpointable && isPlannedStop && !attempt.skipsCheckpoint;
}

/// True if the member holds only a reservation and this reservation has expired. A reservation that no call could release expires on the target by itself.
bool isExpiredReservation(const Blackboard &board, const AttemptMember &member)
{
    return !member.mayHaveRun && !member.callInFlight && board.now - member.changedAt >= board.self.limits.reservationExpiry;
}

bool isStopDue(const Blackboard &board, const AttemptMember &member)
{
    if (isEnded(member) || member.callInFlight) {
        return false;
    }
    return member.step != MemberStep::Stopping || board.now - member.changedAt >= stopRetryInterval;
}

void advanceStopping(AttemptEdits &work, Attempt &attempt)
{
    const bool withCheckpoint = takesCheckpoint(work.board, attempt);
    for (AttemptMember &member : attempt.members) {
        if (!isEnded(member) && isExpiredReservation(work.board, member)) {
            member.step = MemberStep::Ended;
            continue;
        }
        const TargetLease *lease = work.board.leases.find(member.target);
        if (!isStopDue(work.board, member) || lease == nullptr || !isUsable(*lease, work.board.now)) {
            continue;
        }
        if (work.remainingStops <= 0) {
            // The remaining stops follow in the next step, so that many cancellations at once do not block the event loop.
            work.board.attemptIndex.areStopsDeferred = true;
            subscribeNoLaterThan(work.board.timers, "attempts", work.board.now);
            break;
        }
        --work.remainingStops;
        // `mayHaveRun` keeps its value if a start or a task is in doubt, because only a report of the target shows whether the task ran.
        member.step = MemberStep::Stopping;
        sendMemberCall(work, attempt, member, StopTask{attempt.id, member.index, withCheckpoint && member.mayHaveRun});
    }
    if (std::ranges::all_of(attempt.members, isEnded)) {
        attempt.step = AttemptStep::Ended;
    }
}

}

Attempt makeAttempt(const Placement &placement, int number, TimePoint now, Duration reservationExpiry)
{
    Attempt attempt;
    attempt.id = {placement.job, number};
    attempt.isBorrowed = placement.isBorrowed;
    attempt.stepDeadline = now + reservationExpiry;
    for (std::size_t index = 0; index < placement.members.size(); ++index) {
        AttemptMember member;
        member.index = static_cast<int>(index);
        member.target = placement.members[index].target;
        member.accelerators = placement.members[index].accelerators;
        member.changedAt = now;
        attempt.members.push_back(std::move(member));
    }
    std::ranges::stable_sort(attempt.members, {}, &AttemptMember::target);
    return attempt;
}

void reserveMembers(AttemptEdits &work, Attempt &attempt)
{
    const JobSpecification &specification = work.board.jobs.find(attempt.id.job)->specification;
    const Duration expiry = work.board.self.limits.reservationExpiry;
    for (AttemptMember &member : attempt.members) {
        sendMemberCall(work,
                       attempt,
                       member,
                       ReserveTask{attempt.id, member.index, member.accelerators, specification.milliCpuPerTask, specification.memoryMbPerTask, expiry});
        if (!member.callInFlight) {
            member.step = MemberStep::Ended;
        }
    }
}

void beginStop(Attempt &attempt, StopCause cause)
{
    if (attempt.step < AttemptStep::Stopping) {
        attempt.step = AttemptStep::Stopping;
        attempt.stopCause = cause;
    }
}

std::string startObstacle(const Blackboard &board, const Attempt &attempt)
{
    const Job *job = board.jobs.find(attempt.id.job);
    if (job == nullptr || job->isCancelRequested || isStaleAttempt(*job, attempt.id, board.self.availabilityZone)) {
        return "job no longer wanted";
    }
    if (!isValid(board.permit, board.now)) {
        return "no permit";
    }
    if (isZoneOut(board.configuration, board.self.availabilityZone)) {
        return "zone out";
    }
    if (board.now >= attempt.stepDeadline) {
        return "reservation expired";
    }
    for (const AttemptMember &member : attempt.members) {
        if (std::string obstacle = memberObstacle(board, member); !obstacle.empty()) {
            return obstacle;
        }
    }
    return "";
}

void advanceAttempt(AttemptEdits &work, Attempt &attempt)
{
    AttemptStep before = AttemptStep::Ended;
    do {
        before = attempt.step;
        switch (attempt.step) {
        case AttemptStep::Reserving:
            advanceReserving(work, attempt);
            break;
        case AttemptStep::Recording:
            advanceRecording(work, attempt);
            break;
        case AttemptStep::Starting:
            advanceStarting(work, attempt);
            break;
        case AttemptStep::Running:
            advanceRunning(attempt);
            break;
        case AttemptStep::Stopping:
            advanceStopping(work, attempt);
            break;
        case AttemptStep::Ended:
            break;
        }
    } while (attempt.step != before);
}

}
