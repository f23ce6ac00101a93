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
    Duration watchOpenTimeout{2'000}; ///< Time in which the store must confirm a new watch.
    Duration watchIdleTimeout{5'000}; ///< Time without a message after which a watch is opened again from its last revision.
    Duration maxWatchRetryDelay{200}; ///< Upper bound of the random delay before a watch is opened again; it is short because the core abandons
                                      ///< a watch that lags by 1 s.

    friend bool operator==(const StoreClientSettings &, const StoreClientSettings &) = default;
};

/// Sends store calls to the etcd v3 JSON gateway and keeps a watch open. After a failed call the client switches to the next address.
class StoreClient
{
public:
    StoreClient(EventLoop &loop, HttpClient &http, StoreClientSettings settings, EventSink post, ErrorSink reportError);

    void send(const StoreCall &call);

    /// Opens a watch from the revision on, unless one is open. If it cannot be kept open, StoreWatchLost is posted, and the watch stays closed until the next
    /// call of watchFrom().
    void watchFrom(Revision revision);

    /// Closes the watch without posting an event.
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
        Reopening, ///< The watch ended or timed out. The client tries to resume it, because a lost watch costs a full read of the store.
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
    std::string m_lossReason; ///< Reason for a lost watch, one of the loss counter's few labels; cleared when a watch is opened. Data callbacks cannot
                              ///< close the stream, so they only set the reason.
    Timer m_watchTimer;       ///< Deadline of the next message on the watch.
    Timer m_retryTimer;
};

}
