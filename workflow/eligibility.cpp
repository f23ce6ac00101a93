#include "eligibility.h"

namespace sequoiastand
{

bool takesWork(const WorkflowBoard &board, const DomainTarget &target)
{
    const auto &registration = target.registration;
    const bool isInService = target.isRegistered && !registration.isDraining && !board.view.evacuated.contains(registration.availabilityZone);
    const bool isInContact = target.isFenced && target.failures == 0 && target.answeredAt && board.now - *target.answeredAt <= board.self.limits.contactAge;
    const bool isAvoided = target.avoidUntil && board.now < *target.avoidUntil;
    return isInService && isInContact && !isAvoided && !target.hasStrays;
}

const Queue &queueOf(const WorkflowBoard &board, const Workflow &workflow)
{
    const auto &queues = board.view.configuration.queues;
    const auto found = queues.find(workflow.queue.id);
    return found == queues.end() ? workflow.queue : found->second;
}

}
