#include "controllers.h"
#include "runends.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace sequoiastand
{

namespace
{

const TargetOrderReply *findOrderReply(const WorkflowBoard &board, const CallId &call)
{
    const auto found = std::ranges::find_if(board.inbox, [&](const WorkflowEvent &event) {
        const auto *reply = std::get_if<TargetOrderReply>(&event);
        return reply != nullptr && reply->id == call;
    });
    return found == board.inbox.end() ? nullptr : &std::get<TargetOrderReply>(*found);
}

LateStart handleStopReply(WorkflowBoard &board, LateStart late)
{
    const auto *reply = late.stop ? findOrderReply(board, *late.stop) : nullptr;
    if (reply == nullptr) {
        return late;
    }
    late.stop.reset();
    if (reply->outcome == OrderOutcome::Accepted || reply->refusal == OrderRefusal::OldRun) {
        late.isStopWanted = false;
        late.isFenced = true;
        board.isPlanWanted = true;
        return late;
    }
    late.stopRetryAt = board.now + board.self.limits.orderRetry;
    logDecision(board,
                "stopStray",
                late.target.value,
                toString(late.task),
                "stop of run " + std::to_string(late.run) + ", whose start may arrive late, was not carried out: " + reply->error,
                true);
    return late;
}

LateStart sendStop(WorkflowBoard &board, LateStart late)
{
    const auto *target = board.targets.find(late.target);
    if (!late.isStopWanted || late.stop || target == nullptr) {
        return late;
    }
    if (board.now < late.stopRetryAt) {
        subscribeNoLaterThan(board.timers, "orders", late.stopRetryAt);
        return late;
    }
    late.stop = sendStrayStop(board, *target, late.task, late.run);
    return late;
}

}

void stopLateStarts(WorkflowBoard &board)
{
    // Many starts may be late while a few targets or none have restarted.
    if (std::ranges::none_of(board.lateStarts, &LateStart::isStopWanted)) {
        return;
    }
    std::erase_if(board.lateStarts, [&](const LateStart &late) { return late.until <= board.now; });
    std::ranges::transform(board.lateStarts, board.lateStarts.begin(), [&](const LateStart &late) { return handleStopReply(board, late); });
    if (hasAuthority(board)) {
        std::ranges::transform(board.lateStarts, board.lateStarts.begin(), [&](const LateStart &late) { return sendStop(board, late); });
    }
}

}
