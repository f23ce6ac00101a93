#include "controllers.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// Number of consecutive unanswered proofs after which the store counts as unreachable; a single answer may get lost.
constexpr int missedProofs = 2;

void adoptConfiguration(WorkflowBoard &board, const QueueConfiguration &configuration, Revision revision)
{
    auto &view = board.view;
    if (revision <= view.revision) {
        return;
    }
    view.revision = revision;
    if (configuration.version < view.configuration.version) {
        logDecision(board,
                    "applyConfiguration",
                    "",
                    "",
                    "kept version " + std::to_string(view.configuration.version) + "; the store has the lower version " + std::to_string(configuration.version),
                    true);
        return;
    }
    view.configuration = configuration;
    board.isPlanWanted = true;
    logDecision(board,
                "applyConfiguration",
                "",
                "",
                "version " + std::to_string(configuration.version) + " at revision " + std::to_string(revision) + " with "
                    + std::to_string(configuration.queues.size()) + " queues and " + std::to_string(configuration.keys.size()) + " keys");
}

void setEvacuated(WorkflowBoard &board, const AvailabilityZoneId &zone, std::optional<Revision> revision)
{
    auto &evacuated = board.view.evacuated;
    if (revision.has_value() == evacuated.contains(zone)) {
        if (revision) {
            evacuated[zone] = *revision;
        }
        return;
    }
    if (revision) {
        evacuated.emplace(zone, *revision);
    } else {
        evacuated.erase(zone);
    }
    board.isPlanWanted = true;
    logDecision(board, "evacuateZone", zone.value, "", revision ? "zone evacuated at revision " + std::to_string(*revision) : "zone back in service");
}

void applyEntry(WorkflowBoard &board, const StoreEntry &entry)
{
    if (const auto *configuration = std::get_if<QueueConfiguration>(&entry.record)) {
        adoptConfiguration(board, *configuration, entry.revision);
    } else if (std::holds_alternative<ZoneEvacuation>(entry.record)) {
        setEvacuated(board, {lastPathSegment(entry.key)}, entry.revision);
    }
}

void applyUpdate(WorkflowBoard &board, const MirrorUpdate &update)
{
    std::ranges::for_each(update.put, [&](const StoreEntry &entry) { applyEntry(board, entry); });
    for (const auto &key : update.deleted) {
        if (key == zoneEvacuationKey({lastPathSegment(key)})) {
            setEvacuated(board, {lastPathSegment(key)}, std::nullopt);
        }
    }
    if (update.isSnapshot) {
        board.view.isRead = true;
        const auto before = board.view.evacuated;
        for (const auto &[zone, revision] : before) {
            const auto key = zoneEvacuationKey(zone);
            if (std::ranges::find(update.put, key, &StoreEntry::key) == update.put.end()) {
                setEvacuated(board, zone, std::nullopt);
            }
        }
    }
    board.view.isLoaded = board.view.isRead && board.view.revision > 0;
}

/// Store entries that must be unchanged for this host's knowledge to be current.
std::vector<StoreCondition> proofConditions(const WorkflowBoard &board)
{
    std::vector<StoreCondition> conditions{{queueConfigurationKey(), board.view.revision}, {domainOwnerKey(), board.ownership.holderRevision}};
    std::ranges::transform(board.self.availabilityZones, std::back_inserter(conditions), [&](const AvailabilityZoneId &zone) {
        const auto known = board.view.evacuated.find(zone);
        return StoreCondition{zoneEvacuationKey(zone), known == board.view.evacuated.end() ? 0 : known->second};
    });
    return conditions;
}

/// Applies the current entries of the conditions' keys as updates. The owner key is passed to claimDomain by `updates`.
void applyConflict(WorkflowBoard &board, const StoreReply &reply)
{
    MirrorUpdate changed{"config/", false, {}, {}, 0};
    MirrorUpdate owner{domainOwnerKey().path, true, {}, {}, 0};
    for (const auto &condition : proofConditions(board)) {
        const auto entry = std::ranges::find(reply.entries, condition.key, &StoreEntry::key);
        auto &update = condition.key == domainOwnerKey() ? owner : changed;
        if (entry != reply.entries.end()) {
            update.put.push_back(*entry);
        } else if (&update == &changed && condition.revision != 0) {
            update.deleted.push_back(condition.key);
        }
    }
    applyUpdate(board, changed);
    board.updates.push_back(std::move(owner));
}

void setReachable(WorkflowBoard &board, bool isStoreReachable)
{
    if (board.view.isStoreReachable == isStoreReachable) {
        return;
    }
    board.view.isStoreReachable = isStoreReachable;
    logDecision(board,
                "reachStore",
                "",
                "",
                isStoreReachable ? "the store answers" : "the store has not answered " + std::to_string(board.view.failedProofs) + " proofs in a row",
                !isStoreReachable);
}

void setUnreadable(WorkflowBoard &board, bool isUnreadable, const std::string &error)
{
    if (board.view.isUnreadable == isUnreadable) {
        return;
    }
    board.view.isUnreadable = isUnreadable;
    logDecision(board,
                "proveConfiguration",
                "",
                "",
                isUnreadable ? "the store's newest entries cannot be decoded, so no call is served: " + error : "the store's newest entries can be decoded",
                isUnreadable);
}

void handleProofReply(WorkflowBoard &board)
{
    auto &view = board.view;
    const auto *reply = findReply(board, view.proof);
    if (reply == nullptr) {
        return;
    }
    view.proof.reset();
    if (reply->outcome != StoreOutcome::Applied && reply->outcome != StoreOutcome::Conflict) {
        count(board.counters, "proofFailures", "");
        view.proofError = reply->error;
        view.nextProofAt = board.now + board.self.limits.storeRetry;
        if (++view.failedProofs >= missedProofs) {
            setReachable(board, false);
        }
        return;
    }
    // The error of a conflict names an entry that cannot be decoded. The known configuration may then hold a key that has been withdrawn.
    const bool isUnreadable = reply->outcome == StoreOutcome::Conflict && !reply->error.empty();
    setUnreadable(board, isUnreadable, reply->error);
    if (reply->outcome == StoreOutcome::Conflict) {
        applyConflict(board, *reply);
    }
    if (isUnreadable) {
        count(board.counters, "proofFailures", "unreadable");
        view.proofError = reply->error;
        ++view.failedProofs;
        view.nextProofAt = board.now + board.self.limits.storeRetry;
        return;
    }
    view.failedProofs = 0;
    view.proofError.clear();
    view.provenAt = view.proofSentAt;
    const bool isInvalidated = view.invalidatedAt && view.provenAt < view.invalidatedAt;
    view.nextProofAt = isInvalidated ? board.now : view.proofSentAt + board.self.limits.proofPeriod;
    setReachable(board, true);
}

}

void proveConfiguration(WorkflowBoard &board)
{
    const auto updates = board.updates;
    for (const auto &update : updates) {
        if (update.prefix == "config/") {
            applyUpdate(board, update);
        }
    }
    handleProofReply(board);
    auto &view = board.view;
    if (!view.isLoaded || !board.ownership.isKnown) {
        return;
    }
    if (!view.proof && board.now >= view.nextProofAt) {
        view.proof = sendToStore(board, StoreTransaction{{}, proofConditions(board)});
        view.proofSentAt = board.now;
    }
    if (!view.proof) {
        subscribeNoLaterThan(board.timers, "proof", view.nextProofAt);
    }
}

}
