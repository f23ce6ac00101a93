#pragma once

#include "eventloop.h"
#include "httprequestend.h"

#include <absl/status/status.h>
#include <microhttpd.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiastand
{

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string bearerToken;
    std::string body;
    std::map<std::string, std::string> headers; ///< Values of the request headers named in setReadHeaders(), by header name.

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    bool closesConnection = false;
    Duration retryAfter{0}; ///< Sent as Retry-After in whole seconds, rounded up; less than 100 ms is sent as 0, and zero is not sent.

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

struct HttpServerLimits
{
    std::size_t maxBodyBytes = std::size_t{1024} * 1024;
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    unsigned maxConnections = 1'500;  ///< With 3,000 connections and two of six hosts down, each host has 750 on average; this is twice as many.
    Duration requestTimeout{10'000};  ///< Time limit from the first line of a request to its last byte.
    Duration responseTimeout{30'000}; ///< Time limit for sending a response to a slow client.
    Duration idleTimeout{75'000};     ///< Time after which a connection without a request is closed.

    friend bool operator==(const HttpServerLimits &, const HttpServerLimits &) = default;
};

/// A limit that the server enforces before a request reaches the handler.
enum class HttpLimit
{
    BodyTooLarge,
    TooManyConnections,
};

/// Identifies one request of a server.
using HttpRequestId = unsigned long long;

/// HTTP server on libmicrohttpd, run by the event loop without threads. The connection of a request is suspended until respond() is called for it.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequestId, const HttpRequest &)>;
    using DisconnectHandler = std::function<void(HttpRequestId)>;
    using LimitResponse = std::function<HttpResponse(HttpLimit)>;
    using EndHandler = std::function<void(const HttpRequestSummary &)>;

    HttpServer(EventLoop &loop, HttpServerLimits limits);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    void setHandler(Handler handler);

    /// Sets the names of the request headers that are passed to the handler.
    void setReadHeaders(std::vector<std::string> names);

    /// Sets the handler that is called when a client resets its connection before its request is answered. A client that closes its connection in order, or ends
    /// only its sending side, gets its answer; the server cannot tell the two apart.
    void setDisconnectHandler(DisconnectHandler handler);

    /// Sets the function that returns the response to a request that exceeds a limit.
    void setLimitResponse(LimitResponse response);

    /// Sets the handler that is called when a connection has finished with a request, also with one that was not read completely.
    void setEndHandler(EndHandler handler);

    /// Listens on an IPv4 address; port 0 chooses a free port.
    absl::Status listen(const std::string &address, int port);
    int port() const;

    /// Answers a request. The id of a request that has ended is ignored.
    void respond(HttpRequestId id, HttpResponse response);

    /// Accepts no new connections; open requests are still answered.
    void stopAccepting();

    std::size_t openRequests() const
    {
        return m_requests.size();
    }

    std::size_t openConnections() const
    {
        return m_connections.size();
    }

private:
    struct Request;
    struct Connection;

    void runDaemon();
    void closeTimedOutConnections();
    MHD_Result onAccess(Request &request, MHD_Connection *connection, const char *method, const char *path, const char *data, std::size_t *size);
    void readHead(Request &request, MHD_Connection *connection, const char *method, const char *path);
    MHD_Result waitForResponse(Request &request, MHD_Connection *connection);
    MHD_Result queueResponse(Request &request, MHD_Connection *connection);
    void resume(Request &request);
    void watchForDisconnect(Request &request);
    Connection *connectionOf(MHD_Connection *connection) const;
    void reportEnd(const Request &request, MHD_RequestTerminationCode code) const;

    static MHD_Result onAccessRaw(void *self, MHD_Connection *connection, const char *path, const char *method, const char *, const char *, size_t *, void **);
    static void onCompletedRaw(void *self, MHD_Connection *connection, void **request, MHD_RequestTerminationCode code);
    static void onConnectionRaw(void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code);
    static void *onUriRaw(void *self, const char *uri, MHD_Connection *connection);

    EventLoop &m_loop;
    HttpServerLimits m_limits;
    Handler m_handler;
    DisconnectHandler m_disconnectHandler;
    LimitResponse m_limitResponse;
    EndHandler m_endHandler;
    std::vector<std::string> m_readHeaders;
    MHD_Daemon *m_daemon = nullptr;
    SocketWatch m_watch;
    Timer m_runTimer;
    Timer m_sweepTimer;
    std::map<HttpRequestId, std::unique_ptr<Request>> m_requests;
    std::map<MHD_Connection *, std::unique_ptr<Connection>> m_connections;
    HttpRequestId m_nextId = 1;
};

}
