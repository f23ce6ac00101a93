#pragma once

#include "core/workflow.h"
#include "workflow/advice.h"

#include <map>
#include <set>
#include <string>

namespace sequoiastand
{

/// A ticket that the adviser has given out.
struct ModelTicket
{
    StepId step;
    TargetInstance instance;
    TimePoint validUntil;

    friend bool operator==(const ModelTicket &, const ModelTicket &) = default;
};

/// The service that knows which targets a queue's policy allows.
struct AdviserModel
{
    std::map<RequestId, std::set<TargetId>> allowed; ///< Targets that may run a workflow's steps; a workflow that is not named may use all.
    std::map<std::string, ModelTicket> tickets;
    int requestCount = 0;
};

/// Answers a question as it stands at that time. Targets that are not in `lives` get no ticket.
AdviceReply
answerAdviceRequest(AdviserModel &adviser, const AdviceRequest &request, const std::map<TargetId, TargetInstance> &lives, Duration validity, TimePoint now);

/// True if a start with that ticket may run the step on that life of a target.
bool isTicketValid(const AdviserModel &adviser, const std::string &ticket, const StepId &step, const TargetInstance &instance, TimePoint now);

}
