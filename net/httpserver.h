#pragma once

#include "connectiondrain.h"
#include "eventloop.h"
#include "httplimits.h"
#include "httpmessage.h"
#include "httprequestend.h"

#include <absl/status/status.h>
#include <microhttpd.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// Identifies one request of a server.
using HttpRequestId = unsigned long long;

/// HTTP server on libmicrohttpd, run by the event loop without threads. The connection of a request is suspended until respond() is called for it.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequestId, const HttpRequest &)>;
    using DisconnectHandler = std::function<void(HttpRequestId)>;
    using LimitResponse = std::function<HttpResponse(HttpLimit)>;
    using RefusalHandler = std::function<void(HttpLimit)>;
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

    /// Sets the paths that are served also on connections above the limit, which are closed after the response.
    void setAlwaysServedPaths(std::set<std::string, std::less<>> paths);

    /// Sets the handler that is called for each request that is refused because it exceeds a limit.
    void setRefusalHandler(RefusalHandler handler);

    /// Sets the handler that is called when a connection has finished with a request, also with one that was not read completely.
    void setEndHandler(EndHandler handler);

    /// Listens on an IPv4 address; port 0 chooses a free port.
    absl::Status listen(const std::string &address, int port);
    int port() const;

    /// Answers a request. The id of a request that has ended is ignored.
    void respond(HttpRequestId id, HttpResponse response);

    /// Accepts the connections that wait in the backlog and no others; open requests are still answered.
    void stopAccepting();

    /// Sends the response on each connection without a request and ends the sending side. A request that arrives there afterwards is discarded without reaching
    /// the handler, and its client reads this response as the answer, so the response must be a refusal that says that the request has not run.
    void endIdleConnections(const HttpResponse &response);

    /// Reads and sends what is ready now, without waiting for the event loop.
    void poll();

    std::size_t openRequests() const
    {
        return m_requests.size();
    }

    /// Number of connections that have ended and whose clients may not have received the last response yet.
    std::size_t closingConnections() const
    {
        return m_drain.size();
    }

    std::size_t openConnections() const
    {
        return m_connections.size() + m_drain.size();
    }

    /// When the newest connection was accepted; the epoch of the clock if there was none.
    TimePoint lastAcceptedAt() const
    {
        return m_lastAcceptedAt;
    }

    /// Number of connections above the limit that were closed for a new one.
    long long displacedConnections() const
    {
        return m_displacedConnections;
    }

    /// Bytes of all bodies that are being received or answered.
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }

private:
    struct Request;
    struct Connection;

    void runDaemon();
    void closeTimedOutConnections();
    void displaceOldestAboveLimit();
    MHD_Result onAccess(Request &request, MHD_Connection *connection, const char *method, const char *path, const char *data, std::size_t *size);
    void readHead(Request &request, MHD_Connection *connection, const char *method, const char *path);
    HttpResponse limitResponse(HttpLimit limit) const;
    MHD_Result refuse(Request &request, MHD_Connection *connection, HttpLimit limit);
    MHD_Result receive(Request &request, MHD_Connection *connection, std::string_view bytes);
    void handle(Request &request, MHD_Connection *connection);

    /// Refuses incomplete requests until the bytes fit into the budget. Returns false if the request itself is to be refused.
    bool makeRoom(const Request &request, std::size_t bytes);
    void refuseIncomplete(Request &request);
    void setHeldBytes(Request &request, std::size_t bytes);

    /// Schedules the return of free memory to the operating system once much has been released.
    void noteReleased(std::size_t bytes);
    void returnMemory();
    MHD_Result waitForResponse(Request &request, MHD_Connection *connection);
    MHD_Result queueResponse(Request &request, MHD_Connection *connection);
    void resume(Request &request);
    void watchForDisconnect(Request &request);
    void onClosed(MHD_Connection *connection);
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
    RefusalHandler m_refusalHandler;
    EndHandler m_endHandler;
    std::vector<std::string> m_readHeaders;
    std::set<std::string, std::less<>> m_alwaysServedPaths;
    MHD_Daemon *m_daemon = nullptr;
    SocketWatch m_watch;
    Timer m_runTimer;
    Timer m_sweepTimer;
    Timer m_memoryTimer;
    ConnectionDrain m_drain;
    std::map<HttpRequestId, std::unique_ptr<Request>> m_requests;
    std::map<MHD_Connection *, std::unique_ptr<Connection>> m_connections;
    std::size_t m_heldBytes = 0;
    std::size_t m_releasedBytes = 0; ///< Bytes that were released since free memory was last returned to the operating system.
    HttpRequestId m_nextId = 1;
    unsigned long long m_nextConnectionNumber = 1;
    long long m_displacedConnections = 0;
    TimePoint m_lastAcceptedAt{};
    bool m_needsAnotherRun = false;
};

}
