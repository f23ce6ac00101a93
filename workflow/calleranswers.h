#pragma once

#include "callerchecks.h"
#include "workflowboard.h"

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastand
{

/// Retry delay for callers that another host can serve, or that may send the request again at once. Zero is reserved for refusals where a retry cannot succeed.
constexpr Duration retryAtOnce{1};

/// Name of the step in log lines and counters.
std::string_view name(CallerStep step);

/// The newest time at which the known configuration is known to have been in force, whether or not the owner and the evacuations were known as well.
std::optional<TimePoint> configurationProvenAt(const ConfigurationView &view);

/// True if the configuration alone has been proven recently enough to serve callers.
bool isConfigurationFresh(const WorkflowBoard &board);

/// Latest time of the call's answer, so that it reaches the caller before the deadline in spite of this host's present timer lag.
TimePoint latestAnswer(const WorkflowBoard &board, const OpenCallerCall &call);

/// Inserts or replaces the row of the call.
void putCall(WorkflowBoard &board, OpenCallerCall call);

/// Answers the call, which ends it. `detail` is added to the log entry.
void answer(WorkflowBoard &board, const OpenCallerCall &call, CallerAnswer result, const std::string &detail = {});

/// What the stored progress shows of a workflow that has not ended, for the log: finished tasks and recorded runs. Empty if it has ended.
std::string storedState(const WorkflowProgress &progress);

/// Refuses a call that this host cannot serve now. If another host is ready, the caller is told to retry at once, otherwise after a delay. If it is not known
/// whether another host is ready, the other hosts are asked first, and the call waits in step `Refusing` until they have answered or latestAnswer() has passed.
void refuseUnavailable(WorkflowBoard &board, OpenCallerCall call, Refusal refusal);

/// Answers a call in step `Refusing` from what is known of the other hosts.
void answerRefusal(WorkflowBoard &board, const OpenCallerCall &call);

/// Refuses the call for the reason. If a write of the call may have taken effect, or the reason is a timeout, the answer says that the outcome is unknown.
void refuse(WorkflowBoard &board, const OpenCallerCall &call, RefusalReason reason, const std::string &message);

/// The call's queue and organisation; refuses the call and gives no value if the configuration does not allow it.
std::optional<RoutedCall> route(WorkflowBoard &board, const OpenCallerCall &call);

}
