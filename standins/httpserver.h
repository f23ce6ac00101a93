#pragma once

#include "eventloop.h"

#include <absl/status/status.h>
#include <ev.h>
#include <microhttpd.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace sequoiastand
{

using ExchangeId = unsigned long long;

struct HttpRequest
{
    ExchangeId id = 0;
    std::string method;
    std::string path;
    std::string body;

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

struct HttpResponse
{
    int status = 200;
    std::string body;

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

struct HttpServer;

/// One request and its answer. It belongs to the server; libmicrohttpd holds a pointer to it.
struct HttpExchange
{
    HttpServer *server = nullptr;
    MHD_Connection *connection = nullptr; ///< The TCP connection, the same for all its requests.
    HttpRequest request;
    TimePoint since; ///< When the request arrived.
    bool isTooLarge = false;
    bool isDelivered = false;
    bool isSuspended = false;
    bool isDropped = false;
    bool isStream = false;
    std::optional<HttpResponse> response;
    std::string streamed; ///< Text of a stream that is not sent yet.
};

/// HTTP server on a loopback port that runs in a libev loop, with answers at any later time.
struct HttpServer
{
    struct ev_loop *loop = nullptr;
    std::function<void(const HttpRequest &)> onRequest;
    std::function<void(ExchangeId)> onClosed; ///< After the answer or when the connection is gone.
    MHD_Daemon *daemon = nullptr;
    ev_io ready{};
    ev_timer timeout{};
    ev_timer delayTimer{};
    ev_timer cleanupTimer{};
    std::map<ExchangeId, std::unique_ptr<HttpExchange>> exchanges;
    std::multimap<TimePoint, std::pair<ExchangeId, HttpResponse>> delayed;
    std::set<const MHD_Connection *> connections;
    std::set<const MHD_Connection *> silentConnections; ///< Their requests are neither handled nor answered.
    ExchangeId lastExchange = 0;
};

/// The server must stay where it is until it is stopped.
absl::Status startServer(HttpServer &server, int port);

/// Closes all connections, answered or not.
void stopServer(HttpServer &server);

/// Answers an exchange; without effect if its connection is gone.
void respond(HttpServer &server, ExchangeId id, HttpResponse response);

void respondLater(HttpServer &server, ExchangeId id, HttpResponse response, Duration delay);

/// Closes the connection of an exchange without an answer, or ends its stream.
void drop(HttpServer &server, ExchangeId id);

/// Answers with a stream that stays open; `writeStream` adds to it.
void openStream(HttpServer &server, ExchangeId id);
void writeStream(HttpServer &server, ExchangeId id, const std::string &text);

/// Makes all present connections but that of one exchange silent; new ones work.
void silenceConnections(HttpServer &server, ExchangeId except);

}
