#include "storeload.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Time after which a watch that has not reported a change counts as lost. It is far above the usual delay of a watch
/// and far below the 10 s within which a change must be in force.
constexpr Duration watchLagLimit{1'000};
constexpr Duration directLoadInterval{1'000};
/// Interval of full reads while a peer relays them. A host has no watch while its calls are relayed, so only full reads deliver changes, and each of
/// them loads the peer.
constexpr Duration relayedLoadInterval{5'000};
constexpr std::size_t itemsStage = 3;
constexpr std::size_t versionStage = 4;

/// Key ranges of the full read. The configuration history and the ledger are left out because they grow without limit.
const std::array<StoreRange, 5> &loadRanges()
{
    static const std::array<StoreRange, 5> ranges{
        StoreRange{StoreKey{"jobs/"}, true},
        StoreRange{StoreKey{"zones/"}, true},
        StoreRange{StoreKey{"hosts/"}, true},
        StoreRange{StoreKey{"config/item/"}, true},
        StoreRange{StoreKey{"config/version"}, false},
    };
    return ranges;
}

void sendLoadStage(Blackboard &board)
{
    auto &load = *board.store.load;
    load.call = sendStoreCall(board, loadRanges().at(load.stage)).id;
    load.sentAt = board.now;
}

void delayLoad(Blackboard &board)
{
    const auto interval = relayPeer(board) ? relayedLoadInterval : directLoadInterval;
    board.store.loadRetryAt = board.now + interval + takeJitter(board, interval);
    subscribeNoLaterThan(board.timers, "storeLoad", *board.store.loadRetryAt);
}

void closeWatch(Blackboard &board, const std::string &reason)
{
    auto &session = board.store;
    if (!session.isWatching) {
        return;
    }
    session.isWatching = false;
    session.watchExpectedRevision = 0;
    count(board.counters, "storeWatchLost", reason);
    board.log.push_back({"syncStore", "store", "", "store watch lost: " + reason, true});
}

bool isVersionEntry(const StoreEntry &entry)
{
    return std::holds_alternative<ConfigurationVersion>(entry.record);
}

/// True if the configuration did not change between the read of its items and the read of its version. If it did, both are read again.
bool isConsistent(const StoreLoad &load)
{
    const auto version = std::ranges::find_if(load.entries, isVersionEntry);
    return version == load.entries.end() || version->revision <= load.itemsRevision;
}

void readItemsAgain(Blackboard &board)
{
    auto &load = *board.store.load;
    std::erase_if(load.entries, [](const StoreEntry &entry) { return isVersionEntry(entry) || std::holds_alternative<ConfigurationItem>(entry.record); });
    load.stage = itemsStage;
    sendLoadStage(board);
}

void finishLoad(Blackboard &board)
{
    auto &session = board.store;
    StoreReply completeRead;
    completeRead.id = session.load->call;
    completeRead.outcome = StoreOutcome::Applied;
    completeRead.revision = session.load->watchFrom;
    completeRead.entries = std::move(session.load->entries);
    for (const auto &entry : completeRead.entries) {
        recordStoredVersion(board, entry);
    }
    session.deferredEvents.fullRead = std::move(completeRead);
    session.isLoaded = true;
    session.isWatching = true;
    session.watchRevision = session.load->watchFrom;
    session.watchExpectedRevision = 0;
    session.load.reset();
    delayLoad(board);
    count(board.counters, "storeFullReads", "completed");
}

}

void recordStoredVersion(Blackboard &board, const StoreEntry &entry)
{
    auto &session = board.store;
    const auto *version = std::get_if<ConfigurationVersion>(&entry.record);
    if (version != nullptr && entry.revision >= session.storedVersionRevision) {
        session.storedVersion = version->version;
        session.storedVersionRevision = entry.revision;
        session.storedVersionSeenAt = board.now;
    }
}

void abandonWatch(Blackboard &board, const std::string &reason, Duration spread)
{
    closeWatch(board, reason);
    board.store.loadRetryAt = board.now + takeJitter(board, spread);
    subscribeNoLaterThan(board.timers, "storeLoad", *board.store.loadRetryAt);
}

void applyVersionRead(Blackboard &board, const StoreReply &reply, TimePoint sent)
{
    auto &session = board.store;
    if (sent < session.storedVersionSeenAt) {
        return;
    }
    const long long before = std::exchange(session.storedVersion, 0);
    session.storedVersionRevision = 0;
    for (const auto &entry : reply.entries) {
        recordStoredVersion(board, entry);
    }
    session.storedVersionSeenAt = sent;
    expectWatchRevision(board, session.storedVersionRevision);
    if (session.storedVersion < before) {
        closeWatch(board, "storeWentBack");
    }
}

/// Replaces the watch by a full read if the store has shown a version that this host has not applied in time, because the watch missed the change.
void checkVersionLag(Blackboard &board)
{
    auto &session = board.store;
    if (session.storedVersion <= board.configuration.version) {
        session.versionLagSince.reset();
    } else if (!session.versionLagSince) {
        session.versionLagSince = board.now;
        subscribeNoLaterThan(board.timers, "storeWatch", board.now + watchLagLimit);
    } else if (board.now >= *session.versionLagSince + watchLagLimit) {
        session.versionLagSince.reset();
        closeWatch(board, "versionLag");
    }
}

void applyWatchEvents(Blackboard &board)
{
    auto &session = board.store;
    for (const auto &event : eventsOf<StoreWatchEvent>(board)) {
        if (event.revision == session.deferredEvents.ownRevision) {
            continue;
        }
        std::ranges::for_each(event.put, [&board](const StoreEntry &entry) { recordStoredVersion(board, entry); });
        session.watchRevision = std::max(session.watchRevision, event.revision);
    }
    session.deferredEvents.ownRevision = 0;
    for (const auto &lost : eventsOf<StoreWatchLost>(board)) {
        closeWatch(board, lost.reason);
    }
    if (session.watchExpectedRevision <= session.watchRevision) {
        session.watchExpectedRevision = 0;
    } else if (board.now >= session.watchExpectedRevisionSince + watchLagLimit) {
        closeWatch(board, "silent");
    }
    checkVersionLag(board);
}

void expectWatchRevision(Blackboard &board, Revision revision)
{
    auto &session = board.store;
    if (!session.isWatching || session.watchExpectedRevision > 0 || revision <= session.watchRevision) {
        return;
    }
    session.watchExpectedRevision = revision;
    session.watchExpectedRevisionSince = board.now;
    subscribeNoLaterThan(board.timers, "storeWatch", board.now + watchLagLimit);
}

void startLoad(Blackboard &board)
{
    auto &session = board.store;
    const bool isDue = !session.loadRetryAt || board.now >= *session.loadRetryAt;
    if (session.isWatching || session.load || !isDue) {
        return;
    }
    session.load = StoreLoad{};
    sendLoadStage(board);
}

void continueLoad(Blackboard &board, const StoreAnswer &answer)
{
    auto &session = board.store;
    if (!session.load || session.load->call != answer.reply.id) {
        return;
    }
    if (answer.reply.outcome != StoreOutcome::Applied) {
        session.load.reset();
        delayLoad(board);
        count(board.counters, "storeFullReads", "failed");
        return;
    }
    auto &load = *session.load;
    std::ranges::copy(answer.reply.entries, std::back_inserter(load.entries));
    if (load.stage == 0) {
        load.watchFrom = answer.reply.revision;
    }
    if (load.stage == itemsStage) {
        load.itemsRevision = answer.reply.revision;
    }
    if (load.stage < versionStage) {
        ++load.stage;
        sendLoadStage(board);
    } else if (!isConsistent(load)) {
        readItemsAgain(board);
    } else {
        finishLoad(board);
    }
}

std::vector<Event> takeDeferredEvents(StoreSession &session)
{
    std::vector<Event> events;
    auto &deferredEvents = session.deferredEvents;
    if (deferredEvents.fullRead) {
        session.fullRead = deferredEvents.fullRead->id;
        events.emplace_back(std::move(*deferredEvents.fullRead));
        deferredEvents.fullRead.reset();
    }
    if (deferredEvents.ownConfigurationChange) {
        deferredEvents.ownRevision = deferredEvents.ownConfigurationChange->revision;
        events.emplace_back(std::move(*deferredEvents.ownConfigurationChange));
        deferredEvents.ownConfigurationChange.reset();
    }
    return events;
}

}
