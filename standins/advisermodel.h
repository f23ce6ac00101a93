#pragma once

#include "core/workflow.h"
#include "workflow/advice.h"

#include <map>
#include <set>
#include <string>

namespace sequoiastand
{

/// A ticket that the adviser has issued.
struct ModelTicket
{
    StepId step;
    TargetInstance instance;
    TimePoint validUntil;

    friend bool operator==(const ModelTicket &, const ModelTicket &) = default;
};

/// Model of the adviser, the service that decides which targets a queue's policy allows.
struct AdviserModel
{
    std::map<RequestId, std::set<TargetId>> allowed; ///< Targets that may run a workflow's steps; a workflow without an entry may use all targets.
    std::map<std::string, ModelTicket> tickets;
    int requestCount = 0;
};

/// Answers an advice request at the given time. Targets without an entry in `instances` get no ticket.
AdviceReply
answerAdviceRequest(AdviserModel &adviser, const AdviceRequest &request, const std::map<TargetId, TargetInstance> &instances, Duration validity, TimePoint now);

/// True if the ticket permits a start of the step on that instance of the target.
bool isTicketValid(const AdviserModel &adviser, const std::string &ticket, const StepId &step, const TargetInstance &instance, TimePoint now);

}
