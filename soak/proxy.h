#pragma once

#include "core/time.h"
#include "net/eventloop.h"

#include <absl/status/status.h>

#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Faults that a proxy applies to the bytes that pass through it.
struct ProxyFaults
{
    Duration delay{0};         ///< Delay before bytes are forwarded, in each direction.
    bool cutsToServer = false; ///< Bytes to the server are held back until the cut ends.
    bool cutsToClient = false; ///< Bytes to the client are held back until the cut ends.
    bool halfCloses = false;   ///< The sending side to the server is closed after a request, as by a client that sends no more but still reads.

    friend bool operator==(const ProxyFaults &, const ProxyFaults &) = default;
};

/// An HTTP request that the server had received when it ended the connection without a response.
struct CutConnection
{
    std::string request; ///< Method and path.
    TimePoint deliveredAt;
    TimePoint cutAt;
    bool wasRead = false; ///< True if the server closed the connection in order, which it can only do after reading all bytes; false if it was reset.

    friend bool operator==(const CutConnection &, const CutConnection &) = default;
};

/// TCP proxy on a free loopback port.
class Proxy
{
public:
    Proxy(EventLoop &loop, std::string serverAddress);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    absl::Status listen();

    /// IP address and port at which clients reach the server through the proxy.
    std::string address() const;

    void setFaults(const ProxyFaults &faults);

    /// Limits the bytes that pass in each direction of all connections together, as the link of a host does. Zero means no limit.
    void setRate(int bytesPerSecond);

    /// Returns the requests that the server has cut off since the last call.
    std::vector<CutConnection> takeCuts();

    /// Resets all open connections at both ends.
    void resetConnections();

    /// Stops forwarding on the open connections for which the function returns true, but keeps them open; later connections work.
    void silenceConnections(const std::function<bool()> &isHit = [] { return true; });

    std::size_t connectionCount() const
    {
        return m_links.size();
    }

private:
    /// Bytes in transit; an empty chunk marks the end of the stream.
    struct Chunk
    {
        TimePoint due;
        std::string bytes;
    };

    /// The latest HTTP request of a connection, until the server responds to it.
    struct PendingRequest
    {
        std::string line;
        TimePoint deliveredAt;
        bool isLate = false; ///< True if the server had closed the connection before the request could be sent.
    };

    using LinkTime = std::chrono::time_point<StepClock, std::chrono::duration<double, std::milli>>;

    /// One direction of the link that all connections share.
    struct Lane
    {
        LinkTime busyUntil; ///< When the bytes that have been received so far will have passed.
    };

    struct End
    {
        int descriptor = -1;
        std::unique_ptr<SocketWatch> watch;
        std::deque<Chunk> toSend; ///< Chunks to send to this end of the link.
        bool hasEnded = false;    ///< True once this end has closed its sending side.
        bool isClosedForSending = false;
        bool isConnecting = false;
    };

    struct Link
    {
        End client;
        End server;
        std::optional<PendingRequest> request;
        bool isSilent = false;
        bool isBroken = false;
    };

    void accept();
    Lane &laneTo(const Link &link, const End &to);
    TimePoint passTime(Lane &lane, std::size_t bytes) const;
    bool isFull(const Lane &lane) const;
    void closeAfterRequest(Link &link);
    static void noteRequest(Link &link, const std::string &bytes);
    void noteCut(Link &link, bool wasRead);
    void onReady(Link &link, End &from, End &to, int events);
    void receive(Link &link, End &from, End &to);
    bool flush(Link &link, End &end);
    bool isHeld(const Link &link, const End &end) const;
    void watchEnds(Link &link);
    void pump();
    void removeEnded();

    EventLoop &m_loop;
    std::string m_serverAddress;
    ProxyFaults m_faults;
    int m_bytesPerSecond = 0;
    Lane m_toServer;
    Lane m_toClient;
    std::vector<CutConnection> m_cuts;
    int m_listener = -1;
    int m_port = 0;
    SocketWatch m_watch;
    Timer m_timer;
    std::list<Link> m_links;
};

}
