#include "joboutcome.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

bool isComplete(const Attempt &attempt, const JobSpecification &specification)
{
    return static_cast<int>(attempt.members.size()) >= specification.taskCount;
}

bool hasEndedAs(const AttemptMember &member, TaskState state)
{
    return member.end == state;
}

std::string causeText(StopCause cause)
{
    switch (cause) {
    case StopCause::Cancelled:
        return "cancelled";
    case StopCause::Preempted:
        return "preempted";
    case StopCause::Moved:
        return "stopped to be moved";
    case StopCause::MemberLost:
        return "stopped because a member of the gang was lost";
    case StopCause::ReservationFailed:
        return "released because not every member could start";
    case StopCause::ZoneOut:
        return "stopped because the zone, rack or target is out of service";
    case StopCause::None:
        break;
    }
    return "ended";
}

/// How the attempt ended, for accounting. If the system stopped the attempt, the cause of the stop takes precedence over tasks lost by the stop.
HoldEnd holdEndOf(AttemptEnd end, StopCause cause)
{
    if (end == AttemptEnd::Finished || end == AttemptEnd::Failed) {
        return end == AttemptEnd::Finished ? HoldEnd::Finished : HoldEnd::Failed;
    }
    switch (cause) {
    case StopCause::Cancelled:
        return HoldEnd::Cancelled;
    case StopCause::Preempted:
        return HoldEnd::Preempted;
    case StopCause::Moved:
        return HoldEnd::Moved;
    case StopCause::ZoneOut:
        return HoldEnd::ZoneOut;
    case StopCause::MemberLost:
    case StopCause::None:
    case StopCause::ReservationFailed:
        break;
    }
    return HoldEnd::MemberLost;
}

/// Adds the interval in which the attempt held its accelerators, with the run time that no checkpoint covers.
Job withHeldInterval(Job job, const Attempt &attempt, AttemptEnd end, Duration checkpoint, TimePoint now, WallTime wallNow)
{
    if (!attempt.runningSince || end == AttemptEnd::NeverRan) {
        return job;
    }
    const Duration runTime = now - *attempt.runningSince;
    HeldInterval held;
    held.attempt = attempt.id.number;
    held.accelerators = acceleratorCount(job.specification);
    held.from = wallNow - runTime;
    held.until = wallNow;
    held.isBorrowed = attempt.isBorrowed;
    held.end = holdEndOf(end, attempt.stopCause);
    if (end != AttemptEnd::Finished) {
        held.lostWork = std::max(Duration{0}, runTime - std::max(Duration{0}, checkpoint - job.checkpointedWork));
    }
    job.held.push_back(held);
    return job;
}

Job withTerminalState(Job job, JobState state, WallTime wallNow, const std::string &explanation)
{
    job.state = state;
    job.finishedAt = wallNow;
    job.explanation = explanation;
    return job;
}

Job withNextAttempt(Job job, Duration checkpoint, const std::string &explanation)
{
    job.state = JobState::Waiting;
    job.mayHaveStarted = false;
    job.checkpointedWork = checkpoint;
    job.explanation = explanation;
    return job;
}

std::string attemptText(const Attempt &attempt)
{
    return "attempt " + std::to_string(attempt.id.number);
}

Job withFailedAttempt(Job job, const Attempt &attempt, Duration checkpoint, int maxAttempts, WallTime wallNow, const std::string &whatHappened)
{
    ++job.failedAttempts;
    if (job.failedAttempts >= maxAttempts) {
        job.result = resultOf(attempt);
        const std::string why = job.isCancelRequested ? "; the job is not retried because its cancellation was requested"
                                                      : "; this was the last of " + std::to_string(maxAttempts) + " attempts";
        return withTerminalState(std::move(job), JobState::Failed, wallNow, whatHappened + why);
    }
    return withNextAttempt(std::move(job), checkpoint, whatHappened + "; waits for another attempt");
}

Job withFailure(Job job, const Attempt &attempt, Duration checkpoint, int maxAttempts, WallTime wallNow)
{
    const std::string whatHappened = "a task of " + attemptText(attempt) + " failed";
    if (job.specification.isIdempotent) {
        return withFailedAttempt(std::move(job), attempt, checkpoint, maxAttempts, wallNow, whatHappened);
    }
    job.result = resultOf(attempt);
    return withTerminalState(std::move(job), JobState::Failed, wallNow, whatHappened + "; the job is not idempotent, so it is not retried");
}

/// The job after the system stopped its attempt. A job that is not idempotent resumes only from a checkpoint, and only if every target confirmed the stop.
Job withStop(Job job, const Attempt &attempt, Duration checkpoint, WallTime wallNow)
{
    const std::string whatHappened = attemptText(attempt) + " was " + causeText(attempt.stopCause);
    const bool mayResume = job.specification.isIdempotent || (job.specification.isCheckpointable && checkpoint > job.checkpointedWork);
    if (mayResume) {
        return withNextAttempt(std::move(job), checkpoint, whatHappened + "; waits for another attempt");
    }
    return withTerminalState(std::move(job), JobState::Unknown, wallNow, whatHappened + " after it had run; the job is not idempotent and is not retried");
}

Job withMemberLoss(Job job, const Attempt &attempt, Duration checkpoint, int maxAttempts, WallTime wallNow)
{
    const std::string whatHappened = attemptText(attempt) + " lost a task";
    if (job.specification.isIdempotent) {
        return withFailedAttempt(std::move(job), attempt, checkpoint, maxAttempts, wallNow, whatHappened);
    }
    return withTerminalState(std::move(job), JobState::Unknown, wallNow, whatHappened + " that may have run; the job is not idempotent and is not retried");
}

}

std::string resultOf(const Attempt &attempt)
{
    std::vector<AttemptMember> members = attempt.members;
    std::ranges::sort(members, {}, &AttemptMember::index);
    std::string result;
    for (const AttemptMember &member : members) {
        if (member.index > 0 && !result.empty()) {
            result += "\n";
        }
        result += member.result;
    }
    return result;
}

AttemptEnd attemptEndOf(const Attempt &attempt, const JobSpecification &specification)
{
    const auto &members = attempt.members;
    const bool isWhole = isComplete(attempt, specification);
    if (isWhole && std::ranges::all_of(members, [](const auto &member) { return hasEndedAs(member, TaskState::Finished); })) {
        return AttemptEnd::Finished;
    }
    if (std::ranges::any_of(members, [](const auto &member) { return hasEndedAs(member, TaskState::Failed); })) {
        return AttemptEnd::Failed;
    }
    if (!isWhole || std::ranges::any_of(members, [](const auto &member) { return member.mayHaveRun && !member.end; })) {
        return AttemptEnd::MemberLost;
    }
    if (std::ranges::none_of(members, [](const auto &member) { return member.mayHaveRun; })) {
        return AttemptEnd::NeverRan;
    }
    return AttemptEnd::Stopped;
}

Duration checkpointOf(const Attempt &attempt, const Job &job)
{
    return job.specification.isCheckpointable ? std::max(job.checkpointedWork, attempt.checkpointedWork) : Duration{0};
}

Job withAttemptEnd(Job job, const Attempt &attempt, int maxAttempts, TimePoint now, WallTime wallNow)
{
    const AttemptEnd end = attemptEndOf(attempt, job.specification);
    const Duration checkpoint = checkpointOf(attempt, job);
    job.attemptCount = std::max(job.attemptCount, attempt.id.number);
    job = withHeldInterval(std::move(job), attempt, end, checkpoint, now, wallNow);
    if (end == AttemptEnd::Finished) {
        job.result = resultOf(attempt);
        return withTerminalState(std::move(job), JobState::Finished, wallNow, "finished in " + attemptText(attempt));
    }
    if (job.isCancelRequested && end != AttemptEnd::Failed) {
        return withTerminalState(std::move(job), JobState::Cancelled, wallNow, "cancelled in " + attemptText(attempt));
    }
    // A job that failed before its requested cancellation took effect is not retried.
    const int attemptLimit = job.isCancelRequested ? 0 : maxAttempts;
    switch (end) {
    case AttemptEnd::Failed:
        return withFailure(std::move(job), attempt, checkpoint, attemptLimit, wallNow);
    case AttemptEnd::NeverRan:
        return withNextAttempt(std::move(job), checkpoint, attemptText(attempt) + " was " + causeText(attempt.stopCause) + "; waits for another attempt");
    case AttemptEnd::Stopped:
        return withStop(std::move(job), attempt, checkpoint, wallNow);
    case AttemptEnd::MemberLost:
    case AttemptEnd::Finished:
        break;
    }
    return withMemberLoss(std::move(job), attempt, checkpoint, maxAttempts, wallNow);
}

}
