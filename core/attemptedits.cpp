#include "attemptedits.h"

#include "jobrecord.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// True if the attempt has ended, and its job is not on the board or the job's record shows that the attempt is over.
bool isSettled(const Blackboard &board, const Attempt &attempt)
{
    const Job *job = board.jobs.find(attempt.id.job);
    return attempt.step == AttemptStep::Ended && (job == nullptr || isStaleAttempt(*job, attempt.id, board.self.availabilityZone));
}

void removeAttempt(Blackboard &board, const Attempt &attempt)
{
    for (const AttemptMember &member : attempt.members) {
        if (member.callInFlight) {
            board.attemptIndex.calls.erase(*member.callInFlight);
        }
        const auto entry = board.attemptIndex.byTarget.find(member.target);
        if (entry != board.attemptIndex.byTarget.end()) {
            entry->second.erase(attempt.id);
            if (entry->second.empty()) {
                board.attemptIndex.byTarget.erase(entry);
            }
        }
    }
    board.attempts.erase(attempt.id);
}

}

Attempt *editAttempt(AttemptEdits &work, const AttemptId &id)
{
    const auto edited = work.edited.find(id);
    if (edited != work.edited.end()) {
        return &edited->second;
    }
    const Attempt *attemptOnBoard = work.board.attempts.find(id);
    return attemptOnBoard == nullptr ? nullptr : &work.edited.emplace(id, *attemptOnBoard).first->second;
}

const Attempt *readAttempt(const AttemptEdits &work, const AttemptId &id)
{
    const auto edited = work.edited.find(id);
    return edited != work.edited.end() ? &edited->second : work.board.attempts.find(id);
}

void addAttempt(AttemptEdits &work, Attempt attempt)
{
    for (const AttemptMember &member : attempt.members) {
        work.board.attemptIndex.byTarget[member.target].insert(attempt.id);
    }
    const AttemptId id = attempt.id;
    work.edited.insert_or_assign(id, std::move(attempt));
}

void addMember(AttemptEdits &work, Attempt &attempt, AttemptMember member)
{
    work.board.attemptIndex.byTarget[member.target].insert(attempt.id);
    attempt.members.push_back(std::move(member));
    std::ranges::sort(attempt.members, {}, [](const AttemptMember &row) { return std::pair{row.target, row.index}; });
}

void commit(AttemptEdits &work)
{
    for (auto &[id, attempt] : work.edited) {
        if (isSettled(work.board, attempt)) {
            removeAttempt(work.board, attempt);
        } else {
            work.board.attempts.put(id, std::move(attempt));
        }
    }
    work.edited.clear();
}

void discardAttempts(Blackboard &board)
{
    std::vector<AttemptId> ids;
    for (const auto &[id, attempt] : board.attempts.rows()) {
        ids.push_back(id);
    }
    for (const AttemptId &id : ids) {
        board.attempts.erase(id);
    }
    board.attemptIndex = AttemptIndex{};
}

AttemptMember *findMember(Attempt &attempt, int index)
{
    const auto found = std::ranges::find(attempt.members, index, &AttemptMember::index);
    return found == attempt.members.end() ? nullptr : &*found;
}

}
