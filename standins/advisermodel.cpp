#include "advisermodel.h"

namespace sequoiastand
{

AdviceReply
answerAdviceRequest(AdviserModel &adviser, const AdviceRequest &request, const std::map<TargetId, TargetInstance> &instances, Duration validity, TimePoint now)
{
    ++adviser.requestCount;
    AdviceReply reply;
    reply.id = request.id;
    reply.isAnswered = true;
    reply.validity = validity;
    const auto allowed = adviser.allowed.find(request.step.workflow);
    for (const auto &target : request.targets) {
        const auto instance = instances.find(target);
        const bool isAllowed = allowed == adviser.allowed.end() || allowed->second.contains(target);
        if (instance == instances.end() || !isAllowed) {
            continue;
        }
        const auto text = "ticket-" + std::to_string(adviser.tickets.size() + 1);
        adviser.tickets.emplace(text, ModelTicket{request.step, instance->second, now + validity});
        reply.tickets.emplace(target, text);
    }
    return reply;
}

bool isTicketValid(const AdviserModel &adviser, const std::string &ticket, const StepId &step, const TargetInstance &instance, TimePoint now)
{
    const auto known = adviser.tickets.find(ticket);
    return known != adviser.tickets.end() && known->second.step == step && known->second.instance == instance && now <= known->second.validUntil;
}

}
