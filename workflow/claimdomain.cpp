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

// Number of renewals within the duration of the lease. With four renewals, three may be unanswered at a time.
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
    ownership.actingSince = board.now;
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
    ownership.nextRenewalAt = board.now;
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

/// Notes that the authority has ended before a renewal was answered. The store may still hold the lease, in which case no other host can own the domain, so this
/// host keeps its sections and goes on with its renewals.
void suspendAuthority(WorkflowBoard &board)
{
    board.ownership.suspendedSince = board.now;
    logDecision(board, "renewLease", "", "", "the authority has ended before a renewal was answered; no order or write until one is", true);
    count(board.counters, "authorityEnded", "");
}

/// Ends the suspension. The timers and changes that were due meanwhile have been missed, so everything is looked at again.
void resumeAuthority(WorkflowBoard &board)
{
    const auto time = board.now - *board.ownership.suspendedSince;
    logDecision(board, "renewLease", "", "", "the lease still runs; authority again after " + std::to_string(time.count()) + " ms");
    board.ownership.suspendedSince.reset();
    board.ownership.actingSince = board.now;
    board.isPlanWanted = true;
    subscribeNoLaterThan(board.timers, "occurrence", board.now);
}

void reportUnansweredRenewal(WorkflowBoard &board, TimePoint sentAt, const std::string &error)
{
    logDecision(board,
                "renewLease",
                "",
                "",
                "no answer after " + std::to_string((board.now - sentAt).count()) + " ms, "
                    + std::to_string((board.ownership.authorityUntil - board.now).count()) + " ms before the authority ends: " + error,
                true);
    count(board.counters, "renewalsFailed", "");
}

/// Applies the answers to renewals. Returns false if the store has ended the lease.
bool readRenewalReplies(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<StoreReply>(&event);
        const auto renewal = reply == nullptr ? ownership.renewals.end() : ownership.renewals.find(reply->id);
        if (renewal == ownership.renewals.end()) {
            continue;
        }
        const auto sentAt = renewal->second;
        ownership.renewals.erase(renewal);
        if (reply->outcome != StoreOutcome::Applied) {
            ownership.nextRenewalAt = std::min(ownership.nextRenewalAt, board.now + board.self.limits.storeRetry);
            reportUnansweredRenewal(board, sentAt, reply->error);
        } else if (reply->leaseTimeToLive == Duration{0}) {
            return false;
        } else {
            ownership.leaseDuration = reply->leaseTimeToLive;
            ownership.authorityUntil = std::max(ownership.authorityUntil, sentAt + ownership.leaseDuration - board.self.limits.ownerLeaseMargin);
        }
    }
    return true;
}

void sendDueRenewal(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    if (board.now >= ownership.nextRenewalAt) {
        // Renewals overlap, each on a connection of its own, so that a late answer or a dead connection does not cost the authority.
        const auto timeout = ownership.leaseDuration - board.self.limits.ownerLeaseMargin;
        ownership.renewals.emplace(sendToStore(board, StoreLeaseKeepAlive{ownership.lease}, 0, timeout), board.now);
        ownership.nextRenewalAt = board.now + ownership.leaseDuration / renewalsPerLease;
    }
    subscribeNoLaterThan(board.timers, "renewal", ownership.nextRenewalAt);
}

/// Keeps the lease while the claim is under way, because a late store answers the claim when the lease would already have ended.
void renewClaim(WorkflowBoard &board)
{
    if (readRenewalReplies(board)) {
        sendDueRenewal(board);
    } else {
        endClaim(board, "the store has ended the lease");
    }
}

void renewLease(WorkflowBoard &board)
{
    auto &ownership = board.ownership;
    if (!ownership.releaseReason.empty()) {
        releaseDomain(board, std::string{ownership.releaseReason});
        return;
    }
    if (!readRenewalReplies(board)) {
        ownership.lease = 0;
        releaseDomain(board, "the store has ended the lease");
        return;
    }
    if (board.now < ownership.authorityUntil && ownership.suspendedSince) {
        resumeAuthority(board);
    } else if (board.now >= ownership.authorityUntil && !ownership.suspendedSince) {
        suspendAuthority(board);
    }
    sendDueRenewal(board);
    if (!ownership.suspendedSince) {
        subscribeNoLaterThan(board.timers, "authority", ownership.authorityUntil);
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
    } else if (ownership.step == OwnershipStep::Claiming) {
        renewClaim(board);
    } else if (ownership.step == OwnershipStep::Owner && board.isStopping) {
        // The next owner finds everything that it needs in the store and in the targets' lists, so the host need not wait for anything.
        releaseDomain(board, "the host stops");
    } else if (ownership.step == OwnershipStep::Owner) {
        renewLease(board);
    }
}

}
