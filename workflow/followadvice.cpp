#include "controllers.h"
#include "progresschange.h"

#include <algorithm>
#include <string>

namespace sequoiastand
{

namespace
{

// First delay before the next question after one without an answer. The delay doubles up to the longest delay, because an overloaded adviser refuses as long as
// questions keep coming.
constexpr Duration firstRetry{150};
constexpr Duration longestRetry{2'000};
constexpr int maxDoublings = 4;

void applyTickets(WorkflowBoard &board, const AdviceCall &call, const AdviceReply &reply)
{
    auto &advice = board.advice.steps[call.step];
    for (const auto &instance : call.targets) {
        const auto ticket = reply.tickets.find(instance.target);
        if (ticket == reply.tickets.end()) {
            advice.allowed.erase(instance);
            advice.refused.insert(instance);
        } else {
            advice.allowed.insert_or_assign(instance, AdviceTicket{ticket->second, call.sentAt + reply.validity});
        }
    }
    logDecision(board,
                "askAdviser",
                "",
                toString(call.step),
                std::to_string(reply.tickets.size()) + " of " + std::to_string(call.targets.size()) + " targets are allowed, answered after "
                    + std::to_string((board.now - call.sentAt).count()) + " ms, tickets valid for " + std::to_string(reply.validity.count()) + " ms");
}

void handleReply(WorkflowBoard &board, const AdviceReply &reply)
{
    auto &state = board.advice;
    if (!state.call || state.call->id != reply.id) {
        return;
    }
    const AdviceCall call = *state.call;
    state.call.reset();
    board.isPlanWanted = true;
    if (reply.isAnswered) {
        state.failures = 0;
        applyTickets(board, call, reply);
        return;
    }
    state.retryAt = board.now + std::min(longestRetry, firstRetry * (1 << std::min(state.failures, maxDoublings)));
    ++state.failures;
    count(board.counters, "adviceFailures", "");
    logDecision(board, "askAdviser", "", toString(call.step), "no answer: " + reply.error, true);
    subscribeNoLaterThan(board.timers, "plan", state.retryAt);
}

bool isStepOver(const WorkflowBoard &board, const StepId &step)
{
    const auto *entry = board.workflows.find(step.workflow);
    if (entry == nullptr || hasEnded(entry->progress.state)) {
        return true;
    }
    const auto occurrence = entry->progress.occurrences.find(step.occurrence);
    return occurrence == entry->progress.occurrences.end() || isFinished(occurrence->second.steps.at(static_cast<std::size_t>(step.step)));
}

}

void followAdvice(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        if (const auto *reply = std::get_if<AdviceReply>(&event)) {
            handleReply(board, *reply);
        }
    }
    if (!board.workflows.changes().empty()) {
        std::erase_if(board.advice.steps, [&](const auto &row) { return isStepOver(board, row.first); });
    }
}

}
