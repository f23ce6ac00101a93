#pragma once

#include "core/message.h"
#include "eventsink.h"
#include "httpclient.h"
#include "wire/storejson.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sequoiastand
{

struct StoreClientSettings
{
    std::vector<std::string> addresses;
    Duration watchOpenTimeout{2'000}; ///< Until the store must have confirmed a watch.
    Duration watchSilence{5'000};     ///< A watch that was silent for so long is opened again from where it stood.
    Duration watchRetry{1'000};       ///< Bound of the random delay before a lost watch is opened again.

    friend bool operator==(const StoreClientSettings &, const StoreClientSettings &) = default;
};

/// Sends store calls to the etcd v3 JSON gateway and keeps the watch. After a failed call the next one goes to the next address.
class StoreClient
{
public:
    StoreClient(EventLoop &loop, HttpClient &http, StoreClientSettings settings, EventSink post, FaultSink fault);

    void send(const StoreCall &call);

    /// Opens the watch unless there is one. StoreWatchLost is posted when it cannot be kept; then there is none until the next call of watchFrom().
    void watchFrom(Revision revision);

    bool isWatching() const
    {
        return m_isWatching;
    }

private:
    enum class WatchStep
    {
        Opening,
        Open,
        Reopening, ///< The watch ended or was silent; losing it costs a full read, so it is resumed first.
    };

    const std::string &address() const;
    void finish(const StoreCall &call, const std::string &peer, const HttpAnswer &answer);
    void openWatch(WatchStep step);
    void closeWatch();
    void onWatchData(const std::string &data);
    void onWatchLine(const std::string &line);
    void onWatchEnd(const HttpAnswer &answer);
    void onWatchTimer();
    void retryLater();
    void loseWatch(const std::string &reason);

    HttpClient &m_http;
    StoreClientSettings m_settings;
    EventSink m_post;
    FaultSink m_fault;
    std::size_t m_addressIndex = 0;
    std::minstd_rand m_random;
    bool m_isWatching = false;
    std::optional<unsigned long long> m_stream;
    WatchStep m_watchStep = WatchStep::Opening;
    Revision m_nextRevision = 0;
    std::string m_buffer;
    std::string m_lossReason; ///< Set within a data callback, where the stream cannot be closed.
    Timer m_watchTimer;
    Timer m_retryTimer;
};

}
