#include "callerreads.h"

#include "calleranswers.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

bool isReadDue(const WorkflowBoard &board, const OpenCallerCall &call)
{
    return call.step == CallerStep::AwaitingRead && call.retryAt <= board.now;
}

bool isReadPermitted(const WorkflowBoard &board)
{
    return board.callerReads.size() < static_cast<std::size_t>(std::max(1, board.self.limits.maxCallerReads));
}

CallId sendRead(WorkflowBoard &board, const RequestId &workflow)
{
    const auto read = sendToStore(board, StoreRange{workflowProgressKey(workflow), false});
    board.callerReads.insert(read);
    return read;
}

}

void readProgress(WorkflowBoard &board, OpenCallerCall call, const RoutedCall &routed)
{
    call.step = CallerStep::AwaitingRead;
    call.workflow = {routed.rest};
    call.call.reset();
    call.retryAt = board.now;
    putCall(board, std::move(call));
}

void followCallerReads(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        if (const auto *reply = std::get_if<StoreReply>(&event)) {
            board.callerReads.erase(reply->id);
        }
    }
}

void sendCallerReads(WorkflowBoard &board)
{
    if (!isReadPermitted(board)) {
        return;
    }
    std::vector<OpenCallerCall> waiting;
    std::ranges::copy_if(board.calls.rows() | std::views::values, std::back_inserter(waiting), [&](const auto &call) { return isReadDue(board, call); });
    std::ranges::stable_sort(waiting, {}, [&](const OpenCallerCall &call) { return latestAnswer(board, call); });
    std::map<RequestId, CallId> sent;
    for (auto &call : waiting) {
        auto read = sent.find(call.workflow);
        if (read == sent.end() && isReadPermitted(board)) {
            read = sent.emplace(call.workflow, sendRead(board, call.workflow)).first;
        }
        if (read != sent.end()) {
            call.step = CallerStep::Reading;
            call.call = read->second;
            putCall(board, std::move(call));
        }
    }
}

std::size_t waitingCallerReads(const WorkflowBoard &board)
{
    return static_cast<std::size_t>(std::ranges::count_if(board.calls.rows() | std::views::values, [&](const auto &call) { return isReadDue(board, call); }));
}

}
