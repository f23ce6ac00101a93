#include "answerchecks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace sequoiastand
{

namespace
{

using Faults = std::vector<std::string>;

long long millis(TimePoint time)
{
    return time.time_since_epoch().count();
}

/// True if the host had to answer a request that was open in the period.
bool isAnswerDue(const SoakHistory &history, const HostId &host, TimePoint from, TimePoint until)
{
    return std::ranges::none_of(history.disturbances, [&](const Disturbance &disturbance) {
        const bool isAffected = disturbance.host == HostId{} || disturbance.host == host;
        return disturbance.excusesAnswers && isAffected && disturbance.from <= until && disturbance.until >= from;
    });
}

/// True if an answer may have arrived in time while the soak itself did not run.
bool mayHaveArrivedUnseen(const SoakHistory &history, const SoakBounds &bounds, TimePoint deadline)
{
    return std::ranges::any_of(history.observerGaps, [&](const Period &gap) { return gap.from <= deadline && gap.until + bounds.answerPassage >= deadline; });
}

/// Reports each request of a caller who has waited for the whole time that it gave the host, and got neither an answer nor a refusal.
void checkUnanswered(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &call : history.calls) {
        const bool isUnanswered = call.status == 0 && !call.isNotSent && call.endedAt && *call.endedAt - call.sentAt >= bounds.callerTimeout;
        const bool isSeen = !mayHaveArrivedUnseen(history, bounds, call.sentAt + bounds.callerTimeout);
        if (isUnanswered && isSeen && isAnswerDue(history, call.host, call.sentAt, *call.endedAt)) {
            faults.push_back(absl::StrCat("UNANSWERED: ",
                                          call.workflow.value,
                                          ": ",
                                          std::string(name(call.action)),
                                          " sent to ",
                                          call.host.value,
                                          " at ",
                                          millis(call.sentAt),
                                          " had neither an answer nor a refusal at ",
                                          millis(*call.endedAt)));
        }
    }
}

/// Reports each request that was cut off by a host that was running or stopping as planned. A planned stop may cut off a request that has just arrived and that
/// the host has not read.
void checkCutRequests(const SoakHistory &history, const SoakBounds &bounds, Faults &faults)
{
    for (const auto &cut : history.cutRequests) {
        const bool isStopping = std::ranges::any_of(history.plannedStops, [&](const PlannedStop &stop) {
            return stop.host == cut.host && stop.at <= cut.cutAt && stop.endedAt.value_or(TimePoint::max()) >= cut.arrivedAt;
        });
        const bool mayBeDropped = isStopping && !cut.wasRead && cut.cutAt - cut.arrivedAt <= bounds.maxDroppedRequestAge;
        if (!mayBeDropped && isAnswerDue(history, cut.host, cut.arrivedAt, cut.cutAt)) {
            faults.push_back(absl::StrCat("LOST: ",
                                          cut.host.value,
                                          ": ended the connection of \"",
                                          cut.request,
                                          "\" at ",
                                          millis(cut.cutAt),
                                          " without an answer; it had arrived at ",
                                          millis(cut.arrivedAt),
                                          cut.wasRead ? " and was read" : " and was not read",
                                          isStopping ? ", during a planned stop" : ""));
        }
    }
}

}

std::vector<std::string> checkAnswers(const SoakHistory &history, const SoakBounds &bounds)
{
    Faults faults;
    checkUnanswered(history, bounds, faults);
    checkCutRequests(history, bounds, faults);
    return faults;
}

}
