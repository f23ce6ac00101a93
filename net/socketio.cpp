#include "socketio.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace sequoiastand
{

namespace
{

constexpr std::size_t readChunkBytes = std::size_t{64} * 1024;

}

ReadResult readAvailable(std::string &buffer, int descriptor, std::size_t maxBytes)
{
    std::array<char, readChunkBytes> chunk{};
    while (buffer.size() < maxBytes) {
        const auto count = ::recv(descriptor, chunk.data(), chunk.size(), 0);
        if (count == 0) {
            return ReadResult::Closed;
        }
        if (count < 0) {
            return wouldBlock(errno) ? ReadResult::WouldBlock : ReadResult::Failed;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(count));
    }
    return ReadResult::WouldBlock;
}

bool wouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

void setNoDelay(int descriptor)
{
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

}
