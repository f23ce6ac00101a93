#include "controllers.h"
#include "storebatch.h"
#include "storecalls.h"
#include "storelease.h"
#include "storeload.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Spreads the first reads and writes of all hosts after an outage.
constexpr Duration returnSpread{200};

void settleProbe(Blackboard &board, const StoreAnswer &answer)
{
    auto &session = board.store;
    const auto probe = session.versionReads.find(answer.reply.id);
    if (probe == session.versionReads.end()) {
        return;
    }
    const TimePoint sent = probe->second;
    session.versionReads.erase(probe);
    if (answer.reply.outcome != StoreOutcome::Applied) {
        return;
    }
    applyVersionRead(board, answer.reply, sent);
    session.lastReadSent = std::max(sent, session.lastReadSent.value_or(sent));
    const auto &entries = answer.reply.entries;
    const auto *read = entries.empty() ? nullptr : std::get_if<ConfigurationVersion>(&entries.front().record);
    if (read == nullptr || read->version <= board.configuration.version) {
        session.lastAppliedReadSent = std::max(sent, session.lastAppliedReadSent.value_or(sent));
    }
    if (session.retryAt && *session.retryAt > board.now + returnSpread) {
        session.retryAt = board.now + takeJitter(board, returnSpread);
        subscribeNoLaterThan(board.timers, "storeRetry", *session.retryAt);
    }
}

void probeStore(Blackboard &board)
{
    const StoreCall call = sendStoreCall(board, StoreRange{configurationVersionKey(), false}, true);
    board.store.versionReads.insert_or_assign(call.id, board.now);
}

}

void syncStore(Blackboard &board)
{
    auto &session = board.store;
    session.results.clear();
    session.transactionResults.clear();
    checkHostRecord(board);
    const auto announced = std::exchange(session.fullRead, std::nullopt);
    applyWatchEvents(board);
    serveRelays(board);
    for (const auto &answer : collectStoreAnswers(board)) {
        if (announced == answer.reply.id) {
            continue;
        }
        if (recordStoreAnswer(board, answer)) {
            abandonWatch(board, "outage", returnSpread);
        }
        settleProbe(board, answer);
        resolveBatch(board, answer);
        applyStoreLeaseReply(board, answer);
        continueLoad(board, answer);
    }
    if (isDue(board.timers, "store")) {
        probeStore(board);
        maintainStoreLease(board);
    }
    maintainHostRecord(board);
    startLoad(board);
    sendBatch(board);
}

}
