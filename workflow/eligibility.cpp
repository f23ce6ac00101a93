#include "eligibility.h"

#include "holdpacing.h"

#include <algorithm>
#include <map>

namespace sequoiastand
{

namespace
{

// With this many targets, each answering once a second or so, some target of a zone answers every tenth of a second. Silence of all of them for the time below
// means that the zone cannot be reached, long before each of them has missed an answer. Where idle targets answer less often, it takes more of them.
constexpr int talkativeTargets = 8;
constexpr Duration zoneSilence{450};

}

std::set<AvailabilityZoneId> unresponsiveZones(const WorkflowBoard &board)
{
    struct Contact
    {
        int targets = 0;
        TimePoint newest;
    };
    std::map<AvailabilityZoneId, Contact> contacts;
    for (const auto &[id, target] : board.targets.rows()) {
        if (target.isRegistered && target.answeredAt) {
            auto &contact = contacts[target.registration.availabilityZone];
            ++contact.targets;
            contact.newest = std::max(contact.newest, *target.answeredAt);
        }
    }
    const auto pace = holdPace(board);
    const auto needed = talkativeTargets * (pace.idlePause + pace.answerPeriod) / pace.answerPeriod;
    std::set<AvailabilityZoneId> silent;
    for (const auto &[zone, contact] : contacts) {
        if (contact.targets >= needed && board.now - contact.newest > zoneSilence) {
            silent.insert(zone);
        }
    }
    return silent;
}

bool acceptsWork(const WorkflowBoard &board, const DomainTarget &target)
{
    const auto &registration = target.registration;
    const bool isInService = target.isRegistered && !registration.isDraining && !board.view.evacuated.contains(registration.availabilityZone);
    const bool isInContact = target.hasAnsweredOwner && target.failures == 0 && !target.orderUnansweredAt && target.answeredAt
                             && board.now - *target.answeredAt <= holdPace(board).contactAge;
    const bool isAvoided = target.avoidUntil && board.now < *target.avoidUntil;
    return isInService && isInContact && !isAvoided && !target.hasStrays;
}

Duration objectiveOf(const Workflow &workflow, const Queue &queue)
{
    const auto chain = criticalPathLength(workflow.specification);
    return Duration{static_cast<Duration::rep>(queue.stretch * static_cast<double>(chain.count()))} + queue.latencyTarget;
}

const Queue &queueOf(const WorkflowBoard &board, const Workflow &workflow)
{
    const auto &queues = board.view.configuration.queues;
    const auto found = queues.find(workflow.queue.id);
    return found == queues.end() ? workflow.queue : found->second;
}

}
