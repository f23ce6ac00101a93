#pragma once

#include "core/event.h"
#include "core/message.h"
#include "core/storerecord.h"
#include "core/time.h"
#include "workflow/workflowboard.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// How the fake store misbehaves. The fields may be changed at any time.
struct FakeStoreFaults
{
    bool isDown = false;           ///< Calls end as NotSent at once; watches are lost.
    std::set<HostId> cutOff;       ///< The same for these hosts only.
    Duration latency{1};           ///< From call to answer; the effect takes place at the call.
    Duration watchLatency{1};      ///< From change to watch event.
    bool areWatchesSilent = false; ///< Watch events are dropped and nobody is told.
    int answersToLose = 0;         ///< The next transactions take effect, but are answered as Unknown.
    int callsToLose = 0;           ///< The next transactions take no effect and are answered as Unknown.
    int answersToDrop = 0;         ///< The next calls take effect and are never answered.
    int transactionsToDelay = 0;   ///< The next transactions are answered as Unknown and carried out after `delay`.
    Duration delay{2'000};
};

/// One watch of one prefix.
struct FakeWatch
{
    Revision reported = 0; ///< Changes up to it have been delivered.
    int generation = 0;

    friend bool operator==(const FakeWatch &, const FakeWatch &) = default;
};

/// A transaction that will be carried out later.
struct FakeLateCall
{
    TimePoint due;
    StoreCall call;
};

struct FakeLease
{
    Duration timeToLive{0};
    TimePoint expiry;
};

struct FakeDelivery
{
    HostId host;
    TimePoint due;
    Event event;
};

/// A typed stand-in for the platform's store on virtual time.
struct FakeStore
{
    FakeStoreFaults faults;
    Revision revision = 1;
    std::map<StoreKey, StoreEntry> rows;
    std::map<StoreKey, long long> boundTo; ///< Lease that each bound key hangs on.
    std::map<long long, FakeLease> leases;
    long long nextLease = 1;
    std::vector<StoreWatchEvent> history;                         ///< In order of revision.
    std::map<std::pair<HostId, std::string>, FakeWatch> watchers; ///< By host and prefix.
    std::vector<FakeLateCall> lateCalls;
    Revision historyBegin = 0; ///< Watches that stand before it are lost.
    std::deque<FakeDelivery> deliveries;
    std::map<StoreKey, int> appliedWrites; ///< How often each key was written.
    int calls = 0;
};

/// Carries out a host's call; the answer is delivered later.
void submitCall(FakeStore &store, const HostId &host, const StoreCall &call, TimePoint now);

/// Opens, keeps or closes the host's watch as its session wants, as the front end does.
void updateSessionWatch(FakeStore &store, const HostId &host, bool isWatching, Revision watchRevision);

/// The same for a host that keeps a watch for each of its mirrors.
void updateWatches(FakeStore &store, const HostId &host, const std::map<std::string, StoreMirror> &mirrors);

/// The host's process has ended, and its watches with it.
void closeWatches(FakeStore &store, const HostId &host);

/// Drops the history up to now: watches that have not heard of it are lost.
void forgetHistory(FakeStore &store);

/// Events that are due for the host: answers, watch events, a lost watch.
std::vector<Event> takeStoreEvents(FakeStore &store, const HostId &host, TimePoint now);

/// Writes a row as if another program had written it.
void putRow(FakeStore &store, const StoreKey &key, const StoreRecord &record, TimePoint now);

/// Removes a row as if another program had done it.
void removeRow(FakeStore &store, const StoreKey &key, TimePoint now);

/// Writes configuration items and the version in one transaction.
void putConfiguration(FakeStore &store, long long version, const std::vector<ConfigurationItem> &items, TimePoint now);

/// Ends leases that are over and deletes the rows bound to them.
void expireLeases(FakeStore &store, TimePoint now);

}
