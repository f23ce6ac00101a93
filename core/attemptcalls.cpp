#include "attemptcalls.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Time after a call's own timeout until the core treats the call's answer as lost. The front end reports the timeout before this time has passed.
constexpr Duration callExpiryGrace{500};

/// Makes a call under the current lease; returns nothing if the lease may not be used.
std::optional<TargetCall> makeCall(Blackboard &board, const TargetId &targetId, TargetRequest request)
{
    const Target *target = board.targets.find(targetId);
    const TargetLease *lease = board.leases.find(targetId);
    if (target == nullptr || lease == nullptr || !isUsable(*lease, board.now)) {
        return std::nullopt;
    }
    TargetCall call;
    call.id = takeCallId(board);
    call.target = targetId;
    call.address = target->address;
    call.host = board.self.id;
    call.epoch = lease->epoch;
    call.request = std::move(request);
    call.timeout = board.self.limits.targetCallTimeout;
    return call;
}

}

void sendMemberCall(AttemptEdits &work, const Attempt &attempt, AttemptMember &member, TargetRequest request)
{
    std::optional<TargetCall> call = makeCall(work.board, member.target, std::move(request));
    if (!call) {
        return;
    }
    member.callInFlight = call->id;
    member.changedAt = work.board.now;
    work.board.attemptIndex.calls.insert_or_assign(call->id, MemberRef{attempt.id, member.index});
    work.board.outbox.emplace_back(std::move(*call));
}

void sendThrottle(AttemptEdits &work, const Attempt &attempt, int percent)
{
    for (const AttemptMember &member : attempt.members) {
        if (auto call = makeCall(work.board, member.target, ThrottleTask{attempt.id, member.index, percent})) {
            work.board.outbox.emplace_back(std::move(*call));
        }
    }
}

void sendStrayStop(AttemptEdits &work, const TargetId &target, const ReportedTask &task)
{
    auto &stops = work.board.attemptIndex.strayStops;
    const MemberRef ref{task.attempt, task.member};
    const bool isInProgress = std::ranges::any_of(stops, [&ref](const auto &entry) { return entry.second == ref; });
    if (isInProgress) {
        return;
    }
    if (auto call = makeCall(work.board, target, StopTask{task.attempt, task.member, false})) {
        stops.emplace(call->id, ref);
        count(work.board.counters, "strayTasksStopped", work.board.self.availabilityZone.value);
        work.board.outbox.emplace_back(std::move(*call));
    }
}

AttemptMember withOutcome(AttemptMember member, TargetOutcome outcome, TimePoint now)
{
    member.callInFlight.reset();
    member.changedAt = now;
    const bool isAccepted = outcome == TargetOutcome::Accepted;
    const bool isInDoubt = outcome == TargetOutcome::Unknown;
    switch (member.step) {
    case MemberStep::Reserving:
        member.step = isAccepted ? MemberStep::Reserved : isInDoubt ? MemberStep::InDoubt : MemberStep::Ended;
        break;
    case MemberStep::Starting:
        if (isAccepted) {
            member.step = MemberStep::Running;
        } else if (isInDoubt) {
            member.step = MemberStep::InDoubt;
        } else {
            // A start call that was not sent may be sent again while the reservation lasts; a start that the target refused is not repeated.
            member.step = outcome == TargetOutcome::NotSent ? MemberStep::Reserved : MemberStep::Ended;
            member.mayHaveRun = false;
        }
        break;
    case MemberStep::Stopping:
        // A target that accepts a stop drops a reservation at once, but reports the end of a task later.
        if (isAccepted && !member.mayHaveRun) {
            member.step = MemberStep::Ended;
        }
        break;
    case MemberStep::Reserved:
    case MemberStep::InDoubt:
    case MemberStep::Running:
    case MemberStep::Ended:
        break;
    }
    return member;
}

void applyMemberReplies(AttemptEdits &work)
{
    AttemptIndex &index = work.board.attemptIndex;
    for (const Event &event : work.board.inbox) {
        const auto *reply = std::get_if<TargetReply>(&event);
        if (reply == nullptr) {
            continue;
        }
        index.strayStops.erase(reply->id);
        const auto call = index.calls.find(reply->id);
        if (call == index.calls.end()) {
            continue;
        }
        const MemberRef ref = call->second;
        index.calls.erase(call);
        Attempt *attempt = editAttempt(work, ref.attempt);
        AttemptMember *member = attempt == nullptr ? nullptr : findMember(*attempt, ref.member);
        if (member != nullptr && member->callInFlight == reply->id) {
            *member = withOutcome(std::move(*member), reply->outcome, work.board.now);
            if (reply->outcome != TargetOutcome::Accepted) {
                count(work.board.counters,
                      "memberCallsFailed",
                      reply->outcome == TargetOutcome::Refused   ? "refused"
                      : reply->outcome == TargetOutcome::NotSent ? "notSent"
                                                                 : "answerLost");
            }
        }
    }
}

void expireMemberCalls(AttemptEdits &work, const AttemptId &id)
{
    const TimePoint oldest = work.board.now - work.board.self.limits.targetCallTimeout - callExpiryGrace;
    const auto isExpired = [oldest](const AttemptMember &member) { return member.callInFlight && member.changedAt <= oldest; };
    const Attempt *present = readAttempt(work, id);
    if (present == nullptr || std::ranges::none_of(present->members, isExpired)) {
        return;
    }
    for (AttemptMember &member : editAttempt(work, id)->members) {
        if (isExpired(member)) {
            work.board.attemptIndex.calls.erase(*member.callInFlight);
            member = withOutcome(std::move(member), TargetOutcome::Unknown, work.board.now);
            count(work.board.counters, "memberCallsFailed", "silent");
        }
    }
}

}
