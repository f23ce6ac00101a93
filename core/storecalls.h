#pragma once

#include "blackboard.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// A reply of the store, or an Unknown reply made by this host for an overdue call.
struct StoreAnswer
{
    StoreReply reply;
    bool isDirect = true; ///< False if a peer relayed the call.

    friend bool operator==(const StoreAnswer &, const StoreAnswer &) = default;
};

/// The peer that relays store calls of this host; none while the store answers directly or if no peer reaches the store.
std::optional<HostId> relayPeer(const Blackboard &board);

/// Sends the request to the store, or through the relay peer unless it must go directly. Returns the sent call.
StoreCall sendStoreCall(Blackboard &board, StoreRequest request, bool mustBeDirect = false);

/// Replies that arrived in this round, and Unknown replies for overdue calls.
std::vector<StoreAnswer> collectStoreAnswers(const Blackboard &board);

/// Updates the retry budget and the count of failed direct calls. Returns true if the store answers directly again after an outage.
bool recordStoreAnswer(Blackboard &board, const StoreAnswer &answer);

/// Schedules the next attempt to send the batch: exponential backoff with full jitter, limited by the retry budget.
void scheduleBatchRetry(Blackboard &board);

/// True if the store answered the call, with success or a conflict.
bool isAnswered(const StoreReply &reply);

/// Relays store calls of peers and sends them the replies.
void serveRelays(Blackboard &board);

}
