#include "defragmentation.h"

#include "candidates.h"
#include "reservation.h"

#include <algorithm>
#include <bit>

namespace sequoiastand
{

namespace
{

/// The gain is based on estimates, so it must exceed the cost by this factor.
constexpr int requiredGain = 2;

/// Time for which the accelerators of a moved job do no work while the job is checkpointed, stopped and restored.
constexpr Duration moveOverhead = std::chrono::seconds{30};

/// Minimum run time of work before it may be moved. Work that has just started loses almost nothing by a move, so without this bound a moved job that
/// starts again in its old place would be moved repeatedly without end.
constexpr Duration minRunTimeBeforeNextMove = std::chrono::minutes{10};

bool hasRunEnoughSinceLastMove(const RunningWork &work)
{
    return work.attempt->id.number == 1 || work.elapsed >= minRunTimeBeforeNextMove;
}

bool hasMoveInProgress(const PlacementPass &pass)
{
    const auto isMove = [](const RunningWork &work) { return work.attempt && work.isStopping && work.attempt->stopCause == StopCause::Moved; };
    return std::ranges::any_of(pass.map.work, isMove)
           || std::ranges::any_of(pass.plan.preemptions, [](const Preemption &preemption) { return preemption.cause == StopCause::Moved; });
}

/// True if all victims together fit into the capacity that is left when the large job has taken its places.
bool canBePlacedElsewhere(PlacementPass &pass, const PreemptionChoice &choice)
{
    auto rooms = pass.free;
    for (const auto &place : choice.places) {
        rooms[place.target].free &= ~place.accelerators;
    }
    return std::ranges::all_of(choice.victims, [&](int victim) {
        const auto &specification = *pass.map.work[victim].specification;
        const auto places = packGang(rooms, pass.map.rackCount, specification);
        if (places) {
            subtractPlaces(rooms, *places, specification);
        }
        return places.has_value();
    });
}

}

std::optional<PreemptionChoice> chooseMoves(PlacementPass &pass, const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    const auto *reservation = findReservation(pass, specification.id);
    const auto tiers = tiersFor(pass, specification);
    if (!reservation || tiers.empty() || hasMoveInProgress(pass)) {
        return std::nullopt;
    }
    int freeAccelerators = 0;
    for (const auto &room : pass.free) {
        freeAccelerators += std::popcount(room.free);
    }
    if (freeAccelerators < acceleratorCount(specification)) {
        return std::nullopt;
    }
    const auto movable = victimsByCost(pass, [](const RunningWork &work) {
        return work.specification->isCheckpointable && work.specification->jobClass != JobClass::Urgent && work.attempt->step == AttemptStep::Running
               && hasRunEnoughSinceLastMove(work);
    });
    const auto choice = choosePreemption(pass, specification, allowedAccelerators(pass, specification, tiers.back()), movable);
    if (!choice || choice->victims.empty() || !canBePlacedElsewhere(pass, *choice)) {
        return std::nullopt;
    }
    Duration cost{0};
    for (const int victim : choice->victims) {
        cost += acceleratorTimeLost(pass.map.work[victim]) + moveOverhead * pass.map.work[victim].accelerators;
    }
    return reservation->wait * acceleratorCount(specification) > cost * requiredGain ? choice : std::nullopt;
}

}
