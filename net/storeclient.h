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
    Duration watchIdleTimeout{5'000}; ///< A watch that was silent for so long is opened again from where it stood.
    Duration maxWatchRetryDelay{200}; ///< Bound of the random delay before a watch is opened again; the core gives a watch up after a lag of 1 s.

    friend bool operator==(const StoreClientSettings &, const StoreClientSettings &) = default;
};

/// Sends store calls to the etcd v3 JSON gateway and keeps the watch. After a failed call the next one goes to the next address.
class StoreClient
{
public:
    StoreClient(EventLoop &loop, HttpClient &http, StoreClientSettings settings, EventSink post, ErrorSink fault);

    void send(const StoreCall &call);

    /// Opens the watch unless there is one. StoreWatchLost is posted when it cannot be kept; then there is none until the next call of watchFrom().
    void watchFrom(Revision revision);

    /// Closes the watch without posting anything.
    void stopWatching();

    bool isWatching() const
    {
        return m_isWatching;
    }

private:
    enum class WatchState
    {
        Opening,
        Open,
        Reopening, ///< The watch ended or was silent; losing it costs a full read, so it is resumed first.
    };

    const std::string &address() const;
    void finish(const StoreCall &call, const std::string &peer, const HttpAnswer &answer);
    void openWatch(WatchState step);
    void closeWatch();
    void onWatchData(const std::string &data);
    void onWatchLine(const std::string &line);
    void onWatchEnd(const HttpAnswer &answer);
    void onWatchTimer();
    void scheduleRetry();
    void recordWatchLoss(const std::string &reason, const std::string &message);
    void postWatchLost();

    HttpClient &m_http;
    StoreClientSettings m_settings;
    EventSink m_post;
    ErrorSink m_reportError;
    std::size_t m_addressIndex = 0;
    std::minstd_rand m_random;
    bool m_isWatching = false;
    std::optional<unsigned long long> m_stream;
    WatchState m_watchState = WatchState::Opening;
    Revision m_nextRevision = 0;
    std::string m_buffer;
    std::string m_lossReason; ///< One of a few words, because it labels a counter. Set within data callbacks, where the stream cannot be closed.
    Timer m_watchTimer;       ///< Deadline of the next message of the watch.
    Timer m_retryTimer;
};

}
