#include "attemptreports.h"

#include "attemptcalls.h"
#include "jobrecord.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Time that this host has to acquire a lapsed lease again, for example after a pause of its process, before the target's tasks count as lost.
constexpr Duration reacquisitionPeriod{2'000};
/// Time for which targets keep tasks after the lease of their holder has expired.
constexpr Duration taskRetentionPeriod{600'000};
/// Time within which targets must report every member of an adopted gang. The leases of a dead owner last 6 s, and acquiring them takes about 1 s.
constexpr Duration adoptionTimeout{10'000};

const ReportedTask *findTask(const std::vector<ReportedTask> &tasks, const AttemptId &attempt, int member)
{
    const auto found = std::ranges::find_if(tasks, [&](const ReportedTask &task) { return task.attempt == attempt && task.member == member; });
    return found == tasks.end() ? nullptr : &*found;
}

AttemptMember endedMember(AttemptMember member, TimePoint now)
{
    member.step = MemberStep::Ended;
    member.callInFlight.reset();
    member.changedAt = now;
    return member;
}

AttemptMember lostMember(AttemptMember member, TimePoint now)
{
    member.isLost = member.mayHaveRun;
    return endedMember(std::move(member), now);
}

/// Work covered by the checkpoint of the whole gang: the least work that the checkpoint of any member covers.
Duration gangCheckpoint(const Attempt &attempt)
{
    if (attempt.members.empty()) {
        return Duration{0};
    }
    return std::ranges::min_element(attempt.members, {}, &AttemptMember::checkpointedWork)->checkpointedWork;
}

void applyReport(AttemptEdits &work, const Target &target, const AttemptId &id)
{
    const Attempt *present = readAttempt(work, id);
    if (present == nullptr) {
        return;
    }
    const auto updated = [&](const AttemptMember &member) {
        const bool isFresh = !member.callInFlight && target.reportRequestedAt && *target.reportRequestedAt > member.changedAt;
        return withReportedTask(member, findTask(target.tasks, id, member.index), isFresh, work.board.now);
    };
    const bool changes =
        std::ranges::any_of(present->members, [&](const AttemptMember &member) { return member.target == target.id && updated(member) != member; });
    if (!changes) {
        return;
    }
    Attempt *attempt = editAttempt(work, id);
    for (AttemptMember &member : attempt->members) {
        if (member.target == target.id) {
            member = updated(member);
        }
    }
    attempt->checkpointedWork = std::max(attempt->checkpointedWork, gangCheckpoint(*attempt));
}

AttemptMember adoptedMember(const TargetId &target, const ReportedTask &task, TimePoint now)
{
    AttemptMember member;
    member.index = task.member;
    member.target = target;
    member.accelerators = task.accelerators;
    member.step = MemberStep::Running;
    member.changedAt = now;
    member.mayHaveRun = true;
    return withReportedTask(std::move(member), &task, true, now);
}

void adopt(AttemptEdits &work, const TargetId &target, const ReportedTask &task)
{
    Attempt *attempt = editAttempt(work, task.attempt);
    if (attempt == nullptr) {
        Attempt adopted;
        adopted.id = task.attempt;
        adopted.step = AttemptStep::Starting;
        adopted.isAdopted = true;
        adopted.stepDeadline = work.board.now + adoptionTimeout;
        count(work.board.counters, "attemptsAdopted", work.board.self.availabilityZone.value);
        addAttempt(work, std::move(adopted));
        attempt = editAttempt(work, task.attempt);
    }
    addMember(work, *attempt, adoptedMember(target, task, work.board.now));
    attempt->checkpointedWork = gangCheckpoint(*attempt);
}

void adoptOrStopTask(AttemptEdits &work, const TargetId &target, const ReportedTask &task)
{
    const Job *job = work.board.jobs.find(task.attempt.job);
    const Attempt *present = readAttempt(work, task.attempt);
    const bool isKnown =
        present != nullptr && (!present->isAdopted || std::ranges::find(present->members, task.member, &AttemptMember::index) != present->members.end());
    if (job == nullptr || isKnown) {
        return;
    }
    const Attempt *other = attemptOf(work.board, task.attempt.job);
    const bool isReplaced = other != nullptr && other->id != task.attempt;
    if (isReplaced || isStaleAttempt(*job, task.attempt, work.board.self.availabilityZone)) {
        if (!hasEnded(task.state)) {
            sendStrayStop(work, target, task);
        }
        return;
    }
    // A reservation of the previous owner is not adopted, because it expires by itself.
    if (task.state != TaskState::Reserved) {
        adopt(work, target, task);
    }
}

AttemptMember withLapsedLease(AttemptMember member, bool isIdempotent, TimePoint now)
{
    if (!member.mayHaveRun || isIdempotent) {
        return lostMember(std::move(member), now);
    }
    if (member.step != MemberStep::InDoubt) {
        member.step = MemberStep::InDoubt;
        member.callInFlight.reset();
        member.changedAt = now;
    } else if (now - member.changedAt >= taskRetentionPeriod) {
        return lostMember(std::move(member), now);
    }
    return member;
}

}

bool isLeaseLapsed(const Blackboard &board, const TargetId &target)
{
    const TargetLease *lease = board.leases.find(target);
    if (lease == nullptr) {
        return true;
    }
    return lease->state != LeaseState::Held && board.now - lease->lapsedAt >= reacquisitionPeriod;
}

AttemptMember withReportedTask(AttemptMember member, const ReportedTask *task, bool isFresh, TimePoint now)
{
    if (member.step == MemberStep::Ended) {
        return member;
    }
    if (task == nullptr) {
        return isFresh ? lostMember(std::move(member), now) : member;
    }
    member.checkpointedWork = std::max(member.checkpointedWork, task->checkpointedWork);
    if (hasEnded(task->state)) {
        member.mayHaveRun = true;
        member.end = task->state;
        member.result = task->result;
        return endedMember(std::move(member), now);
    }
    if (task->state == TaskState::Running) {
        member.mayHaveRun = true;
        if (member.step == MemberStep::Starting || member.step == MemberStep::InDoubt) {
            member.step = MemberStep::Running;
            member.callInFlight.reset();
            member.changedAt = now;
        }
        return member;
    }
    if (member.step == MemberStep::InDoubt && isFresh) {
        // The target still holds the reservation, so the start in doubt had no effect.
        member.step = MemberStep::Reserved;
        member.mayHaveRun = false;
        member.changedAt = now;
    }
    return member;
}

void applyReports(AttemptEdits &work)
{
    const Blackboard &board = work.board;
    for (const TargetId &id : board.targets.changes()) {
        const Target *target = board.targets.find(id);
        const TargetLease *lease = board.leases.find(id);
        if (target == nullptr || lease == nullptr || !isUsable(*lease, board.now)) {
            continue;
        }
        const auto entry = board.attemptIndex.byTarget.find(id);
        const std::set<AttemptId> attempts = entry == board.attemptIndex.byTarget.end() ? std::set<AttemptId>{} : entry->second;
        for (const AttemptId &attempt : attempts) {
            applyReport(work, *target, attempt);
        }
        for (const ReportedTask &task : target->tasks) {
            adoptOrStopTask(work, id, task);
        }
    }
}

void applyLapsedLeases(AttemptEdits &work, const AttemptId &id)
{
    const Blackboard &board = work.board;
    const Attempt *present = readAttempt(work, id);
    const Job *job = board.jobs.find(id.job);
    if (present == nullptr) {
        return;
    }
    const auto isAffected = [&](const AttemptMember &member) { return member.step != MemberStep::Ended && isLeaseLapsed(board, member.target); };
    if (std::ranges::none_of(present->members, isAffected)) {
        return;
    }
    const bool isIdempotent = job != nullptr && job->specification.isIdempotent;
    for (AttemptMember &member : editAttempt(work, id)->members) {
        if (isAffected(member)) {
            member = withLapsedLease(std::move(member), isIdempotent, board.now);
        }
    }
}

}
