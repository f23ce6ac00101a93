#include "workflow/workflowstep.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// A host that has just started and whose reads of the store fail or succeed one by one.
struct StoreReads : testing::Test
{
    StoreReads()
    {
        step(board, {}, now, {});
    }

    /// The newest read of the prefix that the host has sent, or null.
    const StoreCall *findRead(const std::string &prefix) const
    {
        const auto found = std::ranges::find_if(board.outbox.rbegin(), board.outbox.rend(), [&](const WorkflowMessage &message) {
            const auto *call = std::get_if<StoreCall>(&message);
            const auto *range = call == nullptr ? nullptr : std::get_if<StoreRange>(&call->request);
            return range != nullptr && range->key.path == prefix;
        });
        return found == board.outbox.rend() ? nullptr : &std::get<StoreCall>(*found);
    }

    StoreReply answerTo(const std::string &prefix, StoreOutcome outcome) const
    {
        StoreReply reply;
        reply.id = findRead(prefix)->id;
        reply.outcome = outcome;
        return reply;
    }

    TimePoint now{Duration{1'000'000}};
    WorkflowBoard board = makeWorkflowBoard({}, now, {});
};

// Guards against a host that is never ready: it read the configuration but not the owner, and then waited for a proof, which needs the owner, before it read
// anything again.
TEST_F(StoreReads, ownerIsReadAgainIfOnlyTheConfigurationCouldBeRead)
{
    const auto owner = domainOwnerKey().path;
    ASSERT_TRUE(findRead("config/") != nullptr && findRead(owner) != nullptr);
    auto configuration = answerTo("config/", StoreOutcome::Applied);
    configuration.entries.push_back({queueConfigurationKey(), QueueConfiguration{}, 4});
    configuration.revision = 5;
    std::vector<WorkflowEvent> events{configuration, answerTo(owner, StoreOutcome::NotSent)};
    board.outbox.clear();
    step(board, std::move(events), now, {});
    now += board.self.limits.storeRetry;
    step(board, {}, now, {});
    EXPECT_NE(findRead(owner), nullptr);
}

}
