#include "connectiondrain.h"

#include "socketio.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::size_t readChunkBytes = std::size_t{16} * 1024;

/// Reads and discards the bytes in the socket's buffer up to a maximum. Returns false if the stream has ended.
bool discardAvailable(int descriptor, std::size_t maxBytes, std::size_t &discarded)
{
    std::array<char, readChunkBytes> chunk{};
    while (discarded < maxBytes) {
        const auto count = ::recv(descriptor, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return count < 0 && wouldBlock(errno);
        }
        discarded += static_cast<std::size_t>(count);
    }
    return true;
}

}

struct ConnectionDrain::Connection
{
    Connection(EventLoop &loop, SocketWatch::Callback onReady, Timer::Callback onTimeout)
        : watch(loop, std::move(onReady))
        , timer(loop, std::move(onTimeout))
    {
    }

    int descriptor = -1;
    std::size_t discarded = 0;
    SocketWatch watch;
    Timer timer;
};

ConnectionDrain::ConnectionDrain(EventLoop &loop, ConnectionDrainLimits limits)
    : m_loop(loop)
    , m_limits(limits)
{
}

ConnectionDrain::~ConnectionDrain()
{
    while (!m_connections.empty()) {
        close(m_connections.begin()->first);
    }
}

void ConnectionDrain::add(int descriptor)
{
    ::shutdown(descriptor, SHUT_WR);
    std::size_t discarded = 0;
    if (!discardAvailable(descriptor, m_limits.maxDiscardedBytes, discarded)) {
        return;
    }
    const int duplicate = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0) {
        return;
    }
    if (m_connections.size() >= m_limits.maxConnections) {
        close(m_connections.begin()->first);
    }
    const auto id = m_nextId++;
    auto connection = std::make_unique<Connection>(
        m_loop, [this, id](int) { onReady(id); }, [this, id] { close(id); });
    connection->descriptor = duplicate;
    connection->discarded = discarded;
    connection->watch.watch(duplicate, EV_READ);
    connection->timer.startIn(m_limits.timeout);
    m_connections.emplace(id, std::move(connection));
}

void ConnectionDrain::onReady(unsigned long long id)
{
    auto &connection = *m_connections.at(id);
    if (!discardAvailable(connection.descriptor, m_limits.maxDiscardedBytes, connection.discarded) || connection.discarded >= m_limits.maxDiscardedBytes) {
        close(id);
    }
}

void ConnectionDrain::close(unsigned long long id)
{
    const auto connection = m_connections.extract(id);
    connection.mapped()->watch.stop();
    ::close(connection.mapped()->descriptor);
}

}
