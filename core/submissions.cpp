#include "admission.h"

#include "jobrecord.h"
#include "storeaccess.h"

#include <utility>

namespace sequoiastand
{

namespace
{

/// Time after which a submission that is neither stored nor started is refused. It is longer than one store call and its read-back.
constexpr Duration submissionLimit{5'000};
/// Time after which a submission is refused if the store is unreachable and the job has no attempt yet.
constexpr Duration startLimit{2'000};
constexpr Duration retryAfter{2'000};

void answerOffer(Blackboard &board, const PendingSubmission &pending, std::optional<Refusal> refusal, std::optional<Job> job)
{
    if (!pending.offeredBy) {
        return;
    }
    const Peer *peer = board.peers.find(*pending.offeredBy);
    const std::string address = peer == nullptr ? "" : peer->address;
    board.outbox.emplace_back(PeerSend{*pending.offeredBy, address, OfferReply{*pending.offeredByCall, std::move(refusal), std::move(job)}});
}

void refusePending(Blackboard &board, const PendingSubmission &pending, const Refusal &refusal)
{
    count(board.counters, "refusals", std::string(name(refusal.reason)));
    board.jobUpdateState.refusals.push_back({pending.specification.id, std::nullopt, refusal});
    answerOffer(board, pending, refusal, std::nullopt);
}

void applyOfferReply(Blackboard &board, const HostId &from, const OfferReply &reply)
{
    for (const auto &[id, pending] : board.jobUpdateState.submissions) {
        if (pending.offeredTo != from || pending.offerCall != reply.id) {
            continue;
        }
        const PendingSubmission answered = pending;
        board.jobUpdateState.submissions.erase(id);
        if (reply.job && !board.jobs.contains(answered.specification.id)) {
            // The zone owner writes the record; this copy of the job answers status requests until the watch delivers the record.
            Job copy = *reply.job;
            copy.revision = 0;
            board.jobs.put(answered.specification.id, std::move(copy));
        } else if (reply.refusal) {
            refusePending(board, answered, *reply.refusal);
        }
        return;
    }
}

bool isAccepted(const PendingSubmission &pending, const Job *job)
{
    if (job == nullptr || pending.offeredTo) {
        return false;
    }
    const bool hasRun = job->state == JobState::Running || job->state == JobState::Finished || job->state == JobState::Failed;
    return job->revision > 0 || (pending.isAcceptedByStart && hasRun);
}

/// Withdraws the write of a submission and removes its job. Returns false if the job may already be stored, offered or started.
bool withdrawSubmission(Blackboard &board, const PendingSubmission &pending)
{
    const JobId &id = pending.specification.id;
    if (pending.offeredTo || attemptOf(board, id) != nullptr || !withdrawWrite(board.store, jobKey(id))) {
        return false;
    }
    board.jobUpdateState.unsaved.erase(id);
    board.jobs.erase(id);
    return true;
}

bool isOverdue(const Blackboard &board, const PendingSubmission &pending)
{
    const bool isUnstarted = pending.isAcceptedByStart && attemptOf(board, pending.specification.id) == nullptr;
    return board.now - pending.since >= (isUnstarted ? startLimit : submissionLimit);
}

}

void resolveSubmissions(Blackboard &board)
{
    for (const Event &event : board.inbox) {
        const auto *received = std::get_if<PeerMessageReceived>(&event);
        if (const auto *reply = received == nullptr ? nullptr : std::get_if<OfferReply>(&received->message)) {
            applyOfferReply(board, received->from, *reply);
        }
    }
    std::vector<PendingSubmission> accepted;
    std::vector<PendingSubmission> overdue;
    for (const auto &[id, pending] : board.jobUpdateState.submissions) {
        if (isAccepted(pending, board.jobs.find(id))) {
            accepted.push_back(pending);
        } else if (isOverdue(board, pending)) {
            overdue.push_back(pending);
        }
    }
    for (const PendingSubmission &pending : accepted) {
        count(board.counters, "accepted", pending.isAcceptedByStart ? "started" : "stored");
        answerOffer(board, pending, std::nullopt, *board.jobs.find(pending.specification.id));
        board.jobUpdateState.submissions.erase(pending.specification.id);
    }
    for (const PendingSubmission &pending : overdue) {
        const bool isWithdrawn = withdrawSubmission(board, pending);
        const std::string message = isWithdrawn ? "the job could not be recorded in time and was not run"
                                                : "the job may have been recorded; send the same request id again to learn its state";
        refusePending(board, pending, {RefusalReason::StoreUnavailable, isWithdrawn ? RequestEffect::NotRun : RequestEffect::Unknown, retryAfter, message});
        board.jobUpdateState.submissions.erase(pending.specification.id);
    }
}

}
