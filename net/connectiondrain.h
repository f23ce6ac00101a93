#pragma once

#include "eventloop.h"

#include <cstddef>
#include <map>
#include <memory>

namespace sequoiastand
{

struct ConnectionDrainLimits
{
    std::size_t maxConnections = 128;                              ///< Beyond this number, the connection that was added first is closed.
    std::size_t maxDiscardedBytes = std::size_t{16} * 1024 * 1024; ///< Bytes of a connection that are read and discarded.
    Duration timeout{5'000};                                       ///< Time after which a connection is closed although its peer has not closed it.

    friend bool operator==(const ConnectionDrainLimits &, const ConnectionDrainLimits &) = default;
};

/// Closes connections after their last response. Closing a socket with unread bytes resets the connection, and the peer may then lose the response, so what the
/// peer still sends is read and discarded until it closes its side or a limit is reached.
class ConnectionDrain
{
public:
    ConnectionDrain(EventLoop &loop, ConnectionDrainLimits limits);
    ~ConnectionDrain();
    ConnectionDrain(const ConnectionDrain &) = delete;
    ConnectionDrain &operator=(const ConnectionDrain &) = delete;

    /// Ends the sending side of the connection and keeps a duplicate of its descriptor, so that the caller can close its own.
    void add(int descriptor);

    std::size_t size() const
    {
        return m_connections.size();
    }

private:
    struct Connection;

    void onReady(unsigned long long id);
    void close(unsigned long long id);

    EventLoop &m_loop;
    ConnectionDrainLimits m_limits;
    std::map<unsigned long long, std::unique_ptr<Connection>> m_connections; ///< In the order in which they were added.
    unsigned long long m_nextId = 1;
};

}
