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

/// Maximum random delay of the first reads and writes after an outage, so that the hosts do not send them all at once.
constexpr Duration recoverySpread{200};

void applyVersionReply(Blackboard &board, const StoreAnswer &answer)
{
    auto &session = board.store;
    const auto versionRead = session.versionReads.find(answer.reply.id);
    if (versionRead == session.versionReads.end()) {
        return;
    }
    const TimePoint sentAt = versionRead->second;
    session.versionReads.erase(versionRead);
    if (answer.reply.outcome != StoreOutcome::Applied) {
        return;
    }
    applyVersionRead(board, answer.reply, sentAt);
    session.lastReadSent = std::max(sentAt, session.lastReadSent.value_or(sentAt));
    const auto &entries = answer.reply.entries;
    const auto *storedVersion = entries.empty() ? nullptr : std::get_if<ConfigurationVersion>(&entries.front().record);
    if (storedVersion == nullptr || storedVersion->version <= board.configuration.version) {
        session.lastAppliedReadSent = std::max(sentAt, session.lastAppliedReadSent.value_or(sentAt));
    }
    if (session.retryAt && *session.retryAt > board.now + recoverySpread) {
        session.retryAt = board.now + takeJitter(board, recoverySpread);
        subscribeNoLaterThan(board.timers, "storeRetry", *session.retryAt);
    }
}

void readStoredVersion(Blackboard &board)
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
    const auto fullReadId = std::exchange(session.fullRead, std::nullopt);
    applyWatchEvents(board);
    serveRelays(board);
    for (const auto &answer : collectStoreAnswers(board)) {
        if (fullReadId == answer.reply.id) {
            continue;
        }
        if (recordStoreAnswer(board, answer)) {
            abandonWatch(board, "outage", recoverySpread);
        }
        applyVersionReply(board, answer);
        resolveBatch(board, answer);
        applyStoreLeaseReply(board, answer);
        continueLoad(board, answer);
    }
    if (isDue(board.timers, "store")) {
        readStoredVersion(board);
        maintainStoreLease(board);
    }
    maintainHostRecord(board);
    startLoad(board);
    sendBatch(board);
}

}
