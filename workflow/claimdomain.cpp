#include "controllers.h"
#include "ownershipchange.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

// The host with the most processor time claims first. Any other host delays its claim by this time multiplied by 1 - (its processor share / the largest share).
// Weak hosts may learn of a vacant domain up to about 100 ms later or earlier than strong ones.
constexpr Duration maxStrengthDelay{500};
constexpr Duration claimJitter{20};

// Number of renewals within the duration of the lease. With four renewals, two may be lost.
constexpr int renewalsPerLease = 4;

/// True if the owner is an earlier process of this host, which no longer runs.
bool isFormerSelf(const WorkflowBoard &board, const DomainOwner &holder)
{
    return holder.host == board.self.id && holder.incarnation < board.self.incarnation;
}

bool isVacant(const WorkflowBoard &board)
{
    const auto &holder = board.ownership.holder;
    return !holder || isFormerSelf(board, *holder);
}

bool isSelf(const WorkflowBoard &board, const DomainOwner &holder)
{
    return holder.host == board.self.id && holder.incarnation == board.self.incarnation;
}

void updateHolder(WorkflowBoard &board, std::optional<DomainOwner> holder, Revision revision)
{
    auto &ownership = board.ownership;
    if (holder && revision < ownership.holderRevision) {
        return;
    }
    if (holder != ownership.holder) {
        logDecision(
            board, "ownDomain", holder ? holder->host.value : "", "", holder ? "owner since revision " + std::to_string(revision) : "the domain has no owner");
    }
    if (holder && holder != ownership.holder) {
        std::erase_if(ownership.recentOwnerChanges, [&](TimePoint at) { return board.now - at > recentChangeWindow; });
        ownership.recentOwnerChanges.push_back(board.now);
    }
    if (!ownership.knownSince || holder != ownership.holder) {
        ownership.knownSince = board.now;
    }
    ownership.holder = std::move(holder);
    ownership.holderRevision = ownership.holder ? revision : 0;
    if (!ownership.isKnown) {
        ownership.isKnown = true;
        subscribeNoLaterThan(board.timers, "proof", board.now); // The first proof has to include the owner key.
    }
    const bool isOurs = ownership.holder && ownership.step == OwnershipStep::Owner && revision == ownership.token;
    if (ownership.step == OwnershipStep::Owner && !isOurs) {
        releaseDomain(board, ownership.holder ? "another host owns it" : "the store has ended the lease");
    }
}

void applyOwnerUpdates(WorkflowBoard &board)
{
    const auto updates = board.updates;
    for (const auto &update : updates) {
        if (update.prefix != domainOwnerKey().path) {
            continue;
        }
        const auto entry = std::ranges::find(update.put, domainOwnerKey(), &StoreEntry::key);
        if (entry != update.put.end()) {
            if (const auto *holder = std::get_if<DomainOwner>(&entry->record)) {
                updateHolder(board, *holder, entry->revision);
            }
        } else if (update.isSnapshot || std::ranges::find(update.deleted, domainOwnerKey()) != update.deleted.end()) {
            updateHolder(board, std::nullopt, update.revision);
        }
    }
}

void becomeOwner(WorkflowBoard &board, Revision token)
{
    auto &ownership = board.ownership;
    ownership.step = OwnershipStep::Owner;
    ownership.call.reset();
    ownership.token = token;
    ownership.holder = DomainOwner{board.self.id, board.self.incarnation};
    ownership.holderRevision = token;
    ownership.isKnown = true;
    ownership.ownedSince = board.now;
    ownership.knownSince = board.now;
    ownership.nextRenewalAt = board.now;
    ownership.claimAt.reset();
    clearOwnerSections(board);
    logDecision(board, "ownDomain", "", "", "owns the domain under token " + std::to_string(token));
    count(board.counters, "ownershipsBegun", "");
}

void endClaim(WorkflowBoard &board, const std::string &reason)
{
    auto &ownership = board.ownership;
    logDecision(board, "ownDomain", "", "", "claim ended: " + reason);
    if (ownership.lease != 0) {
        sendToStore(board, StoreLeaseRevoke{ownership.lease});
    }
    ownership = followerState(ownership);
    ownership.claimAt = board.now + board.self.limits.storeRetry + takeJitter(board, board.self.limits.storeRetry);
}

Duration strengthDelay(const WorkflowBoard &board)
{
    constexpr double wholeCore = 1; // Assumed share of the strongest host as long as no other host is known.
    const double own = board.self.processorShare;
    const double known = board.directory.largestProcessorShare;
    const double strongest = std::max(own, known > 0 ? known : wholeCore);
    const double lack = strongest > 0 ? 1 - own / strongest : 0;
    return Duration{static_cast<Duration::rep>(lack * static_cast<double>(maxStrengthDelay.count()))};
}

void claimIfVacant(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    if (board.isStopping || !isProofFresh(board) || !ownership.isKnown || !isVacant(board)) {
        ownership.claimAt.reset();
        return;
    }
    if (!ownership.claimAt) {
        const auto delay = ownership.holder ? Duration{0} : strengthDelay(board) + takeJitter(board, claimJitter);
        ownership.claimAt = std::max(board.now + delay, ownership.noClaimBefore);
    }
    if (board.now < *ownership.claimAt) {
        subscribeNoLaterThan(board.timers, "claim", *ownership.claimAt);
        return;
    }
    ownership.step = OwnershipStep::Granting;
    ownership.call = sendToStore(board, StoreLeaseGrant{std::max(board.self.limits.ownerLease, board.self.limits.minStoreLease)});
    ownership.callSentAt = board.now;
}

void handleGrantReply(WorkflowBoard &board, const StoreReply &reply)
{
    auto &ownership = board.ownership;
    if (reply.outcome != StoreOutcome::Applied) {
        endClaim(board, "no lease: " + reply.error);
        return;
    }
    ownership.lease = reply.lease;
    ownership.leaseDuration = reply.leaseTimeToLive;
    if (!isVacant(board)) {
        endClaim(board, "another host was first");
        return;
    }
    ownership.authorityUntil = ownership.callSentAt + ownership.leaseDuration - board.self.limits.ownerLeaseMargin;
    ownership.step = OwnershipStep::Claiming;
    StoreWrite write{domainOwnerKey(), DomainOwner{board.self.id, board.self.incarnation}, ownership.holderRevision, true};
    ownership.call = sendToStore(board, StoreTransaction{{std::move(write)}}, ownership.lease);
}

void handleClaimReply(WorkflowBoard &board, const StoreReply &reply)
{
    switch (reply.outcome) {
    case StoreOutcome::Applied:
        becomeOwner(board, reply.revision);
        return;
    case StoreOutcome::Conflict: {
        const auto entry = std::ranges::find(reply.entries, domainOwnerKey(), &StoreEntry::key);
        const auto *holder = entry == reply.entries.end() ? nullptr : std::get_if<DomainOwner>(&entry->record);
        endClaim(board, "another host was first");
        updateHolder(board, holder == nullptr ? std::nullopt : std::optional(*holder), holder == nullptr ? reply.revision : entry->revision);
        return;
    }
    case StoreOutcome::NotSent:
        endClaim(board, "the store did not receive the claim: " + reply.error);
        return;
    case StoreOutcome::Unknown:
        board.ownership.step = OwnershipStep::Checking;
        board.ownership.call = sendToStore(board, StoreRange{domainOwnerKey(), false});
        return;
    }
}

void handleCheckReply(WorkflowBoard &board, const StoreReply &reply)
{
    auto &ownership = board.ownership;
    if (reply.outcome != StoreOutcome::Applied) {
        if (board.now >= ownership.authorityUntil) {
            endClaim(board, "the lease expired before the outcome of the claim was known");
            return;
        }
        ownership.call = sendToStore(board, StoreRange{domainOwnerKey(), false});
        return;
    }
    const auto entry = std::ranges::find(reply.entries, domainOwnerKey(), &StoreEntry::key);
    const auto *holder = entry == reply.entries.end() ? nullptr : std::get_if<DomainOwner>(&entry->record);
    if (holder != nullptr && isSelf(board, *holder)) {
        becomeOwner(board, entry->revision);
        return;
    }
    endClaim(board, "the claim did not take effect");
    updateHolder(board, holder == nullptr ? std::nullopt : std::optional(*holder), holder == nullptr ? reply.revision : entry->revision);
}

void renewLease(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    const auto &limits = board.self.limits;
    if (const auto *reply = findReply(board, ownership.renewal)) {
        ownership.renewal.reset();
        ownership.nextRenewalAt = board.now + limits.storeRetry;
        if (reply->outcome == StoreOutcome::Applied && reply->leaseTimeToLive == Duration{0}) {
            ownership.lease = 0;
            releaseDomain(board, "the store has ended the lease");
            return;
        }
        if (reply->outcome == StoreOutcome::Applied) {
            ownership.leaseDuration = reply->leaseTimeToLive;
            ownership.authorityUntil = ownership.renewalSentAt + ownership.leaseDuration - limits.ownerLeaseMargin;
            ownership.nextRenewalAt = ownership.renewalSentAt + ownership.leaseDuration / renewalsPerLease;
        }
    }
    if (board.now >= ownership.authorityUntil) {
        releaseDomain(board, "the lease could not be renewed in time");
        return;
    }
    if (!ownership.renewal && board.now >= ownership.nextRenewalAt) {
        ownership.renewal = sendToStore(board, StoreLeaseKeepAlive{ownership.lease});
        ownership.renewalSentAt = board.now;
    }
    subscribeNoLaterThan(board.timers, "authority", ownership.authorityUntil);
    if (!ownership.renewal) {
        subscribeNoLaterThan(board.timers, "renewal", ownership.nextRenewalAt);
    }
}

}

void claimDomain(WorkflowBoard &board)
{
    applyOwnerUpdates(board);
    auto &ownership = board.ownership;
    if (const auto *reply = findReply(board, ownership.call)) {
        ownership.call.reset();
        if (ownership.step == OwnershipStep::Granting) {
            handleGrantReply(board, *reply);
        } else if (ownership.step == OwnershipStep::Claiming) {
            handleClaimReply(board, *reply);
        } else if (ownership.step == OwnershipStep::Checking) {
            handleCheckReply(board, *reply);
        }
    }
    if (ownership.step == OwnershipStep::Follower) {
        claimIfVacant(board);
    } else if (ownership.step == OwnershipStep::Owner && board.isStopping) {
        // The next owner finds everything that it needs in the store and in the targets' lists, so the host need not wait for anything.
        releaseDomain(board, "the host stops");
    } else if (ownership.step == OwnershipStep::Owner) {
        renewLease(board);
    }
}

}
