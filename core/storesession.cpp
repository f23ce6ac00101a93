#include "storesession.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

void requestWrite(StoreSession &session, StoreWrite write, const std::string &purpose)
{
    const auto queued = std::ranges::find_if(session.writes, [&write](const PendingWrite &pending) { return pending.write.key == write.key; });
    if (queued != session.writes.end()) {
        *queued = PendingWrite{std::move(write), purpose};
        return;
    }
    session.writes.push_back({std::move(write), purpose});
}

void requestTransaction(StoreSession &session, std::vector<StoreWrite> writes, const std::string &purpose)
{
    session.transactions.push_back({std::move(writes), purpose});
}

bool withdrawTransaction(StoreSession &session, const StoreKey &firstKey)
{
    return std::erase_if(session.transactions, [&firstKey](const PendingTransaction &pending) { return pending.writes.front().key == firstKey; }) > 0;
}

}
