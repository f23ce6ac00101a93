#include "admission.h"

#include "jobrecord.h"
#include "storeaccess.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::size_t maxIdentifierLength = 200;
constexpr std::size_t maxPayloadBytes = 524'288; // The store limits a value to 1 MB, which must hold the base64-encoded payload and the other fields.
constexpr int maxTaskCount = 256;
constexpr int maxAcceleratorsPerTask = 32; // Number of bits of AcceleratorMask.
constexpr Duration queueRetry{10'000};
constexpr Duration storeRetry{2'000};
constexpr Duration shutdownRetry{100};

Refusal notRunRefusal(RefusalReason reason, Duration retryAfter, const std::string &message)
{
    return {reason, RequestEffect::NotRun, retryAfter, message};
}

bool isValidIdentifier(const std::string &text)
{
    return !text.empty() && text.size() <= maxIdentifierLength && std::ranges::all_of(text, [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.' || character == ':';
    });
}

std::string specificationError(const JobSpecification &specification)
{
    if (!isValidIdentifier(specification.id.organisation.value) || !isValidIdentifier(specification.id.request.value)) {
        return "organisation and request id consist of 1 to 200 letters, digits or the characters - _ . :";
    }
    if (specification.taskCount < 1 || specification.taskCount > maxTaskCount) {
        return "a gang has 1 to 256 tasks";
    }
    if (specification.acceleratorsPerTask < 0 || specification.acceleratorsPerTask > maxAcceleratorsPerTask) {
        return "a task has 0 to 32 accelerators";
    }
    if (specification.milliCpuPerTask < 0 || specification.memoryMbPerTask < 0 || specification.declaredRunTime < Duration{0}) {
        return "processors, memory and run time are not negative";
    }
    return "";
}

/// Number of waiting jobs of each organisation. The jobs are counted once per step, so that a burst of submissions does not repeat the count.
std::map<OrganisationId, int> waitingJobs(const Blackboard &board)
{
    std::map<OrganisationId, int> counts;
    for (const auto &[id, job] : board.jobs.rows()) {
        if (job.state == JobState::Waiting || job.state == JobState::Reserving) {
            ++counts[id.organisation];
        }
    }
    return counts;
}

struct Submission
{
    JobSpecification specification;
    std::optional<CallId> call; ///< Call that submits the job; none if a peer offers the job.
    std::optional<HostId> offeredBy;
    std::optional<CallId> offerCall;
};

void refuse(Blackboard &board, const Submission &submission, const Refusal &refusal)
{
    count(board.counters, "refusals", std::string(name(refusal.reason)));
    if (submission.offeredBy) {
        const Peer *peer = board.peers.find(*submission.offeredBy);
        const std::string address = peer == nullptr ? "" : peer->address;
        board.outbox.emplace_back(PeerSend{*submission.offeredBy, address, OfferReply{*submission.offerCall, refusal, std::nullopt}});
        return;
    }
    board.jobUpdateState.refusals.push_back({submission.specification.id, submission.call, refusal});
}

std::optional<Refusal> queueRefusal(const Blackboard &board, const JobSpecification &specification, const std::map<OrganisationId, int> &waiting)
{
    const auto organisation = board.configuration.organisations.find(specification.id.organisation);
    const auto current = waiting.find(specification.id.organisation);
    if (organisation == board.configuration.organisations.end() || current == waiting.end() || current->second < organisation->second.maxWaitingJobs) {
        return std::nullopt;
    }
    return notRunRefusal(RefusalReason::QueueFull, queueRetry, std::to_string(current->second) + " jobs of the organisation are already waiting");
}

void offerToOwner(Blackboard &board, const Submission &submission, const HostId &owner)
{
    PendingSubmission pending{submission.specification, board.now};
    pending.offeredTo = owner;
    pending.offerCall = takeCallId(board);
    board.outbox.emplace_back(PeerSend{owner, board.peers.find(owner)->address, Offer{*pending.offerCall, submission.specification}});
    board.jobUpdateState.submissions.insert_or_assign(submission.specification.id, pending);
}

/// Admits a job while the store is unreachable: only an idempotent job that starts at once is accepted (docs/design.md, section 3.4).
void admitWithoutStore(Blackboard &board, const Submission &submission, Job job)
{
    const std::optional<HostId> owner = ownerOf(board, job.availabilityZone);
    if (!job.specification.isIdempotent || !owner || (submission.offeredBy && *owner != board.self.id)) {
        refuse(board, submission, notRunRefusal(RefusalReason::StoreUnavailable, storeRetry, "the store cannot be reached, so the job cannot be recorded"));
        return;
    }
    if (*owner != board.self.id) {
        offerToOwner(board, submission, *owner);
        return;
    }
    PendingSubmission pending{submission.specification, board.now};
    pending.isAcceptedByStart = true;
    pending.offeredBy = submission.offeredBy;
    pending.offeredByCall = submission.offerCall;
    board.jobUpdateState.submissions.insert_or_assign(submission.specification.id, pending);
    saveJob(board, std::move(job));
}

/// True if the request id is already in use. The call is then answered from the first submission, or refused if the contents differ.
bool isKnown(Blackboard &board, const Submission &submission)
{
    const JobId &id = submission.specification.id;
    const auto pending = board.jobUpdateState.submissions.find(id);
    const Job *known = board.jobs.find(id);
    if (known == nullptr && pending == board.jobUpdateState.submissions.end()) {
        return false;
    }
    const JobSpecification &first = known != nullptr ? known->specification : pending->second.specification;
    if (first != submission.specification) {
        refuse(board, submission, notRunRefusal(RefusalReason::RequestIdReused, Duration{0}, "the request id was used before with different content"));
    } else if (submission.offeredBy && pending == board.jobUpdateState.submissions.end()) {
        const Peer *peer = board.peers.find(*submission.offeredBy);
        board.outbox.emplace_back(
            PeerSend{*submission.offeredBy, peer == nullptr ? "" : peer->address, OfferReply{*submission.offerCall, std::nullopt, *known}});
    } else if (submission.offeredBy) {
        pending->second.offeredBy = submission.offeredBy;
        pending->second.offeredByCall = submission.offerCall;
    }
    return true;
}

void admit(Blackboard &board, const Submission &submission, std::map<OrganisationId, int> &waiting)
{
    if (isKnown(board, submission)) {
        return;
    }
    if (board.isStopping) {
        refuse(board, submission, notRunRefusal(RefusalReason::ShuttingDown, shutdownRetry, "this host is stopping; send the request to another one"));
        return;
    }
    if (board.configuration.version == 0) {
        refuse(board, submission, notRunRefusal(RefusalReason::StoreUnavailable, storeRetry, "this host has not read the configuration yet"));
        return;
    }
    if (const auto refusal = specificationRefusal(submission.specification, board.configuration, board.wallNow)) {
        refuse(board, submission, *refusal);
        return;
    }
    if (const auto refusal = queueRefusal(board, submission.specification, waiting)) {
        refuse(board, submission, *refusal);
        return;
    }
    const ZoneChoice choice = chooseZone(board, submission.specification);
    if (choice.refusal) {
        refuse(board, submission, *choice.refusal);
        return;
    }
    Job job;
    job.specification = submission.specification;
    job.availabilityZone = submission.offeredBy ? board.self.availabilityZone : choice.availabilityZone;
    job.acceptedAt = board.wallNow;
    job.explanation = "waits for a placement in zone " + job.availabilityZone.value;
    ++waiting[submission.specification.id.organisation];
    if (!canReachStore(board)) {
        admitWithoutStore(board, submission, std::move(job));
        return;
    }
    board.jobUpdateState.submissions.insert_or_assign(
        submission.specification.id,
        PendingSubmission{
            .specification = submission.specification, .since = board.now, .offeredBy = submission.offeredBy, .offeredByCall = submission.offerCall});
    saveJob(board, std::move(job));
}

}

std::optional<Refusal> specificationRefusal(const JobSpecification &specification, const Configuration &configuration, WallTime wallNow)
{
    if (const std::string error = specificationError(specification); !error.empty()) {
        return notRunRefusal(RefusalReason::BadRequest, Duration{0}, error);
    }
    if (specification.payload.size() > maxPayloadBytes) {
        return notRunRefusal(RefusalReason::BodyTooLarge, Duration{0}, "the payload is longer than 512 KiB");
    }
    const OrganisationId &organisation = specification.id.organisation;
    if (!configuration.organisations.contains(organisation)) {
        return notRunRefusal(RefusalReason::Unauthorised, Duration{0}, "organisation \"" + organisation.value + "\" does not exist");
    }
    if (!specification.team.value.empty()) {
        const auto team = configuration.teams.find(specification.team);
        if (team == configuration.teams.end() || team->second.organisation != organisation) {
            return notRunRefusal(RefusalReason::BadRequest, Duration{0}, "team \"" + specification.team.value + "\" does not exist in the organisation");
        }
        const int quota = team->second.acceleratorQuota;
        if (quota > 0 && acceleratorCount(specification) > quota) {
            return notRunRefusal(
                RefusalReason::QuotaExceeded, Duration{0}, "the gang needs more accelerators than the team's quota of " + std::to_string(quota));
        }
    }
    if (specification.deadline && wallNow + specification.declaredRunTime > *specification.deadline) {
        return notRunRefusal(RefusalReason::DeadlineUnreachable, Duration{0}, "the declared run time ends after the deadline");
    }
    return std::nullopt;
}

void admitSubmissions(Blackboard &board)
{
    std::vector<Submission> submissions;
    for (const Event &event : board.inbox) {
        if (const auto *request = std::get_if<SubmitRequest>(&event)) {
            submissions.push_back({request->specification, request->id, std::nullopt, std::nullopt});
        } else if (const auto *received = std::get_if<PeerMessageReceived>(&event)) {
            if (const auto *offer = std::get_if<Offer>(&received->message)) {
                submissions.push_back({offer->specification, std::nullopt, received->from, offer->id});
            }
        }
    }
    if (submissions.empty()) {
        return;
    }
    std::map<OrganisationId, int> waiting = waitingJobs(board);
    for (const Submission &submission : submissions) {
        admit(board, submission, waiting);
    }
}

}
