#pragma once

#include "callerapi.h"
#include "core/blackboard.h"
#include "core/hostsettings.h"
#include "core/step.h"
#include "eventloop.h"
#include "hostlistclient.h"
#include "httpclient.h"
#include "httpserver.h"
#include "metrics.h"
#include "peerlink.h"
#include "peerlistener.h"
#include "storeclient.h"
#include "targetclient.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

struct HostLoopSettings
{
    HostSettings host; ///< Settings of the core, with the addresses that this host listens on.
    StoreClientSettings store;
    std::string hostListAddress; ///< Address of the platform's host list; empty if there is none.
    HttpServerLimits http;
    PeerLinkLimits peers;
    PeerListenerLimits peerListener;
    CallerApiSettings callers;

    friend bool operator==(const HostLoopSettings &, const HostLoopSettings &) = default;
};

/// Runs one entry host: collects events from the front ends, runs `step` on the blackboard and sends the messages in the outbox through the front ends.
class HostLoop
{
public:
    using LogSink = std::function<void(const LogEntry &)>;
    using StepFunction = std::function<void(Blackboard &board, std::vector<Event> events, TimePoint now, WallTime wallNow)>;

    HostLoop(EventLoop &loop, const HostLoopSettings &settings, LogSink log, StepFunction takeStep = step);
    HostLoop(const HostLoop &) = delete;
    HostLoop &operator=(const HostLoop &) = delete;

    /// Opens the listeners and schedules the first step.
    absl::Status start();

    /// Adds an event to the inbox of the next step, and schedules that step without delay.
    void post(Event event);

    /// Reads a range of the store for a front end. The core doesn't see the call or its reply.
    void readStore(const StoreRange &range, std::function<void(const StoreReply &)> handler);

    /// Begins a planned stop; a second call has no effect.
    void requestStop();

    /// Sets the handler that is called once when a planned stop has finished: every call is answered, or the time limit has passed.
    void setStoppedHandler(std::function<void()> handler);

    Blackboard &board()
    {
        return m_board;
    }

    CallerApi &callers()
    {
        return m_callers;
    }

    int httpPort() const
    {
        return m_server.port();
    }

    int peerPort() const
    {
        return m_peerListener.port();
    }

private:
    void runStep();
    void deliver(const OutgoingMessage &message);
    void updateWatch();
    void writeLog();
    void armTimer();
    void checkStopped();
    bool isEverythingAnswered() const;
    std::string metricsText() const;

    HostLoopSettings m_settings;
    LogSink m_log;
    StepFunction m_takeStep;
    Blackboard m_board;
    std::vector<Event> m_inbox;
    std::map<CallId, std::function<void(const StoreReply &)>> m_storeReads; ///< Pending reads of front ends.
    Timer m_stepTimer;
    Timer m_stopTimer;
    EventSink m_post;
    ErrorSink m_reportError;
    HttpClient m_http;
    HttpServer m_server;
    StoreClient m_store;
    TargetClient m_targets;
    HostListClient m_hostList;
    PeerLinks m_peers;
    PeerListener m_peerListener;
    CallerApi m_callers;
    Metrics m_metrics;
    std::function<void()> m_onStopped;
    std::optional<TimePoint> m_stopDeadline;
    bool m_wasWatching = false;
};

}
