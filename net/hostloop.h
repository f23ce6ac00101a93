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
#include <string>
#include <vector>

namespace sequoiastand
{

struct HostLoopSettings
{
    HostSettings host; ///< Its addresses are listened on.
    StoreClientSettings store;
    std::string hostListAddress; ///< Empty: no list is read.
    HttpServerLimits http;
    PeerLinkLimits peers;
    PeerListenerLimits peerListener;
    CallerApiSettings callers;

    friend bool operator==(const HostLoopSettings &, const HostLoopSettings &) = default;
};

/// One entry host: collects events from the front ends, runs `step` on the blackboard and hands the outbox to the front ends.
class HostLoop
{
public:
    using LogSink = std::function<void(const LogEntry &)>;
    using StepFunction = std::function<void(Blackboard &board, std::vector<Event> events, TimePoint now, WallTime wallNow)>;

    HostLoop(EventLoop &loop, const HostLoopSettings &settings, LogSink log, StepFunction takeStep = step);
    HostLoop(const HostLoop &) = delete;
    HostLoop &operator=(const HostLoop &) = delete;

    /// Opens the listeners and takes the first step.
    absl::Status start();

    /// Puts an event into the inbox of the next step, which follows at once.
    void post(Event event);

    /// Reads a range of the store for a front end, outside the core's own session.
    void readStore(const StoreRange &range, std::function<void(const StoreReply &)> handler);

    /// Begins a planned stop. A second request changes nothing.
    void requestStop();

    /// Called once when a planned stop has finished: nothing is open, or the limit is over.
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
    std::map<CallId, std::function<void(const StoreReply &)>> m_storeReads; ///< Reads of front ends that are under way.
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
    TimePoint m_stopDeadline;
    bool m_wasWatching = false;
};

}
