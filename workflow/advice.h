#pragma once

#include "core/event.h"
#include "core/workflow.h"
#include "core/workflowprogress.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

/// A message that asks the adviser which of the targets may run the tasks of the step.
struct AdviceRequest
{
    CallId id;
    StepId step;
    std::vector<TargetId> targets; ///< The adviser accepts at most 100 targets.
    Duration timeout{0};

    friend bool operator==(const AdviceRequest &, const AdviceRequest &) = default;
};

/// The outcome of a question to the adviser. Targets without a ticket may not run the step.
struct AdviceReply
{
    CallId id;
    bool isAnswered = false; ///< False if the adviser has not answered; `error` says why.
    std::map<TargetId, std::string> tickets;
    Duration validity{0}; ///< Validity of the tickets, counted from when the adviser made the answer.
    std::string error;

    friend bool operator==(const AdviceReply &, const AdviceReply &) = default;
};

/// Permits a target to run any task of one step. Each start order has to contain it.
struct AdviceTicket
{
    std::string text;
    TimePoint validUntil; ///< End of the validity, counted from when the question was sent, so that it is never after the adviser's own limit.

    friend bool operator==(const AdviceTicket &, const AdviceTicket &) = default;
};

/// The adviser's decisions on one step. Its decision on a target instance never changes; only tickets expire.
struct StepAdvice
{
    std::map<TargetInstance, AdviceTicket> allowed;
    std::set<TargetInstance> refused;

    friend bool operator==(const StepAdvice &, const StepAdvice &) = default;
};

/// A question that the adviser has not answered yet.
struct AdviceCall
{
    CallId id;
    StepId step;
    std::vector<TargetInstance> targets;
    TimePoint sentAt;

    friend bool operator==(const AdviceCall &, const AdviceCall &) = default;
};

/// The adviser's decisions that this owner knows, and the question under way. Only one question is under way at a time, because the adviser handles the
/// questions of a caller one by one, and the later a question is sent, the better its targets can be chosen.
struct AdviceState
{
    std::map<StepId, StepAdvice> steps;
    std::optional<AdviceCall> call;
    int failures = 0; ///< Number of consecutive questions without an answer.
    TimePoint retryAt;

    friend bool operator==(const AdviceState &, const AdviceState &) = default;
};

/// The ticket for the step on this instance of a target, or null if there is none that is still valid at the given time.
const AdviceTicket *findTicket(const AdviceState &book, const StepId &step, const TargetInstance &instance, TimePoint at);

}
