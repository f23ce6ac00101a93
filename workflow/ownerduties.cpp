#include "ownerduties.h"

#include "controllers.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

// Time after which a duty that is not done counts as overdue, and after which the owner gives the domain up. Two or three attempts have failed by then.
constexpr Duration overdueAfter{1'000};
constexpr Duration stalledAfter{2'000};

// Time within which a new owner reads the domain, unless reads fail.
constexpr Duration longestLoad{4'000};

// Time between two lines of the log about the same overdue duty.
constexpr Duration reportPeriod{5'000};

constexpr std::array allDuties{OwnerDuty::ProveConfiguration, OwnerDuty::ReadDomain, OwnerDuty::CommitProgress, OwnerDuty::HoldTargets};

// With fewer targets, all of them may well be out of service.
constexpr std::size_t minTargetsToJudgeContact = 8;

// Unanswered holds after which a target counts as silent.
constexpr int silentFailures = 2;

std::optional<TimePoint> proofDueSince(const WorkflowBoard &board)
{
    const auto due = board.view.provenAt ? *board.view.provenAt + board.self.limits.proofPeriod : board.ownership.ownedSince;
    return std::max(due, board.ownership.ownedSince);
}

std::optional<TimePoint> readFailingSince(const WorkflowBoard &board)
{
    const auto &load = board.load;
    const bool isLoaded = load.hasProgress && load.hasCommitMark && load.hasIntake && load.hasTargets;
    const auto loadDueAt = board.ownership.ownedSince + longestLoad;
    std::optional<TimePoint> since = load.failingSince;
    if (!isLoaded && board.now >= loadDueAt) {
        since = std::min(since.value_or(loadDueAt), loadDueAt);
    }
    for (const auto &prefix : ownerPrefixes) {
        const auto mirror = board.mirrors.find(prefix);
        if (mirror != board.mirrors.end() && mirror->second.failingSince) {
            since = std::min(since.value_or(*mirror->second.failingSince), *mirror->second.failingSince);
        }
    }
    return since;
}

std::optional<TimePoint> commitUnansweredSince(const WorkflowBoard &board)
{
    return board.chain.batch ? std::optional(board.chain.batch->sentAt) : std::nullopt;
}

/// Since when no target has answered, although all of them have been asked repeatedly.
std::optional<TimePoint> targetsSilentSince(const WorkflowBoard &board)
{
    auto registered = board.targets.rows() | std::views::values | std::views::filter(&DomainTarget::isRegistered);
    TimePoint newest = board.ownership.ownedSince;
    std::size_t count = 0;
    for (const auto &target : registered) {
        if (target.failures < silentFailures) {
            return std::nullopt;
        }
        newest = std::max(newest, target.answeredAt.value_or(newest));
        ++count;
    }
    return count < minTargetsToJudgeContact ? std::nullopt : std::optional(newest);
}

std::optional<TimePoint> undoneSince(const WorkflowBoard &board, OwnerDuty duty)
{
    switch (duty) {
    case OwnerDuty::ProveConfiguration:
        return proofDueSince(board);
    case OwnerDuty::ReadDomain:
        return readFailingSince(board);
    case OwnerDuty::CommitProgress:
        return commitUnansweredSince(board);
    case OwnerDuty::HoldTargets:
        return targetsSilentSince(board);
    }
    return std::nullopt;
}

std::string errorOf(const WorkflowBoard &board, OwnerDuty duty)
{
    switch (duty) {
    case OwnerDuty::ProveConfiguration:
        return board.view.proofError;
    case OwnerDuty::ReadDomain: {
        const auto isFailing = [](const auto &row) { return std::ranges::find(ownerPrefixes, row.first) != ownerPrefixes.end() && row.second.failingSince; };
        const auto failing = std::ranges::find_if(board.mirrors, isFailing);
        return failing == board.mirrors.end() ? board.load.error : failing->first + ": " + failing->second.error;
    }
    case OwnerDuty::CommitProgress:
        return board.chain.error;
    case OwnerDuty::HoldTargets:
        return "no target answers";
    }
    return {};
}

long long waitingWorkflows(const WorkflowBoard &board)
{
    return std::ranges::count_if(board.workflows.open(),
                                 [&](const RequestId &id) { return board.workflows.find(id)->progress.state == WorkflowState::Queued; });
}

void report(WorkflowBoard &board, OwnerDuty duty, const std::string &state)
{
    const auto error = errorOf(board, duty);
    logDecision(board,
                "checkDuties",
                std::string(name(duty)),
                "",
                state + ", " + std::to_string(waitingWorkflows(board)) + " workflows wait" + (error.empty() ? "" : ": " + error),
                true);
}

void checkDuty(WorkflowBoard &board, OwnerDuty duty)
{
    auto since = undoneSince(board, duty);
    if (since) {
        since = std::max(*since, board.ownership.actingSince); // No duty could be done without authority.
    }
    const auto limit = timeoutWithLag(board, overdueAfter);
    const auto present = board.overdueDuties.find(duty);
    if (!since || board.now < *since + limit) {
        if (present != board.overdueDuties.end()) {
            logDecision(
                board, "checkDuties", std::string(name(duty)), "", "done again after " + std::to_string((board.now - present->second.since).count()) + " ms");
            board.overdueDuties.erase(present);
        }
        if (since) {
            subscribeNoLaterThan(board.timers, "duties", *since + limit);
        }
        return;
    }
    if (present == board.overdueDuties.end()) {
        report(board, duty, "overdue for " + std::to_string((board.now - *since).count()) + " ms");
        board.overdueDuties.emplace(duty, OverdueDuty{*since, board.now});
    } else if (board.now >= present->second.loggedAt + reportPeriod) {
        report(board, duty, "still overdue after " + std::to_string((board.now - *since).count()) + " ms");
        present->second.loggedAt = board.now;
    }
    auto &overdue = board.overdueDuties.at(duty);
    overdue.since = *since; // It moves on if the duty is done, but late again.
    subscribeNoLaterThan(board.timers, "duties", std::min(overdue.loggedAt + reportPeriod, std::max(board.now + overdueAfter, overdue.since + stalledAfter)));
}

}

std::string_view name(OwnerDuty duty)
{
    static constexpr std::array<std::string_view, 4> names{"proveConfiguration", "readDomain", "commitProgress", "holdTargets"};
    return names.at(static_cast<std::size_t>(duty));
}

std::optional<OwnerDuty> stalledDuty(const WorkflowBoard &board)
{
    const auto limit = timeoutWithLag(board, stalledAfter);
    const auto stalled = std::ranges::find_if(board.overdueDuties,
                                              [&](const auto &row) { return row.first != OwnerDuty::HoldTargets && board.now >= row.second.since + limit; });
    return stalled == board.overdueDuties.end() ? std::nullopt : std::optional(stalled->first);
}

Duration overdueTime(const WorkflowBoard &board, OwnerDuty duty)
{
    const auto overdue = board.overdueDuties.find(duty);
    return overdue == board.overdueDuties.end() ? Duration{0} : board.now - overdue->second.since;
}

std::string describeOverdue(const WorkflowBoard &board)
{
    std::string text;
    for (const auto &[duty, overdue] : board.overdueDuties) {
        const auto error = errorOf(board, duty);
        text += (text.empty() ? "" : "; ") + std::string(name(duty)) + " overdue for " + std::to_string((board.now - overdue.since).count()) + " ms"
                + (error.empty() ? "" : ": " + error);
    }
    return text;
}

void checkDuties(WorkflowBoard &board)
{
    if (!hasAuthority(board)) {
        board.overdueDuties.clear();
        return;
    }
    std::ranges::for_each(allDuties, [&](OwnerDuty duty) { checkDuty(board, duty); });
}

}
