#include "targetorders.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace sequoiastand
{

namespace
{

/// Time from which the order may no longer be sent: all orders need the owner's authority, and a start also needs a recent proof of the configuration, because
/// its zone may have been evacuated since.
TimePoint permissionEnd(const WorkflowBoard &board, const TargetOrderRequest &request)
{
    const auto authority = board.ownership.authorityUntil;
    const bool needsProof = std::holds_alternative<StartRun>(request) && board.view.provenAt;
    return needsProof ? std::min(authority, *board.view.provenAt + board.self.limits.maxProofAge) : authority;
}

}

TargetOrder makeOrder(WorkflowBoard &board, const DomainTarget &target, TargetOrderRequest request, Duration timeout)
{
    TargetOrder order;
    order.id = takeCallId(board);
    order.target = target.registration.instance.target;
    order.address = target.registration.address;
    order.token = board.ownership.token;
    order.request = std::move(request);
    order.timeout = timeoutWithLag(board, timeout);
    order.sendBefore = permissionEnd(board, order.request);
    return order;
}

}
