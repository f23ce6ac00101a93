#include "zonemoves.h"

#include "explain.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace sequoiastand
{

namespace
{

/// Maximum number of moves in one pass; limits the writes that the pass causes. The remaining moves follow in later passes.
constexpr int maxMovesPerPass = 100;
/// Percentage of another zone's free accelerators to which one pass may move jobs. A report of the zone may be 1 s old; the ten
/// passes in that time together move jobs to at most half of the accelerators that were reported free.
constexpr int budgetPercentPerPass = 5;

/// FNV-1a hash. Unlike std::hash it is the same in every build, so equal views give equal plans.
unsigned long long hashOf(const JobId &id, unsigned long long seed)
{
    unsigned long long hash = 14695981039346656037ULL ^ seed;
    for (const char character : toString(id)) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    }
    return hash ^ (hash >> 32);
}

bool isMovable(const JobSpecification &specification, const Job &job)
{
    return isPreemptible(specification) || !job.mayHaveStarted;
}

void planStops(const ClusterView &view, Duration notice, Plan &plan)
{
    const auto map = capacityOf(view);
    const auto model = learnRunTimes(map.finished);
    for (const auto &work : map.work) {
        if (!isPreemptible(work) || work.isStopping) {
            continue;
        }
        const auto remaining = expectedRemaining(model, work);
        if (work.attempt->step == AttemptStep::Running && remaining <= notice) {
            continue;
        }
        plan.preemptions.push_back({work.id, StopCause::ZoneOut, zoneOutStopText(view.availabilityZone, remaining, notice)});
    }
}

}

ZoneChoices zoneChoicesOf(const ClusterView &view)
{
    ZoneChoices choices;
    choices.remainingMoves = maxMovesPerPass;
    for (const auto &[id, capacity] : view.otherZones) {
        if (id != view.availabilityZone && !isZoneOut(view.configuration, id) && capacity.usableAccelerators > 0) {
            choices.zones.emplace(id, capacity);
            choices.budgets.emplace(id, std::max(1, capacity.freeAccelerators * budgetPercentPerPass / 100));
        }
    }
    return choices;
}

bool isAnotherZoneOut(const ClusterView &view)
{
    return std::ranges::any_of(view.configuration.availabilityZones,
                               [&view](const auto &item) { return item.first != view.availabilityZone && item.second.isOut; });
}

std::optional<AvailabilityZoneId> chooseZone(const ZoneChoices &choices, const JobSpecification &specification)
{
    std::vector<const AvailabilityZoneId *> largeZones;
    for (const auto &[id, capacity] : choices.zones) {
        if (capacity.usableAccelerators >= acceleratorCount(specification)) {
            largeZones.push_back(&id);
        }
    }
    if (largeZones.empty()) {
        return std::nullopt;
    }
    const auto *firstZone = largeZones[hashOf(specification.id, 1) % largeZones.size()];
    const auto *secondZone = largeZones[hashOf(specification.id, 2) % largeZones.size()];
    if (firstZone == secondZone) {
        secondZone = largeZones[(hashOf(specification.id, 1) + 1) % largeZones.size()];
    }
    const auto freeOf = [&choices](const AvailabilityZoneId &zone) { return choices.zones.at(zone).freeAccelerators; };
    return freeOf(*secondZone) > freeOf(*firstZone) ? *secondZone : *firstZone;
}

std::optional<AvailabilityZoneId> chooseZoneWithRoom(const ZoneChoices &choices, const JobSpecification &specification, int ownFree)
{
    const int wantedAccelerators = std::max(1, acceleratorCount(specification));
    if (choices.remainingMoves <= 0 || ownFree >= wantedAccelerators) {
        return std::nullopt;
    }
    // The other zone must have twice the required accelerators free; otherwise jobs would move back and forth between full zones.
    auto withRoom = choices;
    std::erase_if(withRoom.zones,
                  [&](const auto &zone) { return zone.second.freeAccelerators < 2 * wantedAccelerators || choices.budgets.at(zone.first) <= 0; });
    return chooseZone(withRoom, specification);
}

void recordMove(ZoneChoices &choices, const AvailabilityZoneId &zone, const JobSpecification &specification)
{
    choices.zones.at(zone).freeAccelerators -= acceleratorCount(specification);
    choices.budgets.at(zone) -= acceleratorCount(specification);
    --choices.remainingMoves;
}

Plan planZoneEvacuation(const ClusterView &view)
{
    Plan plan;
    const auto zone = view.configuration.availabilityZones.find(view.availabilityZone);
    planStops(view, zone == view.configuration.availabilityZones.end() ? Duration{0} : zone->second.leaveNotice, plan);
    auto choices = zoneChoicesOf(view);
    auto waiting = waitingJobs(view);
    std::ranges::stable_sort(waiting, {}, [](const Job *job) { return std::pair(job->specification.jobClass, job->acceptedAt); });
    for (const auto *job : waiting) {
        const auto &specification = job->specification;
        const auto chosen = isMovable(specification, *job) && choices.remainingMoves > 0 ? chooseZone(choices, specification) : std::nullopt;
        if (chosen) {
            recordMove(choices, *chosen, specification);
            plan.moves.push_back({specification.id, *chosen, zoneOutMoveText(view.availabilityZone, *chosen)});
        } else {
            plan.explanations.push_back({specification.id, zoneOutWaitText(view.availabilityZone, choices.zones.empty())});
        }
    }
    return plan;
}

}
