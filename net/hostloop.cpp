#include "hostloop.h"

#include "socketaddress.h"

#include <absl/strings/str_cat.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

// How often a stopping host checks whether every call is answered. A check in each step is not enough, because the last response or frame may be sent
// when no step runs.
constexpr Duration stopCheckPeriod{50};

// Time after the stop limit for writing the last responses to their sockets.
constexpr Duration lastResponsesPeriod{500};

double seconds(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

}

HostLoop::HostLoop(EventLoop &loop, const HostLoopSettings &settings, LogSink log, StepFunction takeStep)
    : m_settings(settings)
    , m_log(std::move(log))
    , m_takeStep(std::move(takeStep))
    , m_board(makeBlackboard(settings.host, EventLoop::now(), EventLoop::wallNow()))
    , m_stepTimer(loop, [this] { runStep(); })
    , m_stopTimer(loop, [this] { checkStopped(); })
    , m_post([this](Event event) { post(std::move(event)); })
    , m_reportError([this](const std::string &step, const std::string &peer, const std::string &message) {
        m_log({step, peer, "", message, true});
    })
    , m_http(loop)
    , m_server(loop, settings.http)
    , m_store(loop, m_http, settings.store, m_post, m_reportError)
    , m_targets(m_http, m_post, m_reportError)
    , m_hostList(loop, m_http, settings.hostListAddress, settings.host.limits.hostListPeriod, m_post, m_reportError)
    , m_peers(loop, settings.host.id, settings.peers, m_reportError)
    , m_peerListener(loop, settings.host.id, settings.peerListener, m_post, m_reportError)
    , m_callers(loop, m_server, m_board, settings.callers, m_post)
{
    m_callers.setMetricsText([this] { return metricsText(); });
}

absl::Status HostLoop::start()
{
    const auto address = socketAddressFromText(m_settings.host.httpAddress);
    if (!address.ok()) {
        return address.status();
    }
    const auto &text = m_settings.host.httpAddress;
    if (auto status = m_server.listen(text.substr(0, text.rfind(':')), ntohs(address->sin_port)); !status.ok()) {
        return status;
    }
    if (auto status = m_peerListener.listen(m_settings.host.peerAddress); !status.ok()) {
        return status;
    }
    m_hostList.start();
    m_stepTimer.startIn(Duration{0});
    return absl::OkStatus();
}

void HostLoop::post(Event event)
{
    if (const auto *reply = std::get_if<StoreReply>(&event)) {
        if (auto read = m_storeReads.extract(reply->id)) {
            read.mapped()(*reply);
            return;
        }
    }
    m_inbox.push_back(std::move(event));
    if (m_inbox.size() == 1) {
        m_stepTimer.startIn(Duration{0});
    }
}

void HostLoop::readStore(const StoreRange &range, std::function<void(const StoreReply &)> handler)
{
    StoreCall call;
    call.id = takeCallId(m_board);
    call.request = range;
    call.timeout = m_settings.host.limits.storeCallTimeout;
    m_storeReads.emplace(call.id, std::move(handler));
    m_store.send(call);
}

void HostLoop::requestStop()
{
    if (m_stopDeadline) {
        return;
    }
    m_stopDeadline = EventLoop::now() + m_settings.host.limits.stopLimit + lastResponsesPeriod;
    m_server.stopAccepting();
    post(StopRequested{});
    m_stopTimer.startIn(stopCheckPeriod);
}

void HostLoop::setStoppedHandler(std::function<void()> handler)
{
    m_onStopped = std::move(handler);
}

void HostLoop::runStep()
{
    const auto begin = std::chrono::steady_clock::now();
    m_takeStep(m_board, std::exchange(m_inbox, {}), EventLoop::now(), EventLoop::wallNow());
    addSample(m_board.counters, "stepMs", std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
    for (const auto &message : std::exchange(m_board.outbox, {})) {
        deliver(message);
    }
    m_metrics.collectSamples(m_board.counters);
    updateWatch();
    writeLog();
    armTimer();
}

void HostLoop::deliver(const OutgoingMessage &message)
{
    if (const auto *store = std::get_if<StoreCall>(&message)) {
        m_store.send(*store);
    } else if (const auto *target = std::get_if<TargetCall>(&message)) {
        m_targets.send(*target);
    } else if (const auto *peer = std::get_if<PeerSend>(&message)) {
        m_peers.send(*peer);
    } else if (const auto *caller = std::get_if<CallerReply>(&message)) {
        m_callers.onReply(*caller);
    }
}

void HostLoop::updateWatch()
{
    const bool shouldWatch = m_board.store.isWatching;
    if (shouldWatch && !m_wasWatching) {
        m_store.watchFrom(m_board.store.watchRevision + 1);
    } else if (!shouldWatch) {
        m_store.stopWatching();
    }
    m_wasWatching = shouldWatch;
}

void HostLoop::writeLog()
{
    for (const auto &entry : std::exchange(m_board.log, {})) {
        m_log(entry);
    }
}

void HostLoop::armTimer()
{
    if (!m_inbox.empty()) {
        m_stepTimer.startIn(Duration{0});
    } else if (const auto due = nextDue(m_board.timers)) {
        m_stepTimer.startAt(*due);
    }
}

bool HostLoop::isEverythingAnswered() const
{
    const bool hasOpenCommand = std::ranges::any_of(m_board.commands.rows(), [](const auto &row) { return row.second.step != CommandStep::Answered; });
    return m_board.isStopping && m_board.calls.isEmpty() && !hasOpenCommand && m_board.leases.isEmpty() && m_board.store.writes.empty()
           && m_board.store.transactions.empty() && !m_board.store.batch && m_callers.openCalls() == 0 && m_server.openRequests() == 0
           && m_server.closingConnections() == 0 && !m_peers.hasQueuedFrames();
}

void HostLoop::checkStopped()
{
    // A request in a socket's buffer would be lost if the process exited now.
    m_server.poll();
    const bool isTimeOver = EventLoop::now() >= *m_stopDeadline;
    if (isTimeOver && m_callers.openCalls() > 0) {
        m_log({"stop", "", "", std::to_string(m_callers.openCalls()) + " calls are not answered within the time limit of a stop", true});
        m_callers.endOpenCalls();
        m_server.poll();
    }
    if (isTimeOver || isEverythingAnswered()) {
        if (m_onStopped) {
            m_onStopped();
        }
        return;
    }
    m_stopTimer.startIn(stopCheckPeriod);
}

std::string HostLoop::metricsText() const
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return m_metrics.text(m_board,
                          {{"processCpuSeconds", seconds(usage.ru_utime) + seconds(usage.ru_stime)},
                           {"processPeakMemoryBytes", static_cast<double>(usage.ru_maxrss) * 1024},
                           {"httpConnections", static_cast<double>(m_server.openConnections())},
                           {"httpConnectionsDisplaced", static_cast<double>(m_server.displacedConnections())},
                           {"httpOpenRequests", static_cast<double>(m_server.openRequests())},
                           {"receivedBytesHeld", static_cast<double>(m_server.heldBytes())},
                           {"clientOpenCalls", static_cast<double>(m_http.openCalls())},
                           {"peerIncomingConnections", static_cast<double>(m_peerListener.connectionCount())},
                           {"peerConnectionsRefused", static_cast<double>(m_peerListener.connectionEnds().refused)},
                           {"peerConnectionsReplaced", static_cast<double>(m_peerListener.connectionEnds().replaced)},
                           {"peerConnectionsOverBudget", static_cast<double>(m_peerListener.connectionEnds().overBudget)},
                           {"peerReceivedBytesHeld", static_cast<double>(m_peerListener.heldBytes())},
                           {"peerQueuedBytes", static_cast<double>(m_peers.queuedBytes())},
                           {"peerMessagesDropped", static_cast<double>(m_peers.droppedMessages())},
                           {"storeWatchOpen", m_store.isWatching() ? 1 : 0}});
}

}
