#include "ownershipchange.h"

namespace sequoiastand
{

void clearOwnerSections(WorkflowBoard &board)
{
    board.load = {};
    board.chain = {};
    board.overdueDuties.clear();
    board.workflows = {};
    board.urgentArrivals.clear();
    board.runs = {};
    board.runCalls.clear();
    board.startAnswers = {};
    board.strayStops.clear();
    board.lateStarts.clear();
    board.restartPauses.clear();
    board.advice = {};
    board.fillerPaces.clear();
    board.heldRoom.clear();
    board.organisationCapWaits = 0;
    board.waitingSince.clear();
    board.explainedWaits.clear();
    board.targets = {};
    board.shapes.clear();
}

Ownership followerState(const Ownership &ownership)
{
    Ownership follower;
    follower.isKnown = ownership.isKnown;
    follower.holder = ownership.holder;
    follower.holderRevision = ownership.holderRevision;
    follower.knownSince = ownership.knownSince;
    follower.recentOwnerChanges = ownership.recentOwnerChanges;
    follower.noClaimBefore = ownership.noClaimBefore;
    follower.unfitUntil = ownership.unfitUntil;
    return follower;
}

void releaseDomain(WorkflowBoard &board, const std::string &reason)
{
    auto &ownership = board.ownership;
    logDecision(board, "ownDomain", "", "", "released the domain, token " + std::to_string(ownership.token) + ": " + reason);
    count(board.counters, "ownershipsEnded", "");
    if (ownership.lease != 0) {
        sendToStore(board, StoreLeaseRevoke{ownership.lease});
    }
    ownership = followerState(ownership);
    clearOwnerSections(board);
}

}
