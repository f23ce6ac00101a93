#include "candidates.h"
#include "defragmentation.h"
#include "explain.h"
#include "preemption.h"
#include "quarantine.h"
#include "reservation.h"
#include "zonemoves.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

const Team *teamOf(const PlacementPass &pass, const JobSpecification &specification)
{
    const auto team = pass.view.configuration.teams.find(specification.team);
    return team == pass.view.configuration.teams.end() ? nullptr : &team->second;
}

void explainWait(PlacementPass &pass, const JobSpecification &specification, std::string text)
{
    pass.plan.explanations.push_back({specification.id, std::move(text)});
}

void addPlacement(PlacementPass &pass, const QueuedJob &queued, const ChosenPlaces &places)
{
    const auto &specification = queued.job->specification;
    const bool isBorrowed = !areInOwnCells(cellsOf(pass, specification.id.organisation), places);
    std::vector<int> targets(places.size());
    std::ranges::transform(places, targets.begin(), &ChosenPlace::target);
    pass.plan.placements.push_back({specification.id, plannedMembers(pass.map, places), isBorrowed, placedText(pass.map, targets, isBorrowed)});
    claim(pass, places, specification);
    pass.teamHeld[specification.team] += acceleratorCount(specification);
    if (queued.priority != Priority::Urgent && acceleratorCount(specification) > 0) {
        pass.startBudget -= acceleratorCount(specification);
        pass.hasStartedNow = true;
    }
}

void refuse(PlacementPass &pass, const JobSpecification &specification, RefusalReason reason, std::string text)
{
    pass.plan.refusals.push_back({specification.id, reason, std::move(text)});
}

bool fitsEmptyZoneCached(PlacementPass &pass, const QueuedJob &queued)
{
    const auto request = requestOf(pass, queued);
    const auto cachedFit = pass.emptyZoneFits.find(request);
    return cachedFit != pass.emptyZoneFits.end() ? cachedFit->second
                                                 : pass.emptyZoneFits.emplace(request, fitsEmptyZone(pass, queued.job->specification)).first->second;
}

/// Refuses a job that its team's quota or its deadline rules out at any load.
bool refuseByRule(PlacementPass &pass, const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    const auto *team = teamOf(pass, specification);
    if (team && team->acceleratorQuota > 0 && acceleratorCount(specification) > team->acceleratorQuota) {
        refuse(pass, specification, RefusalReason::QuotaExceeded, aboveQuotaText(specification, team->acceleratorQuota));
        return true;
    }
    if (specification.deadline && *specification.deadline <= pass.view.wallNow && !queued.job->mayHaveStarted) {
        refuse(pass, specification, RefusalReason::DeadlineUnreachable, deadlineText(specification));
        return true;
    }
    return false;
}

/// Moves a job that does not fit even the empty zone to a larger zone, or refuses it.
bool moveOrRefuseIfTooLarge(PlacementPass &pass, const QueuedJob &queued, ZoneChoices &choices)
{
    if (fitsEmptyZoneCached(pass, queued)) {
        return false;
    }
    const auto &specification = queued.job->specification;
    int inventory = 0;
    for (const auto &target : pass.map.targets) {
        inventory += target.target->acceleratorCount;
    }
    auto larger = choices;
    std::erase_if(larger.zones, [inventory](const auto &zone) { return zone.second.usableAccelerators <= inventory; });
    if (const auto zone = chooseZone(larger, specification)) {
        recordMove(choices, *zone, specification);
        pass.plan.moves.push_back({specification.id, *zone, tooLargeMoveText(specification, pass.view.availabilityZone, *zone)});
    } else {
        refuse(pass, specification, RefusalReason::NeverFits, neverFitsText(specification, pass.view.availabilityZone));
    }
    return true;
}

/// Plans the stops of the victims, claims the chosen places for the job and records why the job waits.
void preempt(PlacementPass &pass, const QueuedJob &queued, const PreemptionChoice &choice, StopCause cause, const std::string &reason)
{
    for (const int victim : choice.victims) {
        pass.plan.preemptions.push_back({pass.map.work[victim].id, cause, reason, queued.priority == Priority::Urgent});
        pass.isStopping[victim] = true;
        pass.stopping.push_back(victim);
    }
    claim(pass, choice.places, queued.job->specification);
    explainWait(pass, queued.job->specification, stoppingText(static_cast<int>(choice.victims.size()), pass.view.availabilityZone));
}

bool preemptOthers(PlacementPass &pass, const QueuedJob &queued)
{
    const auto &id = queued.job->specification.id;
    if (queued.isWithinGuarantee) {
        if (const auto choice = reclaimCells(pass, queued)) {
            preempt(pass, queued, *choice, StopCause::Preempted, reclaimStopText(id));
            return true;
        }
    }
    if (queued.priority == Priority::Urgent) {
        if (const auto choice = preemptForUrgent(pass, queued)) {
            preempt(pass, queued, *choice, StopCause::Preempted, urgentStopText(id));
            return true;
        }
    }
    if (queued.priority == Priority::Ordinary && isAnotherZoneOut(pass.view)) {
        if (const auto choice = preemptForOrdinary(pass, queued)) {
            preempt(pass, queued, *choice, StopCause::Preempted, patientStopText(id));
            return true;
        }
    }
    if (const auto choice = chooseMoves(pass, queued)) {
        preempt(pass, queued, *choice, StopCause::Moved, moveStopText(id));
        return true;
    }
    return false;
}

bool moveToOtherZone(PlacementPass &pass, const QueuedJob &queued, ZoneChoices &choices)
{
    const auto &specification = queued.job->specification;
    const bool mustStayInZone = queued.isWithinGuarantee || (queued.job->mayHaveStarted && !isPreemptible(specification));
    const auto zone = mustStayInZone ? std::nullopt : chooseZoneWithRoom(choices, specification, pass.freeAccelerators);
    if (!zone) {
        return false;
    }
    recordMove(choices, *zone, specification);
    pass.plan.moves.push_back({specification.id, *zone, noRoomMoveText(pass.view.availabilityZone, *zone)});
    return true;
}

std::string waitText(PlacementPass &pass, const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    if (const auto *reservation = findReservation(pass, specification.id)) {
        return reservedText(reservation->wait, pass.view.availabilityZone);
    }
    if (pass.cells.isBlockedByWork && !isPreemptible(specification)) {
        return shortfallWaitText(pass.cells.shortfalls);
    }
    return noRoomText(specification, pass.freeAccelerators, pass.usableAccelerators, pass.view.availabilityZone);
}

/// Explains a wait that is caused by a rule and not by a lack of room; empty if no rule applies.
std::string ruleWaitText(PlacementPass &pass, const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    const int wantedAccelerators = acceleratorCount(specification);
    const auto *team = teamOf(pass, specification);
    if (team && team->acceleratorQuota > 0 && wantedAccelerators > 0 && pass.teamHeld[team->id] + wantedAccelerators > team->acceleratorQuota) {
        return overQuotaText(team->id, pass.teamHeld[team->id], wantedAccelerators, team->acceleratorQuota);
    }
    // A job larger than the limit may start if no other job has started within the last second.
    if (pass.view.isRampingUp && queued.priority != Priority::Urgent && wantedAccelerators > pass.startBudget && pass.hasStartedNow) {
        return startLimitText(pass.view.availabilityZone);
    }
    return {};
}

void planJob(PlacementPass &pass, const QueuedJob &queued, ZoneChoices &choices)
{
    const auto &specification = queued.job->specification;
    if (refuseByRule(pass, queued)) {
        return;
    }
    if (auto rule = ruleWaitText(pass, queued); !rule.empty()) {
        if (!moveOrRefuseIfTooLarge(pass, queued, choices)) {
            explainWait(pass, specification, std::move(rule));
        }
        return;
    }
    if (const auto places = findFreePlaces(pass, queued)) {
        addPlacement(pass, queued, *places);
        return;
    }
    const bool isReserved = findReservation(pass, specification.id) != nullptr;
    const auto request = requestOf(pass, queued);
    if (const auto cachedText = pass.waitTexts.find(request); cachedText != pass.waitTexts.end() && !isReserved) {
        explainWait(pass, specification, cachedText->second);
        return;
    }
    if (moveOrRefuseIfTooLarge(pass, queued, choices) || preemptOthers(pass, queued) || moveToOtherZone(pass, queued, choices)) {
        return;
    }
    auto text = waitText(pass, queued);
    if (!isReserved) {
        pass.waitTexts.emplace(request, text);
    }
    explainWait(pass, specification, std::move(text));
}

}

Plan planPlacements(const ClusterView &view)
{
    if (isZoneOut(view.configuration, view.availabilityZone)) {
        return planZoneEvacuation(view);
    }
    auto pass = makePass(view);
    auto queue = orderedJobs(view, pass.map, pass.cells, pass.model);
    auto choices = zoneChoicesOf(view);
    planProbes(pass, queue);
    addReservations(pass, queue);
    for (const auto &queued : queue) {
        planJob(pass, queued, choices);
    }
    return std::move(pass.plan);
}

}
