#pragma once

#include "core/time.h"
#include "net/eventloop.h"

#include <absl/status/status.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>

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
        bool isSilent = false;
        bool isBroken = false;
    };

    void accept();
    void forward(End &to, std::string bytes);
    void closeAfterRequest(End &server);
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
    int m_listener = -1;
    int m_port = 0;
    SocketWatch m_watch;
    Timer m_timer;
    std::list<Link> m_links;
};

}
