#include "configurationcopies.h"
#include "controllers.h"
#include "organisationcap.h"

#include <algorithm>
#include <ranges>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// Number of consecutive unanswered proofs after which the store counts as unreachable; a single answer may get lost.
constexpr int missedProofs = 2;

bool isAnswer(const StoreReply &reply)
{
    return reply.outcome == StoreOutcome::Applied || reply.outcome == StoreOutcome::Conflict;
}

/// True if a key of the former configuration is missing in the present one, or belongs to another organisation.
bool withdrawsKeys(const QueueConfiguration &former, const QueueConfiguration &present)
{
    return std::ranges::any_of(former.keys, [&](const auto &row) {
        const auto found = present.keys.find(row.first);
        return found == present.keys.end() || found->second != row.second;
    });
}

void adoptConfiguration(WorkflowBoard &board, const QueueConfiguration &configuration, Revision revision)
{
    auto &view = board.view;
    if (revision <= view.revision) {
        return;
    }
    const bool isFirst = view.revision == 0;
    view.revision = revision;
    view.adoptedAt = board.now;
    // A proof brings only the newest version, the watch all of them. Without a proof, the watch is the only source.
    view.isCatchingUp = view.isLoaded && board.ownership.isKnown;
    if (configuration.version < view.configuration.version) {
        logDecision(board,
                    "applyConfiguration",
                    "",
                    "",
                    "kept version " + std::to_string(view.configuration.version) + "; the store has the lower version " + std::to_string(configuration.version),
                    true);
        return;
    }
    if (isFirst || withdrawsKeys(view.configuration, configuration)) {
        view.withdrawalRevision = revision;
    }
    keepFormerCaps(view, configuration, board.now + board.self.limits.maxProofAge, board.now);
    view.configuration = configuration;
    board.isPlanWanted = true;
    logDecision(board,
                "applyConfiguration",
                "",
                "",
                "version " + std::to_string(configuration.version) + " at revision " + std::to_string(revision) + " with "
                    + std::to_string(configuration.queues.size()) + " queues and " + std::to_string(configuration.keys.size()) + " keys; "
                    + receivedCopies(board.counters) + " since the start");
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

/// The revision of the condition's key that this host knows, zero if the key does not exist.
Revision knownRevision(const std::vector<StoreCondition> &known, const StoreKey &key)
{
    const auto condition = std::ranges::find(known, key, &StoreCondition::key);
    return condition == known.end() ? 0 : condition->revision;
}

/// True if it is certain whether the entry in the answer to a proof, null if the key is absent, or this host's knowledge is newer. What this host has learned
/// since it sent the proof may be newer; revisions decide that unless the key is absent on one side.
bool isOrderKnown(const StoreCondition &sent, Revision known, const StoreEntry *entry)
{
    return known == sent.revision || (known != 0 && entry != nullptr);
}

void applyConflictingKey(WorkflowBoard &board, const StoreCondition &sent, Revision known, const StoreEntry *entry)
{
    if (!isOrderKnown(sent, known, entry) || (entry != nullptr && entry->revision <= known) || (entry == nullptr && known == 0)) {
        return;
    }
    if (sent.key == domainOwnerKey()) {
        // The owner is claimDomain's to change.
        MirrorUpdate owner{sent.key.path, true, {}, {}, 0};
        if (entry != nullptr) {
            owner.put.push_back(*entry);
        }
        board.updates.push_back(std::move(owner));
    } else if (entry != nullptr) {
        applyEntry(board, *entry);
    } else if (sent.key != queueConfigurationKey()) {
        setEvacuated(board, {lastPathSegment(sent.key)}, std::nullopt);
    }
}

bool containsConfiguration(const StoreReply &reply)
{
    return std::ranges::any_of(reply.entries, [](const StoreEntry &entry) { return std::holds_alternative<QueueConfiguration>(entry.record); });
}

/// Applies the current entries of the proof's keys as far as they are newer than what this host knows. Returns true if this host now knows all keys as they
/// were when the proof was sent, or newer.
bool applyConflict(WorkflowBoard &board, const StoreProof &proof, const StoreReply &reply)
{
    const auto known = proofConditions(board);
    return std::ranges::count_if(proof.conditions,
                                 [&](const StoreCondition &sent) {
                                     const auto found = std::ranges::find(reply.entries, sent.key, &StoreEntry::key);
                                     const auto *entry = found == reply.entries.end() ? nullptr : &*found;
                                     const auto revision = knownRevision(known, sent.key);
                                     applyConflictingKey(board, sent, revision, entry);
                                     return !isOrderKnown(sent, revision, entry);
                                 })
           == 0;
}

void setReachable(WorkflowBoard &board, bool isStoreReachable)
{
    if (board.view.isStoreReachable == isStoreReachable) {
        return;
    }
    board.view.isStoreReachable = isStoreReachable;
    if (isStoreReachable) {
        subscribeNoLaterThan(board.timers, "readStore", board.now + Duration{1}); // Reads wait while the store does not answer.
    }
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

void countFailure(WorkflowBoard &board, const std::string &error, const std::string &label)
{
    auto &view = board.view;
    count(board.counters, "proofFailures", label);
    view.proofError = error;
    ++view.failedProofs;
    view.nextProofAt = board.now + board.self.limits.storeRetry;
}

/// The pause after an answer that carried the configuration. It is as long as the answer took, so that the proofs leave half of a narrow link to other calls.
Duration pauseAfterCopy(const WorkflowBoard &board, const StoreProof &proof)
{
    return std::min(board.now - proof.sentAt, board.self.limits.proofPeriod);
}

/// The newest revision among what this host knows of the configuration and the evacuations.
Revision newestRevision(const ConfigurationView &view)
{
    const auto evacuations = view.evacuated | std::views::values;
    return std::ranges::empty(evacuations) ? view.revision : std::max(view.revision, std::ranges::max(evacuations));
}

void noteMissedProof(WorkflowBoard &board, const std::string &error)
{
    countFailure(board, error, "");
    board.view.isCatchingUp = false; // Changes may still be reported by the watch.
    if (board.view.failedProofs >= missedProofs) {
        setReachable(board, false);
    }
}

void handleProofAnswer(WorkflowBoard &board, const StoreProof &proof, const StoreReply &reply)
{
    auto &view = board.view;
    // The error of a conflict names an entry that cannot be decoded. Unless the configuration is another entry, a key that it holds may have been withdrawn.
    const bool isConflict = reply.outcome == StoreOutcome::Conflict;
    const bool isIncomplete = isConflict && !reply.error.empty();
    const bool hasConfiguration = !isConflict || containsConfiguration(reply);
    setUnreadable(board, isIncomplete && !hasConfiguration, reply.error);
    if (isConflict) {
        countConfigurations(board, reply.entries, "proof");
    }
    const bool isDecided = !isConflict || applyConflict(board, proof, reply);
    count(board.counters, "proofs", isIncomplete ? "unreadable" : !isDecided ? "outdated" : isConflict ? "changed" : "confirmed");
    if (hasConfiguration) {
        view.currentAt = std::max(view.currentAt, std::optional(proof.sentAt));
        setReachable(board, true);
    }
    if (isIncomplete) {
        countFailure(board, reply.error, "unreadable");
        view.nextProofAt = std::max(view.nextProofAt, board.now + pauseAfterCopy(board, proof));
        return;
    }
    view.failedProofs = 0;
    view.proofError.clear();
    setReachable(board, true);
    if (!isDecided) {
        view.nextProofAt = board.now + pauseAfterCopy(board, proof);
        return;
    }
    view.provenAt = proof.sentAt;
    view.readRevision = std::max(view.readRevision, newestRevision(view));
    // The operators may have removed the configuration, in which case no proof is ever confirmed.
    const bool isNewest = isConflict ? !containsConfiguration(reply) : knownRevision(proof.conditions, queueConfigurationKey()) == view.revision;
    if (isNewest) {
        view.isCatchingUp = false;
    }
    // A copy that took long to arrive proves the configuration only as of its request, which may be too old to serve callers.
    const auto pause = isConflict && isProofFresh(board) ? pauseAfterCopy(board, proof) : Duration{0};
    view.nextProofAt = view.isCatchingUp ? board.now + pause : proof.sentAt + board.self.limits.proofPeriod;
}

/// Adopts the configuration that the conflict of a caller's write has brought, instead of receiving it once more by a proof.
void readWriteConflicts(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<StoreReply>(&event);
        if (reply == nullptr || reply->outcome != StoreOutcome::Conflict || !containsConfiguration(*reply)) {
            continue;
        }
        const auto row = std::ranges::find_if(board.calls.rows(), [&](const auto &open) { return open.second.call == reply->id; });
        if (row == board.calls.rows().end()) {
            continue;
        }
        countConfigurations(board, reply->entries, "write");
        std::ranges::for_each(reply->entries, [&](const StoreEntry &entry) {
            if (entry.key == queueConfigurationKey()) {
                applyEntry(board, entry);
            }
        });
        board.view.currentAt = std::max(board.view.currentAt, std::optional(row->second.sentAt));
    }
}

/// Notes the proofs whose answers have begun to arrive. They show that the store answers, and a further proof would bring a further copy of the configuration
/// over the same link.
void noteArrivingProofs(WorkflowBoard &board)
{
    auto &view = board.view;
    for (const auto &event : board.inbox) {
        const auto *begun = std::get_if<StoreAnswerBegun>(&event);
        if (begun == nullptr) {
            continue;
        }
        const auto late = std::ranges::find(view.lateProofs, begun->id, &StoreProof::call);
        const bool isCurrent = view.proof && view.proof->call == begun->id;
        if (isCurrent) {
            view.proof->isArriving = true;
        } else if (late != view.lateProofs.end()) {
            late->isArriving = true;
        }
        if (isCurrent || late != view.lateProofs.end()) {
            view.failedProofs = 0;
            view.proofError.clear();
            setReachable(board, true);
        }
    }
}

bool isProofArriving(const ConfigurationView &view)
{
    return (view.proof && view.proof->isArriving) || std::ranges::any_of(view.lateProofs, &StoreProof::isArriving);
}

/// Reads the answers to all proofs under way, newest first. An answer makes the older proofs superfluous.
void readProofReplies(WorkflowBoard &board)
{
    auto &view = board.view;
    if (const auto proof = view.proof) {
        if (const auto *reply = findReply(board, proof->call)) {
            view.proof.reset();
            if (isAnswer(*reply)) {
                view.lateProofs.clear();
                handleProofAnswer(board, *proof, *reply);
            } else {
                noteMissedProof(board, reply->error);
            }
        }
    }
    for (const auto &proof : std::vector(view.lateProofs.rbegin(), view.lateProofs.rend())) {
        const auto *reply = findReply(board, proof.call);
        if (reply == nullptr || std::ranges::find(view.lateProofs, proof) == view.lateProofs.end()) {
            continue;
        }
        if (isAnswer(*reply)) {
            std::erase_if(view.lateProofs, [&](const StoreProof &other) { return other.sentAt <= proof.sentAt; });
            handleProofAnswer(board, proof, *reply);
        } else {
            std::erase(view.lateProofs, proof);
        }
    }
}

/// Time after which a proof without an answer no longer delays the next one. An answer that carries the configuration may take long, and a further proof would
/// bring a further copy.
Duration proofTimeout(const WorkflowBoard &board)
{
    const auto timeout = storeTimeout(board);
    return timeoutWithLag(board, board.view.isCatchingUp ? std::max(timeout, board.self.limits.maxStoreTimeout) : timeout);
}

/// Stops waiting for the newest proof before its call ends, so that a connection that no longer responds delays the next proof no more than an answer would.
void passOverLateProof(WorkflowBoard &board)
{
    auto &view = board.view;
    if (isProofArriving(view)) {
        return;
    }
    const auto timeout = proofTimeout(board);
    if (board.now < view.proof->sentAt + timeout) {
        subscribeNoLaterThan(board.timers, "proof", view.proof->sentAt + timeout);
        return;
    }
    view.lateProofs.push_back(*std::exchange(view.proof, std::nullopt));
    noteMissedProof(board, "no answer within " + std::to_string(timeout.count()) + " ms");
}

void sendProof(WorkflowBoard &board)
{
    const auto conditions = proofConditions(board);
    const auto call = sendToStore(board, StoreTransaction{{}, conditions}, 0, std::max(storeTimeout(board), board.self.limits.maxStoreTimeout));
    std::get<StoreCall>(board.outbox.back()).opensConnection = !board.view.lateProofs.empty();
    board.view.proof = StoreProof{call, board.now, conditions, false};
}

}

void proveConfiguration(WorkflowBoard &board)
{
    const bool wasCatchingUp = board.view.isCatchingUp;
    for (const auto &update : board.updates) {
        if (update.prefix == "config/") {
            countConfigurations(board, update.put, update.isSnapshot ? "read" : "watch");
            applyUpdate(board, update);
        }
    }
    readWriteConflicts(board);
    auto &view = board.view;
    if (view.isCatchingUp && !wasCatchingUp) {
        view.nextProofAt = board.now;
    }
    noteArrivingProofs(board);
    readProofReplies(board);
    if (view.proof) {
        passOverLateProof(board);
    }
    if (!view.isLoaded || !board.ownership.isKnown || isProofArriving(view)) {
        return;
    }
    if (!view.proof && board.now >= view.nextProofAt) {
        sendProof(board);
        subscribeNoLaterThan(board.timers, "proof", board.now + proofTimeout(board));
    }
    if (!view.proof) {
        subscribeNoLaterThan(board.timers, "proof", view.nextProofAt);
    }
}

}
