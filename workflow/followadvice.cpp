#include "controllers.h"
#include "progresschange.h"

#include <algorithm>
#include <string>

namespace sequoiastand
{

namespace
{

// After a question without an answer; doubles up to the longest pause, since an adviser that is overloaded refuses for as long as it is asked.
constexpr Duration firstRetry{150};
constexpr Duration longestRetry{2'000};
constexpr int maxDoublings = 4;

void takeTickets(WorkflowBoard &board, const AdviceCall &call, const AdviceReply &reply)
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

void takeReply(WorkflowBoard &board, const AdviceReply &reply)
{
    auto &book = board.advice;
    if (!book.call || book.call->id != reply.id) {
        return;
    }
    const AdviceCall call = *book.call;
    book.call.reset();
    board.isPlanWanted = true;
    if (reply.isAnswered) {
        book.failures = 0;
        takeTickets(board, call, reply);
        return;
    }
    book.retryAt = board.now + std::min(longestRetry, firstRetry * (1 << std::min(book.failures, maxDoublings)));
    ++book.failures;
    count(board.counters, "adviceFailures", "");
    logDecision(board, "askAdviser", "", toString(call.step), "no answer: " + reply.error, true);
    subscribeNoLaterThan(board.timers, "plan", book.retryAt);
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
            takeReply(board, *reply);
        }
    }
    if (!board.workflows.changes().empty()) {
        std::erase_if(board.advice.steps, [&](const auto &row) { return isStepOver(board, row.first); });
    }
}

}
