#pragma once

#include "core/event.h"
#include "core/message.h"
#include "core/storerecord.h"
#include "core/time.h"

#include <deque>
#include <map>
#include <set>
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
    int answersToSwallow = 0;      ///< The next calls take effect and are never answered.
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
    std::vector<StoreWatchEvent> history; ///< In order of revision.
    std::map<HostId, Revision> watchers;  ///< Last revision delivered to each open watch.
    std::deque<FakeDelivery> deliveries;
    std::map<StoreKey, int> appliedWrites; ///< How often each key was written.
    int calls = 0;
};

/// Carries out a host's call; the answer is delivered later.
void submitCall(FakeStore &store, const HostId &host, const StoreCall &call, TimePoint now);

/// Opens, keeps or closes the host's watch as its session wants, as the front end does.
void followSession(FakeStore &store, const HostId &host, bool isWatching, Revision watchRevision);

/// Events that are due for the host: answers, watch events, a lost watch.
std::vector<Event> takeStoreEvents(FakeStore &store, const HostId &host, TimePoint now);

/// Writes a row as if another program had written it.
void putRow(FakeStore &store, const StoreKey &key, const StoreRecord &record, TimePoint now);

/// Writes configuration items and the version in one transaction.
void putConfiguration(FakeStore &store, long long version, const std::vector<ConfigurationItem> &items, TimePoint now);

/// Ends leases that are over and deletes the rows bound to them.
void expireLeases(FakeStore &store, TimePoint now);

}
