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

/// Faults of the fake store. The fields may be changed at any time.
struct FakeStoreFaults
{
    bool isDown = false;                  ///< Calls fail at once with NotSent, and watches are lost.
    std::set<HostId> cutOff;              ///< Hosts for which the store behaves as if it were down.
    std::set<HostId> refusedTransactions; ///< Hosts whose transactions are refused as if the store were busy; it serves their other calls and watches.
    std::set<HostId> refusedReads;        ///< Hosts whose reads are refused as if the store were busy; it serves their other calls and watches.
    std::set<std::pair<HostId, std::string>> silentWatches;   ///< Watches, by host and prefix, whose events are dropped without an error.
    std::set<std::pair<HostId, std::string>> skippingWatches; ///< Watches, by host and prefix, that leave out their next change.
    Duration latency{1};                                      ///< Time from call to answer; the call takes effect when it is made.
    Duration readLatency{0};                                  ///< Additional time from a read of a prefix to its answer.
    Duration watchLatency{1};                                 ///< Time from a change to its watch event.
    bool areWatchesSilent = false;                            ///< Watch events are dropped without an error.
    int answersToLose = 0;                                    ///< Number of next transactions that take effect and are answered as Unknown.
    int callsToLose = 0;                                      ///< Number of next transactions that take no effect and are answered as Unknown.
    int answersToDrop = 0;                                    ///< Number of next calls that take effect and are never answered.
    int writesToDelay = 0; ///< Number of next transactions with writes that are answered as Unknown and take effect after `delay`.
    Duration delay{2'000};
    Duration copyTime{0};           ///< Time for which a copy of the queue configuration occupies the link of the host that receives it.
    Duration readTime{0};           ///< Time for which the answer to a read of a single key occupies the link of the host that receives it.
    std::set<StoreKey> undecodable; ///< Keys whose values no host can decode: answers leave them out with an error, and watches report them as removed.
};

/// A host's watch on one prefix.
struct FakeWatch
{
    Revision reported = 0; ///< Changes up to this revision have been delivered.
    int generation = 0;
    int repeats = 0;       ///< Of the mirror, at its newest repeat.
    TimePoint receivingTo; ///< Time until which the host receives the watch's newest answer; later changes wait for the next one.

    friend bool operator==(const FakeWatch &, const FakeWatch &) = default;
};

/// A transaction that takes effect at a later time.
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

/// The moment at which the answer to a call begins to arrive at a host, if it carries copies of the configuration. All answers share the link.
struct FakeBeginning
{
    HostId host;
    TimePoint due;
    CallId call;
    Duration transferTime{0};
};

/// In-memory fake of the platform's store with typed records, on virtual time.
struct FakeStore
{
    FakeStoreFaults faults;
    Revision revision = 1;
    std::map<StoreKey, StoreEntry> rows;
    std::map<StoreKey, long long> boundTo; ///< The lease of each key that is bound to one.
    std::map<long long, FakeLease> leases;
    long long nextLease = 1;
    std::vector<StoreWatchEvent> history;                         ///< Changes in order of revision.
    std::map<std::pair<HostId, std::string>, FakeWatch> watchers; ///< Open watches by host and prefix.
    std::vector<FakeLateCall> lateCalls;
    Revision historyBegin = 0; ///< Watches that have not reached this revision are lost.
    std::deque<FakeDelivery> deliveries;
    std::deque<FakeBeginning> beginnings;
    std::map<StoreKey, int> appliedWrites; ///< Number of writes to each key.
    int calls = 0;
    std::map<HostId, TimePoint> linkBusyUntil; ///< Time until which copies of the queue configuration and answers to reads occupy the host's link.
    std::map<HostId, int> copiesSent;          ///< Copies of the queue configuration that were sent to the host.
};

/// Executes a host's call; the answer is delivered after the latency.
void submitCall(FakeStore &store, const HostId &host, const StoreCall &call, TimePoint now);

/// Opens, keeps or closes the host's watch to match its store session, as the front end does.
void updateSessionWatch(FakeStore &store, const HostId &host, bool isWatching, Revision watchRevision);

/// Opens, keeps or closes one watch for each of the host's mirrors.
void updateWatches(FakeStore &store, const HostId &host, const std::map<std::string, StoreMirror> &mirrors);

/// Closes all watches of a host whose process has ended.
void closeWatches(FakeStore &store, const HostId &host);

/// Compacts the history up to the current revision; watches that lag behind it are lost.
void forgetHistory(FakeStore &store);

/// Removes and returns the events due for the host: answers, watch events and lost watches.
std::vector<Event> takeStoreEvents(FakeStore &store, const HostId &host, TimePoint now);

/// Removes and returns the answers that begin to arrive at the host now.
std::vector<FakeBeginning> takeBeginnings(FakeStore &store, const HostId &host, TimePoint now);

/// Writes a row on behalf of another client.
void putRow(FakeStore &store, const StoreKey &key, const StoreRecord &record, TimePoint now);

/// Removes a row on behalf of another client.
void removeRow(FakeStore &store, const StoreKey &key, TimePoint now);

/// Writes configuration items and the version in one transaction.
void putConfiguration(FakeStore &store, long long version, const std::vector<ConfigurationItem> &items, TimePoint now);

/// Removes expired leases and the rows bound to them.
void expireLeases(FakeStore &store, TimePoint now);

}
