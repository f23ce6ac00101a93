#include "advicequestion.h"

#include "organisationcap.h"

#include "packing.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace sequoiastand
{

namespace
{

// Each target in a question makes the adviser's answer slower. The objectives of queues with an adviser allow for one question of this size for each step.
constexpr std::size_t targetsPerQuestion = 30;

/// Upper bound for the waiting tasks that fit on the targets with a valid ticket.
int placeableTasks(const PlacementInput &input, const WaitingStep &waiting)
{
    return std::transform_reduce(input.targets.begin(), input.targets.end(), 0, std::plus{}, [&](const PlacementTarget &target) {
        return isAllowed(waiting, target) ? std::min(tasksThatFit(waiting.specification.perTask, target.free), static_cast<int>(waiting.tasks.size())) : 0;
    });
}

/// True if asking about the target is worthwhile. An expired ticket is renewed only if the step could start soon, because a ticket is valid only for seconds. A
/// question about a new target always pays off, because the decision itself does not expire.
bool isWorthAsking(const WaitingStep &waiting, const PlacementTarget &target)
{
    const bool hasExpired = waiting.advice->expired.contains(target.id);
    return !hasExpired || waiting.priority == 0 || tasksThatFit(waiting.specification.perTask, target.freeAfterStops) > 0;
}

bool hasRoomOnAny(const PlacementInput &input, const WaitingStep &waiting, const std::vector<TargetId> &targets)
{
    return std::ranges::any_of(input.targets, [&](const PlacementTarget &target) {
        return tasksThatFit(waiting.specification.perTask, target.free) > 0 && std::ranges::find(targets, target.id) != targets.end();
    });
}

std::vector<TargetId> targetsToAsk(const PlacementInput &input, const WaitingStep &waiting)
{
    const auto &advice = *waiting.advice;
    std::vector<const PlacementTarget *> candidates;
    for (const auto &target : input.targets) {
        const bool isKnown = advice.allowed.contains(target.id) || advice.refused.contains(target.id);
        if (!isKnown && isWorthAsking(waiting, target) && isEligible(waiting, target) && tasksThatFit(waiting.specification.perTask, target.capacity) > 0) {
            candidates.push_back(&target);
        }
    }
    std::ranges::stable_sort(candidates, {}, [&](const PlacementTarget *target) {
        const bool hasRoom = tasksThatFit(waiting.specification.perTask, target->free) > 0;
        return std::tuple(!advice.expired.contains(target->id), !hasRoom, target->isSuspect, -target->free.accelerators);
    });
    candidates.resize(std::min(candidates.size(), targetsPerQuestion));
    std::vector<TargetId> targets;
    std::ranges::transform(candidates, std::back_inserter(targets), &PlacementTarget::id);
    return targets;
}

}

std::optional<AdviceQuestion> nextQuestion(const PlacementInput &input)
{
    auto waiting = input.waiting;
    sortWaiting(waiting);
    std::optional<AdviceQuestion> forLater;
    for (const auto &step : waiting) {
        const bool isBeyondCap = !step.isGuaranteed && tasksWithinCap(input, step) < (step.specification.isGang ? static_cast<int>(step.tasks.size()) : 1);
        if (!step.advice || isBeyondCap || placeableTasks(input, step) >= static_cast<int>(step.tasks.size())) {
            continue;
        }
        auto targets = targetsToAsk(input, step);
        if (targets.empty()) {
            continue;
        }
        // A question about full targets lets no task start, so it must not delay the questions for other steps. Urgent steps preempt work on such targets.
        if (step.priority == 0 || hasRoomOnAny(input, step, targets)) {
            return AdviceQuestion{step.step, std::move(targets)};
        }
        if (!forLater) {
            forLater = AdviceQuestion{step.step, std::move(targets)};
        }
    }
    return forLater;
}

}
