#include "storecalls.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Number of failed direct calls in a row after which calls go through a peer. One failure is not enough, because it may be a lost packet.
constexpr int failuresBeforeRelay = 2;
/// Delay after a call's timeout until the call is overdue. The front end answers each call by its timeout, but the step that handles the answer may be late.
constexpr Duration overdueMargin{500};
/// Number of calls that are relayed for one peer at a time. A peer has a transaction, a read and a lease call under way at most.
constexpr std::ptrdiff_t maxRelayedCallsPerPeer = 8;
constexpr int maxRetryBudget = 100;
constexpr int retryCost = 10;
constexpr Duration firstRetryBound{100};
constexpr Duration maxRetryBound{5'000};
constexpr int maxBackoffDoublings = 6;

bool canRelay(const Peer &peer)
{
    return peer.state == PeerState::Alive && peer.storeReadAge.has_value() && !peer.isLeaving;
}

StoreReply unknownReply(CallId id)
{
    StoreReply reply;
    reply.id = id;
    reply.outcome = StoreOutcome::Unknown;
    reply.error = "no answer before the timeout";
    return reply;
}

void sendRelayReply(Blackboard &board, const HostId &to, const StoreRelayReply &reply)
{
    const auto *peer = board.peers.find(to);
    board.outbox.emplace_back(PeerSend{to, peer == nullptr ? "" : peer->address, reply});
}

void refuseRelay(Blackboard &board, const HostId &from, const StoreRelay &request)
{
    StoreReply reply;
    reply.id = request.call.id;
    reply.outcome = StoreOutcome::NotSent;
    reply.error = "too many calls of this host are being relayed";
    count(board.counters, "storeCalls", "refusedForPeer");
    sendRelayReply(board, from, {request.id, reply});
}

}

std::optional<HostId> relayPeer(const Blackboard &board)
{
    if (board.store.failuresInARow < failuresBeforeRelay) {
        return std::nullopt;
    }
    std::optional<HostId> chosen;
    for (const auto &[id, peer] : board.peers.rows()) {
        if (!canRelay(peer)) {
            continue;
        }
        if (peer.availabilityZone == board.self.availabilityZone) {
            return id;
        }
        if (!chosen) {
            chosen = id;
        }
    }
    return chosen;
}

StoreCall sendStoreCall(Blackboard &board, StoreRequest request, bool mustBeDirect)
{
    StoreCall call;
    call.id = takeCallId(board);
    call.request = std::move(request);
    call.lease = board.store.lease;
    call.timeout = board.self.limits.storeCallTimeout;
    const auto relay = mustBeDirect ? std::nullopt : relayPeer(board);
    if (relay) {
        count(board.counters, "storeCalls", "relayed");
        board.outbox.emplace_back(PeerSend{*relay, board.peers.find(*relay)->address, StoreRelay{call.id, call}});
    } else {
        count(board.counters, "storeCalls", "direct");
        board.outbox.emplace_back(call);
    }
    return call;
}

std::vector<StoreAnswer> collectStoreAnswers(const Blackboard &board)
{
    std::vector<StoreAnswer> answers;
    for (const auto &reply : eventsOf<StoreReply>(board)) {
        answers.push_back({reply, true});
    }
    for (const auto &received : eventsOf<PeerMessageReceived>(board)) {
        if (const auto *relayed = std::get_if<StoreRelayReply>(&received.message)) {
            answers.push_back({relayed->reply, false});
        }
    }
    const auto &session = board.store;
    const auto isOverdue = [&board](TimePoint sent) { return board.now >= sent + board.self.limits.storeCallTimeout + overdueMargin; };
    const auto hasAnswer = [&answers](CallId id) { return std::ranges::any_of(answers, [id](const StoreAnswer &answer) { return answer.reply.id == id; }); };
    const auto addOverdue = [&](CallId id, TimePoint sent, bool isDirect) {
        if (isOverdue(sent) && !hasAnswer(id)) {
            answers.push_back({unknownReply(id), isDirect});
        }
    };
    if (session.inFlight) {
        addOverdue(session.inFlight->id, *session.inFlightSince, false);
    }
    if (session.load) {
        addOverdue(session.load->call, session.load->sentAt, false);
    }
    if (session.leaseCall) {
        addOverdue(*session.leaseCall, *session.leaseCallSince, false);
    }
    for (const auto &[id, sent] : session.versionReads) {
        addOverdue(id, sent, true);
    }
    return answers;
}

bool isAnswered(const StoreReply &reply)
{
    return reply.outcome == StoreOutcome::Applied || reply.outcome == StoreOutcome::Conflict;
}

bool recordStoreAnswer(Blackboard &board, const StoreAnswer &answer)
{
    auto &session = board.store;
    if (!isAnswered(answer.reply)) {
        session.failuresInARow += answer.isDirect ? 1 : 0;
        return false;
    }
    session.retryBudget = std::min(maxRetryBudget, session.retryBudget + 1);
    if (!answer.isDirect) {
        return false;
    }
    return std::exchange(session.failuresInARow, 0) >= failuresBeforeRelay;
}

void scheduleBatchRetry(Blackboard &board)
{
    auto &session = board.store;
    if (session.retryBudget >= retryCost) {
        session.retryBudget -= retryCost;
        const auto bound = firstRetryBound * (1 << std::min(session.failuresInARow, maxBackoffDoublings));
        session.retryAt = board.now + takeJitter(board, std::min<Duration>(bound, maxRetryBound));
        count(board.counters, "retries", "store");
    } else {
        session.retryAt = board.now + maxRetryBound + takeJitter(board, maxRetryBound);
        count(board.counters, "retries", "storeBudgetSpent");
    }
    subscribeNoLaterThan(board.timers, "storeRetry", *session.retryAt);
}

void serveRelays(Blackboard &board)
{
    auto &relayed = board.store.relayed;
    for (const auto &received : eventsOf<PeerMessageReceived>(board)) {
        const auto *request = std::get_if<StoreRelay>(&received.message);
        if (request == nullptr) {
            continue;
        }
        if (std::ranges::count(relayed, received.from, [](const auto &entry) { return entry.second.from; }) >= maxRelayedCallsPerPeer) {
            refuseRelay(board, received.from, *request);
            continue;
        }
        StoreCall call = request->call;
        call.id = takeCallId(board);
        call.timeout = std::clamp(call.timeout, Duration{1}, board.self.limits.storeCallTimeout);
        relayed.insert_or_assign(call.id, RelayedCall{received.from, request->id, request->call.id, board.now + call.timeout + overdueMargin});
        count(board.counters, "storeCalls", "forPeer");
        board.outbox.emplace_back(std::move(call));
    }
    for (auto &reply : eventsOf<StoreReply>(board)) {
        const auto found = relayed.find(reply.id);
        if (found == relayed.end()) {
            continue;
        }
        const RelayedCall origin = found->second;
        relayed.erase(found);
        reply.id = origin.call;
        sendRelayReply(board, origin.from, {origin.relay, reply});
    }
    std::erase_if(relayed, [&board](const auto &entry) { return board.now >= entry.second.expiresAt; });
}

}
