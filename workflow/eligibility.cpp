#include "eligibility.h"

#include "holdpacing.h"

#include <algorithm>
#include <map>

namespace sequoiastand
{

namespace
{

// Each target answers about once a second, so with this many targets some target of the zone answers about every tenth of a second. If none of them answers for
// `unresponsiveAfter`, the zone counts as unresponsive, long before each target has missed an answer. If idle targets answer less often, more targets are
// needed.
constexpr int minTargetsToJudgeZone = 8;
constexpr Duration unresponsiveAfter{450};

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
    const auto needed = minTargetsToJudgeZone * (pace.idlePause + pace.answerPeriod) / pace.answerPeriod;
    std::set<AvailabilityZoneId> unresponsive;
    for (const auto &[zone, contact] : contacts) {
        if (contact.targets >= needed && board.now - contact.newest > unresponsiveAfter) {
            unresponsive.insert(zone);
        }
    }
    return unresponsive;
}

bool isInService(const WorkflowBoard &board, const DomainTarget &target)
{
    const auto &registration = target.registration;
    return target.isRegistered && !registration.isDraining && !board.view.evacuated.contains(registration.availabilityZone);
}

bool acceptsWorkIfReachable(const WorkflowBoard &board, const DomainTarget &target)
{
    const bool isKnown = target.hasAnsweredOwner && target.answeredAt && board.now - *target.answeredAt <= holdPace(board).contactAge;
    const bool isAvoided = target.avoidUntil && board.now < *target.avoidUntil;
    const bool mayExecuteLateStart =
        std::ranges::any_of(board.lateStarts, [&](const LateStart &late) { return late.isStopWanted && late.target == target.registration.instance.target; });
    return isInService(board, target) && isKnown && !isAvoided && !mayExecuteLateStart && !target.hasStrays;
}

bool acceptsWork(const WorkflowBoard &board, const DomainTarget &target)
{
    return target.failures == 0 && !target.orderUnansweredAt && acceptsWorkIfReachable(board, target);
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
