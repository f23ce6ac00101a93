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

/// Asks the adviser which of the targets may run the tasks of the step.
struct AdviceRequest
{
    CallId id;
    StepId step;
    std::vector<TargetId> targets; ///< The adviser takes 100 at most.
    Duration timeout{0};

    friend bool operator==(const AdviceRequest &, const AdviceRequest &) = default;
};

/// The adviser's answer. Targets without a ticket may not run the step.
struct AdviceReply
{
    CallId id;
    bool isAnswered = false; ///< False: nothing is known; `error` says why.
    std::map<TargetId, std::string> tickets;
    Duration validity{0}; ///< Of the tickets, from when the answer was made.
    std::string error;

    friend bool operator==(const AdviceReply &, const AdviceReply &) = default;
};

/// A target's permission to run all tasks of one step; a start has to carry it.
struct AdviceTicket
{
    std::string text;
    TimePoint validUntil; ///< Counted from when the question was sent, so that it does not outlast the adviser's own count.

    friend bool operator==(const AdviceTicket &, const AdviceTicket &) = default;
};

/// What the adviser has said of one step. Its verdict on a life of a target never changes; only tickets expire.
struct StepAdvice
{
    std::map<TargetInstance, AdviceTicket> allowed;
    std::set<TargetInstance> refused;

    friend bool operator==(const StepAdvice &, const StepAdvice &) = default;
};

/// The question under way.
struct AdviceCall
{
    CallId id;
    StepId step;
    std::vector<TargetInstance> targets;
    TimePoint sentAt;

    friend bool operator==(const AdviceCall &, const AdviceCall &) = default;
};

/// All that this owner has heard from the adviser. One question is under way at a time: the adviser handles a caller's questions one by one, and what is asked last
/// can be chosen best.
struct AdviceState
{
    std::map<StepId, StepAdvice> steps;
    std::optional<AdviceCall> call;
    int failures = 0; ///< Questions without an answer in a row.
    TimePoint retryAt;

    friend bool operator==(const AdviceState &, const AdviceState &) = default;
};

/// The ticket for the step on that life of a target if it is still valid at that time, or null.
const AdviceTicket *findTicket(const AdviceState &book, const StepId &step, const TargetInstance &instance, TimePoint at);

}
