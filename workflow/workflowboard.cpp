#include "workflowboard.h"

#include "core/random.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

Duration timeoutWithLag(const WorkflowBoard &board, Duration timeout)
{
    constexpr int lagsPerAnswer = 2; // One lag before the call is sent, one before its answer is read.
    return timeout + std::chrono::duration_cast<Duration>(lagsPerAnswer * board.lag.mean);
}

Duration storeTimeout(const WorkflowBoard &board)
{
    const auto least = board.self.limits.storeTimeout;
    return timeoutFor(board.storeAnswers, least, std::max(least, board.self.limits.maxStoreTimeout));
}

CallId sendToStore(WorkflowBoard &board, StoreRequest request, long long lease, std::optional<Duration> timeout)
{
    StoreCall call;
    call.id = takeCallId(board);
    call.request = std::move(request);
    call.lease = lease;
    call.timeout = timeoutWithLag(board, timeout.value_or(storeTimeout(board)));
    const CallId id = call.id;
    const auto *range = std::get_if<StoreRange>(&call.request);
    if (range == nullptr || !range->isPrefix) {
        board.storeCalls.emplace(id, board.now);
    }
    board.outbox.emplace_back(std::move(call));
    return id;
}

const StoreReply *findReply(const WorkflowBoard &board, const std::optional<CallId> &call)
{
    if (!call) {
        return nullptr;
    }
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<StoreReply>(&event);
        if (reply != nullptr && reply->id == *call) {
            return reply;
        }
    }
    return nullptr;
}

CallId takeCallId(WorkflowBoard &board)
{
    return CallId{board.nextCallId++};
}

Duration takeJitter(WorkflowBoard &board, Duration bound)
{
    return nextJitter(board.randomState, bound);
}

bool hasAuthority(const WorkflowBoard &board)
{
    return board.ownership.step == OwnershipStep::Owner && board.now < board.ownership.authorityUntil && !board.isStopping;
}

bool isProofFresh(const WorkflowBoard &board)
{
    const auto &view = board.view;
    return view.isLoaded && view.provenAt && board.now - *view.provenAt <= board.self.limits.maxProofAge;
}

void logDecision(WorkflowBoard &board, std::string step, std::string peer, std::string job, std::string message, bool isError)
{
    board.log.push_back({std::move(step), std::move(peer), std::move(job), std::move(message), isError});
}

}
