#pragma once

#include "blackboard.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// An answer of the store, or a local verdict on a call whose answer is overdue.
struct StoreAnswer
{
    StoreReply reply;
    bool isDirect = true; ///< False if a peer carried out the call.

    friend bool operator==(const StoreAnswer &, const StoreAnswer &) = default;
};

/// The peer that carries out store calls for this host; none while the store answers directly or no peer reaches it.
std::optional<HostId> relayPeer(const Blackboard &board);

/// Sends the request to the store, or to the relay peer unless it must go directly. Returns the call as sent.
StoreCall sendStoreCall(Blackboard &board, StoreRequest request, bool mustBeDirect = false);

/// Answers that arrived in this round, with calls that are overdue answered as Unknown.
std::vector<StoreAnswer> collectStoreAnswers(const Blackboard &board);

/// Updates the retry budget and the count of direct failures. True if the store answers directly again after an outage.
bool recordStoreAnswer(Blackboard &board, const StoreAnswer &answer);

/// Sets when the batch may be sent again: full jitter, within the retry budget.
void scheduleBatchRetry(Blackboard &board);

/// True if the store took part in the call, whatever its verdict.
bool isAnswered(const StoreReply &reply);

/// Carries out calls for peers and returns the answers to them.
void serveRelays(Blackboard &board);

}
