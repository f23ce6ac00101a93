#pragma once

#include "net/eventloop.h"

#include <absl/status/status.h>
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

struct StandInRequest
{
    ExchangeId id = 0;
    std::string method;
    std::string path;
    std::string body;

    friend bool operator==(const StandInRequest &, const StandInRequest &) = default;
};

struct StandInResponse
{
    int status = 200;
    std::string body;

    friend bool operator==(const StandInResponse &, const StandInResponse &) = default;
};

struct StandInServer;

/// One request and its answer. It belongs to the server; libmicrohttpd holds a pointer to it.
struct StandInExchange
{
    StandInServer *server = nullptr;
    MHD_Connection *connection = nullptr; ///< The TCP connection, the same for all its requests.
    StandInRequest request;
    TimePoint since; ///< When the request arrived.
    bool isTooLarge = false;
    bool isDelivered = false;
    bool isSuspended = false;
    bool isDropped = false;
    bool isStream = false;
    std::optional<StandInResponse> response;
    std::string streamed; ///< Text of a stream that is not sent yet.
};

/// HTTP server on a loopback port that runs in a libev loop, with answers at any later time.
struct StandInServer
{
    EventLoop &loop;
    std::function<void(const StandInRequest &)> onRequest;
    std::function<void(ExchangeId)> onClosed; ///< After the answer or when the connection is gone.
    MHD_Daemon *daemon = nullptr;
    std::unique_ptr<SocketWatch> ready;
    std::unique_ptr<Timer> runTimer; ///< When libmicrohttpd wants to work without a socket being ready.
    std::unique_ptr<Timer> delayTimer;
    std::unique_ptr<Timer> cleanupTimer;
    std::map<ExchangeId, std::unique_ptr<StandInExchange>> exchanges;
    std::multimap<TimePoint, std::pair<ExchangeId, StandInResponse>> delayed;
    std::set<const MHD_Connection *> connections;
    std::set<const MHD_Connection *> silentConnections; ///< Their requests are neither handled nor answered.
    ExchangeId lastExchange = 0;
};

/// The server must stay where it is until it is stopped.
absl::Status startServer(StandInServer &server, int port);

/// Closes all connections, answered or not.
void stopServer(StandInServer &server);

/// Answers an exchange; without effect if its connection is gone.
void respond(StandInServer &server, ExchangeId id, StandInResponse response);

void respondLater(StandInServer &server, ExchangeId id, StandInResponse response, Duration delay);

/// Closes the connection of an exchange without an answer, or ends its stream.
void drop(StandInServer &server, ExchangeId id);

/// Answers with a stream that stays open; `writeStream` adds to it.
void openStream(StandInServer &server, ExchangeId id);
void writeStream(StandInServer &server, ExchangeId id, const std::string &text);

/// Makes all present connections but that of one exchange silent; new ones work.
void silenceConnections(StandInServer &server, ExchangeId except);

}
