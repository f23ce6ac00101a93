#include "httpserver.h"

#include "core/errors.h"
#include "receivebudget.h"
#include "socketio.h"

#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <arpa/inet.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <optional>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

// After its response, the rest of a refused body is read and discarded up to this multiple of the limit, so that the client receives the response.
constexpr std::size_t discardedBodyFactor = 16;

/// Number of connections that are accepted in addition to `maxConnections`, so that their requests can be refused with a response.
unsigned refusedConnections(const HttpServerLimits &limits)
{
    return std::clamp(limits.maxConnections / 16, 8U, 64U);
}

/// Number of closed connections whose clients may still read the last response. Each keeps a descriptor beside those of the open connections.
std::size_t drainedConnections(const HttpServerLimits &limits)
{
    return std::clamp(limits.maxConnections / 8, 16U, 128U);
}

// Timeout of a connection while it is being answered. `responseTimeout` ends the connection earlier.
constexpr unsigned resumedTimeoutSeconds = 3'600;

constexpr Duration sweepPeriod{1'000};

// The allocator keeps free memory between blocks that are in use. Returning it takes milliseconds, so it is done rarely and only after a crowd.
constexpr std::size_t returnedBytes = std::size_t{4} * 1024 * 1024;
constexpr Duration memoryReturnDelay{1'000};

/// True if the connection is open and no bytes are left to read.
bool hasNothingToRead(int descriptor)
{
    char byte = 0;
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && wouldBlock(errno);
}

/// True if the peer has closed or reset the connection and no bytes are left to read.
bool isClosedByPeer(int descriptor)
{
    char byte = 0;
    const auto count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}

struct HttpServer::Connection
{
    int descriptor = -1;
    unsigned long long number = 0;     ///< Counts up in the order of acceptance.
    std::optional<TimePoint> deadline; ///< Deadline of the current phase: idle, receiving or sending; none while a request is being handled.
    bool isAboveLimit = false;
    bool isTimedOut = false;
    bool isDisplaced = false;  ///< It was closed for a new connection.
    bool isEnded = false;      ///< The sending side has ended after a response to any request that may still arrive.
    HttpRequestId request = 0; ///< The request that is being received or answered; 0 if there is none.
};

struct HttpServer::Request
{
    HttpRequestId id = 0;
    HttpRequest request;
    MHD_Connection *connection = nullptr;
    bool isHeadRead = false;
    bool isHandled = false;
    bool isSuspended = false;
    bool isResponseQueued = false;
    bool isRefused = false; ///< Its response was written to the socket by the server itself.
    bool isRead = false;    ///< The last byte of the body was read.
    bool hasClientLeft = false;
    std::optional<TimePoint> handledAt;
    bool isDiscarded = false; ///< Its body was released to make room for other requests.
    ReceivedBody body;        ///< Empty once the request is handled.
    std::size_t bodyBytes = 0;
    std::size_t heldBytes = 0; ///< The request's part of the receive budget.
    TimePoint lastProgress;
    std::optional<HttpResponse> response;
    std::unique_ptr<SocketWatch> disconnectWatch;
};

HttpServer::HttpServer(EventLoop &loop, HttpServerLimits limits)
    : m_loop(loop)
    , m_limits(limits)
    , m_watch(loop, [this](int) { runDaemon(); })
    , m_runTimer(loop, [this] { runDaemon(); })
    , m_sweepTimer(loop, [this] { closeTimedOutConnections(); })
    , m_memoryTimer(loop, [this] { returnMemory(); })
    , m_drain(loop, {.maxConnections = drainedConnections(limits), .maxDiscardedBytes = discardedBodyFactor * limits.maxBodyBytes})
{
}

HttpServer::~HttpServer()
{
    m_watch.stop();
    m_disconnectHandler = {};
    m_handler = {};
    m_endHandler = {};
    if (m_daemon != nullptr) {
        for (const auto &[id, request] : m_requests) {
            resume(*request);
        }
        MHD_stop_daemon(m_daemon);
    }
}

void HttpServer::setHandler(Handler handler)
{
    m_handler = std::move(handler);
}

void HttpServer::setReadHeaders(std::vector<std::string> names)
{
    m_readHeaders = std::move(names);
}

void HttpServer::setDisconnectHandler(DisconnectHandler handler)
{
    m_disconnectHandler = std::move(handler);
}

void HttpServer::setLimitResponse(LimitResponse response)
{
    m_limitResponse = std::move(response);
}

void HttpServer::setAlwaysServedPaths(std::set<std::string, std::less<>> paths)
{
    m_alwaysServedPaths = std::move(paths);
}

void HttpServer::setRefusalHandler(RefusalHandler handler)
{
    m_refusalHandler = std::move(handler);
}

void HttpServer::setEndHandler(EndHandler handler)
{
    m_endHandler = std::move(handler);
}

absl::Status HttpServer::listen(const std::string &address, int port)
{
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, address.c_str(), &socketAddress.sin_addr) != 1) {
        return errorAt(absl::StatusCode::kInvalidArgument, "listenHttp", address, "not an IPv4 address");
    }
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                static_cast<std::uint16_t>(port),
                                nullptr,
                                nullptr,
                                &HttpServer::onAccessRaw,
                                this,
                                MHD_OPTION_SOCK_ADDR,
                                &socketAddress,
                                MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                1U,
                                MHD_OPTION_CONNECTION_LIMIT,
                                m_limits.maxConnections + refusedConnections(m_limits),
                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                connectionPoolBytes(m_limits),
                                MHD_OPTION_NOTIFY_COMPLETED,
                                &HttpServer::onCompletedRaw,
                                this,
                                MHD_OPTION_NOTIFY_CONNECTION,
                                &HttpServer::onConnectionRaw,
                                this,
                                MHD_OPTION_URI_LOG_CALLBACK,
                                &HttpServer::onUriRaw,
                                this,
                                MHD_OPTION_END);
    if (m_daemon == nullptr) {
        return errorAt(absl::StatusCode::kUnavailable, "listenHttp", address + ":" + std::to_string(port), "cannot listen; is the port in use?");
    }
    m_watch.watch(MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, EV_READ);
    m_sweepTimer.startIn(std::min(sweepPeriod, m_limits.requestTimeout));
    return absl::OkStatus();
}

int HttpServer::port() const
{
    return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void HttpServer::stopAccepting()
{
    const auto listener = MHD_quiesce_daemon(m_daemon);
    if (listener == MHD_INVALID_SOCKET) {
        return;
    }
    // Closing the listener resets the connections in its backlog.
    while (true) {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        const int descriptor = ::accept4(listener, reinterpret_cast<sockaddr *>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0 && errno == EINTR) {
            continue;
        }
        if (descriptor < 0) {
            break;
        }
        MHD_add_connection(m_daemon, descriptor, reinterpret_cast<const sockaddr *>(&address), size);
    }
    ::close(listener);
    m_runTimer.startIn(Duration{0});
}

void HttpServer::endIdleConnections(const HttpResponse &response)
{
    const auto text = closingResponseText(response, false);
    for (const auto &connection : m_connections | std::views::values) {
        if (connection->request != 0 || connection->isEnded || !hasNothingToRead(connection->descriptor)) {
            continue;
        }
        // After the end of the stream alone, a client whose request has crossed it could not tell whether the request was handled.
        static_cast<void>(::send(connection->descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
        ::shutdown(connection->descriptor, SHUT_WR);
        connection->isEnded = true;
    }
}

void HttpServer::poll()
{
    // libmicrohttpd resumes a connection in one run and sends its response in the next.
    runDaemon();
    runDaemon();
}

void HttpServer::runDaemon()
{
    MHD_run(m_daemon);
    // libmicrohttpd closes a connection with a refused target in its next run only, and in that run it also begins to accept again if all connections that it
    // allows were open and some have been closed.
    while (std::exchange(m_needsAnotherRun, false)) {
        MHD_run(m_daemon);
    }
    MHD_UNSIGNED_LONG_LONG waitMs = 0;
    if (MHD_get_timeout(m_daemon, &waitMs) == MHD_YES) {
        m_runTimer.startIn(Duration{static_cast<long long>(waitMs)});
    } else {
        m_runTimer.stop();
    }
}

void HttpServer::closeTimedOutConnections()
{
    const auto now = EventLoop::now();
    for (const auto &[raw, connection] : m_connections) {
        if (connection->deadline && *connection->deadline < now) {
            // libmicrohttpd has no function to close a single connection. It closes a connection whose stream has ended, so the socket is shut down here.
            ::shutdown(connection->descriptor, SHUT_RDWR);
            connection->deadline.reset();
            connection->isTimedOut = true;
        }
    }
    m_sweepTimer.startIn(std::min(sweepPeriod, m_limits.requestTimeout));
}

void HttpServer::displaceOldestAboveLimit()
{
    auto candidates =
        m_connections | std::views::values | std::views::filter([](const auto &connection) { return connection->isAboveLimit && !connection->isDisplaced; });
    const auto oldest = std::ranges::min_element(candidates, {}, [](const auto &connection) { return connection->number; });
    if (oldest != candidates.end()) {
        ++m_displacedConnections;
        (*oldest)->isDisplaced = true;
        ::shutdown((*oldest)->descriptor, SHUT_RDWR);
    }
}

HttpServer::Connection *HttpServer::connectionOf(MHD_Connection *connection) const
{
    const auto found = m_connections.find(connection);
    return found == m_connections.end() ? nullptr : found->second.get();
}

void HttpServer::readHead(Request &request, MHD_Connection *connection, const char *method, const char *path)
{
    request.isHeadRead = true;
    request.request.method = method;
    request.request.path = path;
    if (const char *header = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Authorization")) {
        absl::string_view token = header;
        if (absl::StartsWithIgnoreCase(token, "Bearer ")) {
            token.remove_prefix(7);
            request.request.bearerToken = std::string(absl::StripAsciiWhitespace(token));
        }
    }
    for (const auto &name : m_readHeaders) {
        if (const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name.c_str())) {
            request.request.headers.emplace(name, value);
        }
    }
    MHD_get_connection_values(
        connection,
        MHD_GET_ARGUMENT_KIND,
        [](void *owner, MHD_ValueKind, const char *key, const char *value) {
            static_cast<HttpRequest *>(owner)->query[key] = value == nullptr ? "" : value;
            return MHD_YES;
        },
        &request.request);
    const auto *state = connectionOf(connection);
    if (state != nullptr && state->isAboveLimit && !m_alwaysServedPaths.contains(request.request.path)) {
        request.response = limitResponse(HttpLimit::TooManyConnections);
    } else if (const char *length = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length")) {
        if (std::strtoull(length, nullptr, 10) > m_limits.maxBodyBytes) {
            request.response = limitResponse(HttpLimit::BodyTooLarge);
        }
    }
}

HttpResponse HttpServer::limitResponse(HttpLimit limit) const
{
    if (m_refusalHandler) {
        m_refusalHandler(limit);
    }
    auto response = m_limitResponse ? m_limitResponse(limit) : defaultLimitResponse(limit);
    response.closesConnection = true;
    return response;
}

MHD_Result HttpServer::refuse(Request &request, MHD_Connection *connection, HttpLimit limit)
{
    // libmicrohttpd queues no response while it receives a body, and has none for a request that fills its memory. The response is written here, and the
    // drain of the closed connection makes sure that the client receives it.
    const auto text = closingResponseText(limitResponse(limit), request.request.method == MHD_HTTP_METHOD_HEAD);
    const int descriptor = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    request.isRefused = ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) == static_cast<ssize_t>(text.size());
    return MHD_NO;
}

MHD_Result HttpServer::onAccess(Request &request, MHD_Connection *connection, const char *method, const char *path, const char *data, std::size_t *size)
{
    if (request.isRefused || request.isDiscarded) {
        return MHD_NO;
    }
    if (!request.isHeadRead) {
        readHead(request, connection, method, path);
        if (!isHeaderWithinLimits(connection, m_limits)) {
            return refuse(request, connection, HttpLimit::HeaderTooLarge);
        }
        return request.response ? queueResponse(request, connection) : MHD_YES;
    }
    if (*size > 0) {
        const auto result = receive(request, connection, {data, *size});
        *size = 0;
        return result;
    }
    request.isRead = true;
    if (!request.isHandled && !isHeaderWithinLimits(connection, m_limits)) {
        // The trailers of a chunked body have filled the connection's memory.
        return refuse(request, connection, HttpLimit::HeaderTooLarge);
    }
    if (!request.isHandled && !request.response) {
        handle(request, connection);
    }
    return request.response ? queueResponse(request, connection) : waitForResponse(request, connection);
}

MHD_Result HttpServer::receive(Request &request, MHD_Connection *connection, std::string_view bytes)
{
    request.bodyBytes += bytes.size();
    if (request.bodyBytes > m_limits.maxBodyBytes) {
        return refuse(request, connection, HttpLimit::BodyTooLarge);
    }
    if (!makeRoom(request, allocationFor(request.body, bytes.size()))) {
        return refuse(request, connection, HttpLimit::ReceiveBudget);
    }
    append(request.body, bytes);
    setHeldBytes(request, request.body.allocatedBytes);
    request.lastProgress = EventLoop::now();
    return MHD_YES;
}

void HttpServer::handle(Request &request, MHD_Connection *connection)
{
    request.isHandled = true;
    request.handledAt = EventLoop::now();
    if (auto *state = connectionOf(connection)) {
        state->deadline.reset();
    }
    request.request.body = takeText(request.body);
    if (m_handler) {
        m_handler(request.id, request.request);
    }
    // What the handler has decoded takes about as much memory as the body until the request is answered.
    setHeldBytes(request, request.response ? 0 : request.bodyBytes);
    request.request.body = {};
}

bool HttpServer::makeRoom(const Request &request, std::size_t bytes)
{
    if (m_heldBytes + bytes <= receiveBudget(m_limits)) {
        return true;
    }
    std::vector<HeldRequest> held;
    std::ranges::transform(m_requests, std::back_inserter(held), [&](const auto &row) {
        const auto &other = *row.second;
        const bool isSender = other.id == request.id;
        return HeldRequest{other.id, other.heldBytes + (isSender ? bytes : 0), isSender ? EventLoop::now() : other.lastProgress, other.isHandled};
    });
    const auto refused = requestsToRefuse(std::move(held), receiveBudget(m_limits), EventLoop::now());
    const auto sender = std::ranges::find(refused, request.id);
    std::for_each(refused.begin(), sender, [this](HttpRequestId id) { refuseIncomplete(*m_requests.at(id)); });
    return sender == refused.end();
}

void HttpServer::refuseIncomplete(Request &request)
{
    refuse(request, request.connection, HttpLimit::ReceiveBudget);
    request.isDiscarded = true;
    request.body = {};
    setHeldBytes(request, 0);
    // The connection is closed when its client sends more or closes it, and at the deadline.
    if (auto *state = connectionOf(request.connection)) {
        ::shutdown(state->descriptor, SHUT_WR);
        state->deadline = EventLoop::now() + sweepPeriod;
    }
}

void HttpServer::setHeldBytes(Request &request, std::size_t bytes)
{
    noteReleased(request.heldBytes - std::min(request.heldBytes, bytes));
    m_heldBytes = m_heldBytes - request.heldBytes + bytes;
    request.heldBytes = bytes;
}

void HttpServer::noteReleased(std::size_t bytes)
{
    m_releasedBytes += bytes;
    if (m_releasedBytes >= returnedBytes && !m_memoryTimer.isActive()) {
        m_memoryTimer.startIn(memoryReturnDelay);
    }
}

void HttpServer::returnMemory()
{
    m_releasedBytes = 0;
    malloc_trim(0);
}

MHD_Result HttpServer::waitForResponse(Request &request, MHD_Connection *connection)
{
    request.isSuspended = true;
    MHD_suspend_connection(connection);
    watchForDisconnect(request);
    return MHD_YES;
}

MHD_Result HttpServer::queueResponse(Request &request, MHD_Connection *connection)
{
    const auto &answer = *request.response;
    auto *response = MHD_create_response_from_buffer(answer.body.size(), const_cast<char *>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", answer.contentType.c_str());
    auto *state = connectionOf(connection);
    if (answer.closesConnection || (state != nullptr && state->isAboveLimit)) {
        MHD_add_response_header(response, "Connection", "close");
    }
    if (answer.retryAfter > Duration{0}) {
        MHD_add_response_header(response, "Retry-After", retryAfterText(answer.retryAfter).c_str());
    }
    const auto result = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    request.isResponseQueued = result == MHD_YES;
    if (state != nullptr) {
        state->deadline = EventLoop::now() + m_limits.responseTimeout;
    }
    return result;
}

void HttpServer::respond(HttpRequestId id, HttpResponse response)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || found->second->response) {
        return;
    }
    found->second->response = std::move(response);
    setHeldBytes(*found->second, 0);
    resume(*found->second);
}

void HttpServer::resume(Request &request)
{
    request.disconnectWatch.reset();
    if (request.isSuspended) {
        request.isSuspended = false;
        // A resumed connection whose client has ended its sending side gets its response only if libmicrohttpd asks for the response before it reads the end of
        // the stream. It does so for its oldest connection and for those with a timeout of their own.
        MHD_set_connection_option(request.connection, MHD_CONNECTION_OPTION_TIMEOUT, resumedTimeoutSeconds);
        MHD_resume_connection(request.connection);
        m_runTimer.startIn(Duration{0});
    }
}

void HttpServer::watchForDisconnect(Request &request)
{
    // libmicrohttpd does not poll the socket of a suspended connection, so a reset is detected here.
    const auto id = request.id;
    const int descriptor = MHD_get_connection_info(request.connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    request.disconnectWatch = std::make_unique<SocketWatch>(m_loop, [this, id, descriptor](int) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end()) {
            return;
        }
        char byte = 0;
        const auto count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool isWaiting = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
        if (isWaiting) {
            return;
        }
        if (count >= 0) {
            // The client has sent its next request, or has ended its sending side. A client may do the latter while it still reads, so it gets its answer like
            // any other. The bytes and the end of the stream stay in the socket's buffer and would trigger the watch again, so the watch is removed.
            found->second->disconnectWatch.reset();
            return;
        }
        // The client has reset the connection and reads no answer, so this response only ends the connection.
        found->second->hasClientLeft = true;
        if (m_disconnectHandler) {
            m_disconnectHandler(id);
        }
        respond(id, HttpResponse{.status = 502, .closesConnection = true});
    });
    request.disconnectWatch->watch(descriptor, EV_READ);
}

MHD_Result HttpServer::onAccessRaw(void *self,
                                   MHD_Connection *connection,
                                   const char *path,
                                   const char *method,
                                   const char *,
                                   const char *data,
                                   size_t *size,
                                   void **request)
{
    if (*request == nullptr) {
        return MHD_NO;
    }
    return static_cast<HttpServer *>(self)->onAccess(*static_cast<Request *>(*request), connection, method, path, data, size);
}

void HttpServer::reportEnd(const Request &request, MHD_RequestTerminationCode code) const
{
    if (!m_endHandler) {
        return;
    }
    const auto *connection = connectionOf(request.connection);
    HttpRequestSummary summary{request.request.method, request.request.path, HttpRequestEnd::Failed, request.isRead, Duration{0}};
    if (request.handledAt) {
        summary.sinceRead = std::chrono::duration_cast<Duration>(EventLoop::now() - *request.handledAt);
    }
    if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK || request.isRefused) {
        summary.end = HttpRequestEnd::Answered;
    } else if (code == MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN) {
        summary.end = HttpRequestEnd::ServerStopped;
    } else if (connection != nullptr && connection->isTimedOut) {
        summary.end = HttpRequestEnd::TimedOut;
    } else if (request.hasClientLeft || code == MHD_REQUEST_TERMINATED_READ_ERROR || code == MHD_REQUEST_TERMINATED_CLIENT_ABORT
               || (connection != nullptr && isClosedByPeer(connection->descriptor))) {
        summary.end = HttpRequestEnd::ClientLeft;
    }
    m_endHandler(summary);
}

void HttpServer::onCompletedRaw(void *self, MHD_Connection *connection, void **request, MHD_RequestTerminationCode code)
{
    auto &server = *static_cast<HttpServer *>(self);
    if (*request == nullptr) {
        return;
    }
    auto &ended = *static_cast<Request *>(*request);
    server.setHeldBytes(ended, 0);
    if (ended.isHandled && !ended.response && server.m_disconnectHandler) {
        server.m_disconnectHandler(ended.id);
    }
    server.reportEnd(ended, code);
    server.m_requests.erase(ended.id);
    *request = nullptr;
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
    if (auto *state = server.connectionOf(connection)) {
        state->request = 0;
        state->deadline = EventLoop::now() + server.m_limits.idleTimeout;
    }
}

void HttpServer::onClosed(MHD_Connection *connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    // libmicrohttpd does not report the end of a request whose header it could not read.
    if (const auto request = m_requests.find(found->second->request); request != m_requests.end()) {
        reportEnd(*request->second, MHD_REQUEST_TERMINATED_WITH_ERROR);
        setHeldBytes(*request->second, 0);
        m_requests.erase(request);
    }
    if (!isClosedByPeer(found->second->descriptor)) {
        m_drain.add(found->second->descriptor);
    }
    m_connections.erase(found);
    m_needsAnotherRun = true;
    noteReleased(connectionPoolBytes(m_limits));
}

void HttpServer::onConnectionRaw(void *self, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
{
    auto &server = *static_cast<HttpServer *>(self);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        server.onClosed(connection);
        return;
    }
    auto state = std::make_unique<Connection>();
    state->number = server.m_nextConnectionNumber++;
    server.m_lastAcceptedAt = EventLoop::now();
    state->descriptor = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    state->deadline = EventLoop::now() + server.m_limits.requestTimeout;
    state->isAboveLimit = server.m_connections.size() >= server.m_limits.maxConnections;
    server.m_connections.emplace(connection, std::move(state));
    // libmicrohttpd accepts no connection beyond this number, so that one place is kept free for a request that is always served.
    if (server.m_connections.size() >= server.m_limits.maxConnections + refusedConnections(server.m_limits)) {
        server.displaceOldestAboveLimit();
    }
}

void *HttpServer::onUriRaw(void *self, const char *uri, MHD_Connection *connection)
{
    auto &server = *static_cast<HttpServer *>(self);
    auto request = std::make_unique<Request>();
    request->id = server.m_nextId++;
    request->connection = connection;
    auto *raw = request.get();
    server.m_requests.emplace(raw->id, std::move(request));
    if (auto *state = server.connectionOf(connection)) {
        state->request = raw->id;
        state->deadline = EventLoop::now() + server.m_limits.requestTimeout;
        raw->isRefused = state->isEnded;
    }
    if (!isTargetWithinLimits(uri, server.m_limits)) {
        server.refuse(*raw, connection, HttpLimit::HeaderTooLarge);
        server.m_needsAnotherRun = true;
    }
    return raw;
}

}
