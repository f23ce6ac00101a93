#include "controllers.h"

#include <algorithm>

namespace sequoiastand
{

void measureStoreAnswers(WorkflowBoard &board)
{
    for (const auto &event : board.inbox) {
        const auto *reply = std::get_if<StoreReply>(&event);
        if (reply == nullptr) {
            continue;
        }
        const auto call = board.storeCalls.extract(reply->id);
        // A call without an answer is no sample: proofs are waited for longer than other calls, so their answers show how late the store is.
        if (call && (reply->outcome == StoreOutcome::Applied || reply->outcome == StoreOutcome::Conflict)) {
            // A host that was suspended reads answers late that the store sent in time.
            board.storeAnswers = withSample(board.storeAnswers, std::min(board.now - call.mapped(), board.self.limits.maxStoreTimeout));
        }
    }
}

}
