#include "targetorders.h"

#include <utility>

namespace sequoiastand
{

TargetOrder makeOrder(WorkflowBoard &board, const DomainTarget &target, TargetOrderRequest request, Duration timeout)
{
    TargetOrder order;
    order.id = takeCallId(board);
    order.target = target.registration.instance.target;
    order.address = target.registration.address;
    order.token = board.ownership.token;
    order.request = std::move(request);
    order.timeout = timeoutWithLag(board, timeout);
    order.sendBefore = board.ownership.authorityUntil;
    return order;
}

}
