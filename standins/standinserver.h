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

/// One request and its answer. The server owns it; libmicrohttpd holds a pointer to it.
struct StandInExchange
{
    StandInServer *server = nullptr;
    MHD_Connection *connection = nullptr; ///< The TCP connection, shared by all its requests.
    StandInRequest request;
    TimePoint receivedAt; ///< When the request arrived.
    bool isTooLarge = false;
    bool isDelivered = false;
    bool isSuspended = false;
    bool isDropped = false;
    bool isStream = false;
    std::optional<StandInResponse> response;
    std::string streamed; ///< Text of the stream that has not been sent yet.
};

/// HTTP server on a loopback port that runs in a libev loop and allows answers at any later time.
struct StandInServer
{
    EventLoop &loop;
    std::function<void(const StandInRequest &)> onRequest;
    std::function<void(ExchangeId)> onClosed; ///< Called after the answer, or when the connection has closed.
    MHD_Daemon *daemon = nullptr;
    std::unique_ptr<SocketWatch> ready;
    std::unique_ptr<Timer> runTimer; ///< Timer for the next timeout of libmicrohttpd.
    bool hasResumed = false;         ///< True if a connection was resumed since the last MHD_run.
    std::unique_ptr<Timer> delayTimer;
    std::unique_ptr<Timer> cleanupTimer;
    std::map<ExchangeId, std::unique_ptr<StandInExchange>> exchanges;
    std::multimap<TimePoint, std::pair<ExchangeId, StandInResponse>> delayed;
    std::set<const MHD_Connection *> connections;
    std::set<const MHD_Connection *> silentConnections; ///< Connections whose requests are neither handled nor answered.
    ExchangeId lastExchange = 0;
};

/// Listens on the port, or on a free port if it is 0. The server's address must not change until it is stopped.
absl::Status startServer(StandInServer &server, int port);

/// The port that a started server listens on.
int portOf(const StandInServer &server);

/// Closes all connections, including those with unanswered requests.
void stopServer(StandInServer &server);

/// Answers an exchange. Has no effect if its connection has closed.
void respond(StandInServer &server, ExchangeId id, StandInResponse response);

void respondLater(StandInServer &server, ExchangeId id, StandInResponse response, Duration delay);

/// Closes the connection of an exchange without an answer, or ends its stream.
void drop(StandInServer &server, ExchangeId id);

/// Answers with a stream that stays open; `writeStream` adds to it.
void openStream(StandInServer &server, ExchangeId id);
void writeStream(StandInServer &server, ExchangeId id, const std::string &text);

/// Silences all open connections except that of one exchange; later connections work.
void silenceConnections(StandInServer &server, ExchangeId except);

}
