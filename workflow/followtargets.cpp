#include "controllers.h"
#include "targetlease.h"
#include "targetshapes.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

void putRegistration(WorkflowBoard &board, const TargetRegistration &registration)
{
    const auto &id = registration.instance.target;
    const auto *present = board.targets.find(id);
    if (present == nullptr) {
        DomainTarget target;
        target.registration = registration;
        // A former owner may have extended leases until its authority ended, but not after this host became owner.
        target.formerRunsLapseAt = board.ownership.ownedSince + maxFormerOwnerLease(board.self.limits);
        board.targets.put(id, std::move(target));
        board.isPlanWanted = true;
        // The row of a target without registration and runs is removed, so this may be the next instance of a target that was there before.
        requireStopsOfLateStarts(board, id);
        return;
    }
    if (registration == present->registration && present->isRegistered) {
        return; // Only the heartbeat counter has changed.
    }
    DomainTarget target = *present;
    if (registration.instance.startTimeMs < target.registration.instance.startTimeMs) {
        return; // The entry is older than the target's lists, which already showed its new instance.
    }
    const bool isNewInstance = registration.instance.startTimeMs > target.registration.instance.startTimeMs;
    if (registration.isDraining && !target.registration.isDraining) {
        logDecision(board, "drainTarget", id.value, "", "no new work; it leaves in " + std::to_string(registration.remaining.count()) + " ms at the earliest");
    }
    if (registration != target.registration || !target.isRegistered) {
        board.isPlanWanted = true;
    }
    target.isRegistered = true;
    if (isNewInstance) {
        logDecision(board, "renewTarget", id.value, "", "the target has restarted");
        beginNewInstance(board, target, registration);
        return;
    }
    target.registration = registration;
    board.targets.put(id, std::move(target));
}

void removeRegistration(WorkflowBoard &board, const TargetId &id)
{
    const auto *present = board.targets.find(id);
    if (present == nullptr || !present->isRegistered) {
        return;
    }
    DomainTarget target = *present;
    target.isRegistered = false;
    board.targets.put(id, std::move(target));
    logDecision(board, "removeTarget", id.value, "", "its registration has ended");
}

/// Adds the targets on which the board has runs but which are not registered. These targets cannot be asked about the runs, so the runs are lost once the
/// leases of the targets have certainly ended.
void addUnregisteredTargets(WorkflowBoard &board)
{
    for (const auto &[id, use] : board.runs.usedTargets()) {
        if (board.targets.contains(id)) {
            continue;
        }
        const auto runs = use.tasks | std::views::transform([&](const TaskId &task) { return board.runs.find(task)->place; });
        const TargetInstance instance = std::ranges::max(runs);
        DomainTarget target;
        target.registration.instance = instance;
        target.isRegistered = false;
        target.formerRunsLapseAt = board.ownership.ownedSince + maxFormerOwnerLease(board.self.limits);
        board.targets.put(instance.target, std::move(target));
    }
}

/// Removes unregistered targets without runs.
void removeUnusedTargets(WorkflowBoard &board)
{
    std::vector<TargetId> unused;
    for (const auto &[id, target] : board.targets.rows()) {
        if (!target.isRegistered && !board.runs.usedTargets().contains(id)) {
            unused.push_back(id);
        }
    }
    std::ranges::for_each(unused, [&](const TargetId &id) { board.targets.erase(id); });
}

/// An entry of another writer has replaced the target's registration. The target's next entry brings it back.
void ignoreEntry(WorkflowBoard &board, const TargetRegistration &registration)
{
    const auto &[target, startTimeMs] = registration.instance;
    logDecision(board, "ignoreEntry", target.value, "", "its start " + std::to_string(startTimeMs) + " lies too far ahead", true);
    removeRegistration(board, target);
}

void applyUpdate(WorkflowBoard &board, const MirrorUpdate &update)
{
    for (const auto &entry : update.put) {
        const auto *registration = std::get_if<TargetRegistration>(&entry.record);
        if (registration != nullptr && !isPossibleStart(registration->instance.startTimeMs, board.wallNow)) {
            ignoreEntry(board, *registration);
        } else if (registration != nullptr) {
            board.shapes = withShape(std::move(board.shapes), *registration, board.wallNow);
            putRegistration(board, *registration);
        }
    }
    std::ranges::for_each(update.deleted, [&](const StoreKey &key) { removeRegistration(board, {lastPathSegment(key)}); });
    if (!update.isSnapshot) {
        return;
    }
    std::set<TargetId> named;
    std::ranges::transform(update.put, std::inserter(named, named.end()), [](const StoreEntry &entry) { return TargetId{lastPathSegment(entry.key)}; });
    std::vector<TargetId> absent;
    for (const auto &[id, target] : board.targets.rows()) {
        if (target.isRegistered && !named.contains(id)) {
            absent.push_back(id);
        }
    }
    std::ranges::for_each(absent, [&](const TargetId &id) { removeRegistration(board, id); });
    board.load.hasTargets = true;
}

}

void followTargets(WorkflowBoard &board)
{
    if (board.ownership.step != OwnershipStep::Owner) {
        return;
    }
    bool hasTargetUpdate = false;
    bool hasIntakeUpdate = false;
    for (const auto &update : board.updates) {
        hasIntakeUpdate = hasIntakeUpdate || update.prefix == "intake/";
        if (update.prefix == "targets/") {
            applyUpdate(board, update);
            hasTargetUpdate = true;
        }
        if (update.isSnapshot && (update.prefix == "targets/" || update.prefix == "intake/")) {
            // Runs that a former owner recorded may be on former instances of their targets.
            moveRunsOfFormerInstances(board);
        }
    }
    // Runs of a former owner come with the intake; all other runs are on targets that are on the board.
    if (board.load.hasTargets && board.load.hasIntake && (hasTargetUpdate || hasIntakeUpdate)) {
        addUnregisteredTargets(board);
    }
    if (hasTargetUpdate) {
        removeUnusedTargets(board);
    }
}

}
