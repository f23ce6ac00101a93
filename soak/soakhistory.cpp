#include "soakhistory.h"

#include "answerchecks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

namespace sequoiastand
{

namespace
{

using Faults = std::vector<std::string>;

long long millis(TimePoint time)
{
    return time.time_since_epoch().count();
}

bool isSuccess(const ObservedCall &call)
{
    return call.status >= 200 && call.status < 300;
}

/// True if the answer says that the workflow was not accepted and will never run.
bool isRejection(const ObservedCall &call)
{
    return !isUncertain(call) && !isSuccess(call);
}

bool isAccepted(const SoakHistory &history, const RequestId &workflow)
{
    return std::ranges::any_of(history.calls,
                               [&](const ObservedCall &call) { return call.action == CallerAction::Submit && call.workflow == workflow && isSuccess(call); });
}

/// True if no disturbance of the host or of all hosts overlaps the period.
bool isUndisturbed(const SoakHistory &history, const HostId &host, TimePoint from, TimePoint until)
{
    return std::ranges::none_of(history.disturbances, [&](const Disturbance &disturbance) {
        const bool isAffected = disturbance.host == HostId{} || host == HostId{} || disturbance.host == host;
        return isAffected && disturbance.from <= until && disturbance.until >= from;
    });
}

/// True if no disturbance at all overlaps the period.
bool isUndisturbed(const SoakHistory &history, TimePoint from, TimePoint until)
{
    return isUndisturbed(history, HostId{}, from, until);
}

void checkRejections(const SoakHistory &history, Faults &faults)
{
    for (const auto &[id, workflow] : history.workflows) {
        const auto isSubmission = [&](const ObservedCall &call) { return call.action == CallerAction::Submit && call.workflow == id; };
        const bool isRejected = std::ranges::all_of(history.calls, [&](const ObservedCall &call) { return !isSubmission(call) || isRejection(call); });
        const auto start = std::ranges::find(history.starts, id, [](const ObservedStart &started) { return started.task.step.workflow; });
        if (isRejected && start != history.starts.end()) {
            faults.push_back(
                absl::StrCat("REFUSED: ", toString(start->task), ": started at ", millis(start->at), " although every answer said that it will never run"));
        }
    }
}

void checkAccepted(const SoakHistory &history, Faults &faults)
{
    for (const auto &[id, workflow] : history.workflows) {
        if (!isAccepted(history, id)) {
            continue;
        }
        if (!workflow.endState) {
            faults.push_back(absl::StrCat("LOST: ", id.value, ": was accepted but is unknown at the end"));
        } else if (!hasEnded(*workflow.endState)) {
            faults.push_back(absl::StrCat("LOST: ", id.value, ": is still ", std::string(name(*workflow.endState)), " at the end"));
        } else if (!workflow.isLasting && !workflow.mayFail && !workflow.cancelledAt && *workflow.endState != WorkflowState::Completed) {
            faults.push_back(absl::StrCat("LOST: ", id.value, ": was feasible but is shown as ", std::string(name(*workflow.endState))));
        }
    }
}

/// Reports lasting work that has ended although nobody has cancelled it, or whose task was not started again after a run had ended.
void checkLastingWork(const SoakHistory &history, Faults &faults)
{
    for (const auto &[id, workflow] : history.workflows) {
        if (!workflow.isLasting || !isAccepted(history, id)) {
            continue;
        }
        const bool hasEndedByItself = workflow.endState == WorkflowState::Completed || workflow.endState == WorkflowState::Failed;
        if (hasEndedByItself) {
            faults.push_back(absl::StrCat("LOST: ", id.value, ": is shown as ", std::string(name(*workflow.endState)), " although its task lasts"));
        } else if (!workflow.cancelledAt && !workflow.wasAtWorkAtEnd) {
            faults.push_back(absl::StrCat("LOST: ", id.value, ": its task, which lasts, was not at work at the end"));
        }
    }
}

/// The end of the first disturbance that overlaps the period; empty if none does. Disturbances of single hosts count if `countsHosts` is true.
std::optional<TimePoint> disturbedUntil(const SoakHistory &history, TimePoint from, TimePoint until, bool countsHosts)
{
    const auto overlapping = std::ranges::find_if(history.disturbances, [&](const Disturbance &disturbance) {
        return (countsHosts || disturbance.host == HostId{}) && disturbance.from <= until && disturbance.until >= from;
    });
    return overlapping == history.disturbances.end() ? std::nullopt : std::optional(overlapping->until);
}

/// True if a part of the period is as long as the bound, without a disturbance in it and in the time before it that must be calm.
bool isTooLong(const SoakHistory &history, const Period &period, Duration bound, Duration calmBefore, bool countsHosts)
{
    TimePoint until = period.from + bound;
    while (until <= period.until) {
        const auto disturbed = disturbedUntil(history, until - bound - calmBefore, until, countsHosts);
        if (!disturbed) {
            return true;
        }
        until = *disturbed + calmBefore + bound + Duration{1};
    }
    return false;
}

void checkStandstills(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &standstill : history.standstills) {
        const Period counted{standstill.from + standstill.allowed, standstill.until};
        if (isTooLong(history, counted, bounds.standstill, bounds.calmBefore, true)
            || isTooLong(history, counted, bounds.standstillBesideFaultsOfHosts, bounds.calmBefore, false)) {
            faults.push_back(absl::StrCat("LOST: ",
                                          toString(standstill.task),
                                          ": has nothing running from ",
                                          millis(standstill.from),
                                          " to ",
                                          millis(standstill.until),
                                          " although it could run; organisation ",
                                          standstill.organisation.value,
                                          ", owner ",
                                          standstill.owner.value.empty() ? "none" : standstill.owner.value));
        }
    }
}

void checkStates(const SoakHistory &history, Faults &faults)
{
    for (const auto &call : history.calls) {
        if (call.state == WorkflowState::Completed && call.hasUnfinishedTasks) {
            faults.push_back(absl::StrCat("MIXED: ", call.workflow.value, ": shown as completed by ", call.host.value, " while a task had not finished"));
        }
    }
}

void checkKeys(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &removal : history.keysRemoved) {
        for (const auto &call : history.calls) {
            // A call that ended after the key was restored may be accepted, because a paused host may have handled it only then.
            const bool isOut = call.sentAt > removal.from + bounds.revoke && (!removal.until || call.endedAt < removal.until);
            if (call.key == removal.subject && isOut && isSuccess(call)) {
                faults.push_back(
                    absl::StrCat("CONFIG: ", call.host.value, " accepted a key at ", millis(call.sentAt), " that had been removed at ", millis(removal.from)));
            }
        }
    }
}

/// Reports each start of a task during a withdrawal that has lasted longer than the bound. `subjectOf` returns the zone or target that the start is checked
/// for.
template<typename SubjectOf>
void checkStartsIn(const SoakHistory &history,
                   const std::vector<Withdrawal> &withdrawals,
                   Duration bound,
                   const std::string &rule,
                   const SubjectOf &subjectOf,
                   const SoakBounds &bounds,
                   Faults &faults)
{
    for (const auto &start : history.starts) {
        for (const auto &withdrawal : withdrawals) {
            const bool isIn = start.at > withdrawal.from + bound && (!withdrawal.until || start.at < *withdrawal.until);
            const bool isCounted = !start.isLate && isUndisturbed(history, start.at - bounds.contact, start.at);
            if (subjectOf(start) == withdrawal.subject && isIn && isCounted) {
                faults.push_back(absl::StrCat(rule,
                                              ": ",
                                              toString(start.task),
                                              ": started at ",
                                              millis(start.at),
                                              ", ",
                                              withdrawal.subject,
                                              " was withdrawn at ",
                                              millis(withdrawal.from)));
            }
        }
    }
}

void checkCancellations(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &call : history.calls) {
        if (call.action != CallerAction::Cancel || !isCancelConfirmed(call)) {
            continue;
        }
        for (const auto &start : history.starts) {
            const bool isTooLate = start.task.step.workflow == call.workflow && start.at > *call.endedAt + bounds.cancellation;
            if (isTooLate && !start.isLate && isUndisturbed(history, start.at - bounds.contact, start.at)) {
                faults.push_back(absl::StrCat("UNASKED: ", toString(start.task), ": started at ", millis(start.at), ", cancelled at ", millis(*call.endedAt)));
            }
        }
    }
}

/// Reports each run of a cancelled workflow that goes on in a calm time for longer than the time in which it must be stopped.
void checkCancelledRuns(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &[run, cancelled] : history.cancelledRuns) {
        if (isTooLong(history, {cancelled.from, cancelled.until}, bounds.cancelledRuns, bounds.calmBefore, true)) {
            faults.push_back(absl::StrCat("UNASKED: ",
                                          toString(run.first),
                                          ": run ",
                                          run.second,
                                          " is at work on ",
                                          cancelled.target.value,
                                          " from ",
                                          millis(cancelled.from),
                                          " to ",
                                          millis(cancelled.until),
                                          " although its workflow is cancelled"));
        }
    }
}

void checkPlannedStops(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &stop : history.plannedStops) {
        const auto end = stop.endedAt.value_or(TimePoint::max());
        if (stop.endedAt && *stop.endedAt - stop.at > bounds.gracePeriod) {
            faults.push_back(absl::StrCat("STOP: ", stop.host.value, ": ended ", (*stop.endedAt - stop.at).count(), " ms after SIGTERM"));
        }
        if (stop.endedAt && stop.exitStatus != 0) {
            faults.push_back(absl::StrCat("STOP: ", stop.host.value, ": ended with status ", stop.exitStatus, " after SIGTERM"));
        }
        for (const auto &call : history.calls) {
            const bool wasOpen = call.host == stop.host && call.endedAt && call.sentAt <= end && *call.endedAt >= stop.at;
            const auto taken = call.endedAt.value_or(call.sentAt) - call.sentAt;
            const bool isCut = call.status == 0 && !call.isNotSent && taken > bounds.maxDroppedRequestAge && taken < bounds.callerTimeout;
            if (wasOpen && isCut && isUndisturbed(history, call.host, call.sentAt - bounds.contact, *call.endedAt)) {
                faults.push_back(absl::StrCat(
                    "LOST: ", call.host.value, ": dropped a request sent at ", millis(call.sentAt), " during its planned stop at ", millis(stop.at)));
            }
        }
    }
}

void checkReclaim(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &call : history.calls) {
        const auto workflow = history.workflows.find(call.workflow);
        const bool isAcceptance = call.action == CallerAction::Submit && isSuccess(call) && workflow != history.workflows.end();
        if (!isAcceptance || !workflow->second.isUrgent || workflow->second.cancelledAt) {
            continue;
        }
        const auto due = *call.endedAt + bounds.reclaim;
        const bool hasStarted =
            std::ranges::any_of(history.starts, [&](const ObservedStart &start) { return start.task.step.workflow == call.workflow && start.at <= due; });
        if (!hasStarted && isUndisturbed(history, call.sentAt - bounds.contact, due)) {
            faults.push_back(
                absl::StrCat("RECLAIM: ", call.workflow.value, ": accepted at ", millis(*call.endedAt), ", not started after ", bounds.reclaim.count(), " ms"));
        }
    }
}

/// Reports urgent work within the guarantee whose first step has not begun in time.
void checkUrgentWork(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &[id, workflow] : history.workflows) {
        const auto isAcceptance = [&](const ObservedCall &call) { return call.action == CallerAction::Submit && call.workflow == id && isSuccess(call); };
        const auto call = std::ranges::find_if(history.calls, isAcceptance);
        if (workflow.firstStepTasks == 0 || workflow.isBeyondGuarantee || workflow.mayFail || workflow.cancelledAt || call == history.calls.end()) {
            continue;
        }
        const auto due = *call->endedAt + bounds.urgentStart;
        std::set<int> begun;
        for (const auto &start : history.starts) {
            if (start.task.step == StepId{id, 0, 0} && start.at <= due) {
                begun.insert(start.task.index);
            }
        }
        if (std::ssize(begun) < workflow.firstStepTasks && isUndisturbed(history, call->sentAt - bounds.calmBefore, due)) {
            faults.push_back(absl::StrCat("RECLAIM: ",
                                          id.value,
                                          ": accepted at ",
                                          millis(*call->endedAt),
                                          ", ",
                                          begun.size(),
                                          " of ",
                                          workflow.firstStepTasks,
                                          " tasks begun after ",
                                          bounds.urgentStart.count(),
                                          " ms"));
        }
    }
}

}

bool isUncertain(const ObservedCall &call)
{
    constexpr int statusBadGateway = 502;
    constexpr int statusGatewayTimeout = 504;
    return !call.isNotSent && (call.status == 0 || call.status == statusBadGateway || call.status == statusGatewayTimeout);
}

bool isCancelConfirmed(const ObservedCall &call)
{
    constexpr int statusGone = 410;
    return isSuccess(call) || call.status == statusGone;
}

std::vector<std::string> checkHistory(const SoakHistory &history, const SoakBounds &bounds)
{
    Faults faults = history.targetViolations;
    checkRejections(history, faults);
    checkAccepted(history, faults);
    checkLastingWork(history, faults);
    checkStandstills(history, bounds, faults);
    checkStates(history, faults);
    checkKeys(history, bounds, faults);
    const auto zoneOf = [](const ObservedStart &start) { return start.availabilityZone.value; };
    const auto targetOf = [](const ObservedStart &start) { return start.target.value; };
    checkStartsIn(history, history.zonesOut, bounds.evacuation, "EVAC", zoneOf, bounds, faults);
    checkStartsIn(history, history.targetsLeaving, bounds.drain, "DRAIN", targetOf, bounds, faults);
    checkCancellations(history, bounds, faults);
    checkCancelledRuns(history, bounds, faults);
    checkPlannedStops(history, bounds, faults);
    std::ranges::copy(checkAnswers(history, bounds), std::back_inserter(faults));
    checkReclaim(history, bounds, faults);
    checkUrgentWork(history, bounds, faults);
    for (const auto &end : history.unexpectedExits) {
        faults.push_back(absl::StrCat("END: ", end.host.value, ": ended by itself with status ", end.exitStatus, " at ", millis(end.at)));
    }
    for (const auto &host : history.hostsNotReadyAtEnd) {
        faults.push_back(absl::StrCat("READY: ", host.value, ": is not ready although all faults have ended"));
    }
    return faults;
}

}
