#include "eligibility.h"

#include "holdpacing.h"

#include <algorithm>
#include <map>

namespace sequoiastand
{

namespace
{

// If no target of a zone answers for `unresponsiveAfter`, the zone counts as unresponsive, long before each target has missed an answer, provided that so many
// answers were to be expected in this time.
constexpr double minExpectedAnswers = 3.5;
constexpr Duration unresponsiveAfter{450};

/// The probability that a hold that was sent this long ago is answered within the last `unresponsiveAfter`. Holds wait for half of `longestWait` at least.
double expectedAnswers(Duration age, Duration longestWait)
{
    const auto shortestWait = longestWait / 2;
    const auto span = std::min(age, longestWait) - std::max(age - unresponsiveAfter, shortestWait);
    return std::max(0.0, static_cast<double>(span.count()) / static_cast<double>((longestWait - shortestWait).count()));
}

}

std::set<AvailabilityZoneId> unresponsiveZones(const WorkflowBoard &board)
{
    struct Contact
    {
        double expected = 0;
        TimePoint newest;
    };
    std::map<AvailabilityZoneId, Contact> contacts;
    for (const auto &[id, target] : board.targets.rows()) {
        if (!target.isRegistered || !target.answeredAt) {
            continue;
        }
        auto &contact = contacts[target.registration.availabilityZone];
        contact.newest = std::max(contact.newest, *target.answeredAt);
        // A target that is not asked does not answer. One that has missed an answer is judged by itself.
        if (target.hold && target.hasAnsweredOwner && target.failures == 0) {
            contact.expected += expectedAnswers(board.now - target.holdSentAt, board.self.limits.holdWait);
        }
    }
    std::set<AvailabilityZoneId> unresponsive;
    for (const auto &[zone, contact] : contacts) {
        if (contact.expected >= minExpectedAnswers && board.now - contact.newest > unresponsiveAfter) {
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
