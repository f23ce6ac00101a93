#include "standinserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <ranges>

namespace sequoiastand
{

namespace
{

constexpr std::size_t maxBodyBytes = 8'388'608;
constexpr unsigned maxConnections = 4096;
constexpr std::size_t streamBlockBytes = 65'536;

// libmicrohttpd does not detect that a client has closed a suspended connection. Exchanges without an answer are
// closed after these times, so that they do not exhaust the file descriptors.
constexpr Duration cleanupPeriod{5'000};
constexpr Duration maxAnswerTime{20'000};
constexpr Duration maxSilentTime{600'000};

/// Runs libmicrohttpd and arms the timer for its next timeout.
void runDaemon(StandInServer &server)
{
    server.hasResumed = false;
    MHD_run(server.daemon);
    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    server.runTimer->stop();
    if (server.hasResumed) {
        server.runTimer->startIn(Duration{0});
    } else if (MHD_get_timeout(server.daemon, &milliseconds) == MHD_YES) {
        server.runTimer->startIn(Duration{milliseconds});
    }
}

void sendDelayedAnswers(StandInServer &server)
{
    while (!server.delayed.empty() && server.delayed.begin()->first <= EventLoop::now()) {
        const auto node = server.delayed.extract(server.delayed.begin());
        respond(server, node.mapped().first, node.mapped().second);
    }
    if (!server.delayed.empty()) {
        server.delayTimer->startAt(server.delayed.begin()->first);
    }
}

StandInExchange *findExchange(StandInServer &server, ExchangeId id)
{
    const auto found = server.exchanges.find(id);
    return found == server.exchanges.end() || server.silentConnections.contains(found->second->connection) ? nullptr : found->second.get();
}

void suspend(StandInExchange &exchange)
{
    exchange.isSuspended = true;
    MHD_suspend_connection(exchange.connection);
}

void resume(StandInExchange &exchange)
{
    if (exchange.isSuspended) {
        exchange.isSuspended = false;
        MHD_resume_connection(exchange.connection);
        // The next MHD_run serves the resumed connection, but libmicrohttpd's epoll descriptor does not report it, so a timer triggers MHD_run.
        exchange.server->hasResumed = true;
        exchange.server->runTimer->startIn(Duration{0});
    }
}

void closeUnanswered(StandInServer &server)
{
    const auto now = EventLoop::now();
    for (const auto &exchange : server.exchanges | std::views::values) {
        const auto limit = server.silentConnections.contains(exchange->connection) ? maxSilentTime : maxAnswerTime;
        if (exchange->isSuspended && !exchange->isStream && now - exchange->receivedAt > limit) {
            exchange->isDropped = true;
            resume(*exchange);
        }
    }
    server.cleanupTimer->startIn(cleanupPeriod);
}

ssize_t readStream(void *context, uint64_t, char *buffer, std::size_t size)
{
    auto &exchange = *static_cast<StandInExchange *>(context);
    if (exchange.isDropped) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (exchange.streamed.empty()) {
        suspend(exchange);
        return 0;
    }
    const auto count = std::min(size, exchange.streamed.size());
    exchange.streamed.copy(buffer, count);
    exchange.streamed.erase(0, count);
    return static_cast<ssize_t>(count);
}

MHD_Result queueResponse(StandInExchange &exchange)
{
    MHD_Response *response = nullptr;
    unsigned status = MHD_HTTP_OK;
    if (exchange.isStream) {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, readStream, &exchange, nullptr);
    } else {
        status = static_cast<unsigned>(exchange.response->status);
        auto &body = exchange.response->body;
        response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    }
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
    const auto result = MHD_queue_response(exchange.connection, status, response);
    MHD_destroy_response(response);
    return result;
}

/// Called when the request is complete, and again after the connection is resumed.
MHD_Result handleComplete(StandInExchange &exchange)
{
    auto &server = *exchange.server;
    if (exchange.isDropped) {
        return MHD_NO;
    }
    if (server.silentConnections.contains(exchange.connection)) {
        suspend(exchange);
        return MHD_YES;
    }
    if (!std::exchange(exchange.isDelivered, true)) {
        if (exchange.isTooLarge) {
            exchange.response = StandInResponse{MHD_HTTP_CONTENT_TOO_LARGE, R"({"error": "body is too large"})"};
        } else {
            server.onRequest(exchange.request);
        }
    }
    if (exchange.isDropped) {
        return MHD_NO;
    }
    if (exchange.response || exchange.isStream) {
        return queueResponse(exchange);
    }
    suspend(exchange);
    return MHD_YES;
}

MHD_Result
onAccess(void *context, MHD_Connection *connection, const char *url, const char *method, const char *, const char *data, std::size_t *size, void **state)
{
    auto &server = *static_cast<StandInServer *>(context);
    if (!*state) {
        auto exchange = std::make_unique<StandInExchange>();
        exchange->server = &server;
        exchange->connection = connection;
        exchange->receivedAt = EventLoop::now();
        exchange->request = {++server.lastExchange, method, url, ""};
        *state = exchange.get();
        server.exchanges.emplace(server.lastExchange, std::move(exchange));
        return MHD_YES;
    }
    auto &exchange = *static_cast<StandInExchange *>(*state);
    if (*size > 0) {
        exchange.isTooLarge = exchange.isTooLarge || exchange.request.body.size() + *size > maxBodyBytes;
        if (!exchange.isTooLarge) {
            exchange.request.body.append(data, *size);
        }
        *size = 0;
        return MHD_YES;
    }
    return handleComplete(exchange);
}

void onCompleted(void *context, MHD_Connection *, void **state, MHD_RequestTerminationCode)
{
    auto &server = *static_cast<StandInServer *>(context);
    if (*state) {
        const auto id = static_cast<StandInExchange *>(*state)->request.id;
        server.exchanges.erase(id);
        *state = nullptr;
        if (server.onClosed) {
            server.onClosed(id);
        }
    }
}

void onConnection(void *context, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
{
    auto &server = *static_cast<StandInServer *>(context);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        server.connections.insert(connection);
    } else {
        server.connections.erase(connection);
        server.silentConnections.erase(connection);
    }
}

}

absl::Status startServer(StandInServer &server, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server.daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                     static_cast<std::uint16_t>(port),
                                     nullptr,
                                     nullptr,
                                     onAccess,
                                     &server,
                                     MHD_OPTION_SOCK_ADDR,
                                     &address,
                                     MHD_OPTION_CONNECTION_LIMIT,
                                     maxConnections,
                                     MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                     1U,
                                     MHD_OPTION_NOTIFY_COMPLETED,
                                     onCompleted,
                                     &server,
                                     MHD_OPTION_NOTIFY_CONNECTION,
                                     onConnection,
                                     &server,
                                     MHD_OPTION_END);
    if (!server.daemon) {
        return absl::UnavailableError("startServer: 127.0.0.1:" + std::to_string(port) + ": cannot listen");
    }
    const auto *info = MHD_get_daemon_info(server.daemon, MHD_DAEMON_INFO_EPOLL_FD);
    server.ready = std::make_unique<SocketWatch>(server.loop, [&server](int) { runDaemon(server); });
    server.runTimer = std::make_unique<Timer>(server.loop, [&server] { runDaemon(server); });
    server.delayTimer = std::make_unique<Timer>(server.loop, [&server] { sendDelayedAnswers(server); });
    server.cleanupTimer = std::make_unique<Timer>(server.loop, [&server] { closeUnanswered(server); });
    server.ready->watch(info->epoll_fd, EV_READ);
    server.cleanupTimer->startIn(cleanupPeriod);
    return absl::OkStatus();
}

int portOf(const StandInServer &server)
{
    return MHD_get_daemon_info(server.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

void stopServer(StandInServer &server)
{
    if (!server.daemon) {
        return;
    }
    // libmicrohttpd must not be stopped with suspended connections.
    for (const auto &[id, exchange] : server.exchanges) {
        exchange->isDropped = true;
        resume(*exchange);
    }
    MHD_run(server.daemon);
    server.ready->stop();
    server.runTimer->stop();
    server.delayTimer->stop();
    server.cleanupTimer->stop();
    MHD_stop_daemon(server.daemon);
    server.daemon = nullptr;
}

void respond(StandInServer &server, ExchangeId id, StandInResponse response)
{
    auto *exchange = findExchange(server, id);
    if (exchange && !exchange->response) {
        exchange->response = std::move(response);
        resume(*exchange);
    }
}

void respondLater(StandInServer &server, ExchangeId id, StandInResponse response, Duration delay)
{
    if (delay <= Duration{0}) {
        respond(server, id, std::move(response));
        return;
    }
    server.delayed.emplace(EventLoop::now() + delay, std::pair{id, std::move(response)});
    server.delayTimer->startAt(server.delayed.begin()->first);
}

void drop(StandInServer &server, ExchangeId id)
{
    if (auto *exchange = findExchange(server, id)) {
        exchange->isDropped = true;
        resume(*exchange);
    }
}

void openStream(StandInServer &server, ExchangeId id)
{
    if (auto *exchange = findExchange(server, id)) {
        exchange->isStream = true;
        resume(*exchange);
    }
}

void writeStream(StandInServer &server, ExchangeId id, const std::string &text)
{
    if (auto *exchange = findExchange(server, id)) {
        exchange->streamed += text;
        resume(*exchange);
    }
}

void silenceConnections(StandInServer &server, ExchangeId except)
{
    server.silentConnections = server.connections;
    if (const auto kept = server.exchanges.find(except); kept != server.exchanges.end()) {
        server.silentConnections.erase(kept->second->connection);
    }
}

}
