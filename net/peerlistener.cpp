#include "peerlistener.h"

#include "core/errors.h"
#include "socketaddress.h"
#include "socketio.h"
#include "wire/peerframe.h"

#include <absl/strings/str_cat.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <numeric>
#include <utility>

namespace sequoiastand
{

namespace
{

// Size of the output buffer at which no more acknowledgements are added. An acknowledgement takes about 20 bytes. Only the latest one matters, because each
// holds the total number of received frames.
constexpr std::size_t maxQueuedAcknowledgementBytes = std::size_t{64} * 1024;

// Bytes that are read from a connection before all others have their turn, and before the budget of all connections is checked.
constexpr std::size_t readBytesPerTurn = std::size_t{64} * 1024;

// Size from which a buffer is extended to the length of its frame at once, and released after the frame. Doubling a large buffer would hold its bytes twice
// while they are copied, and smaller buffers would be extended for bytes that may never arrive.
constexpr std::size_t largeBufferBytes = std::size_t{1024} * 1024;

// Frames that are decoded from a connection before the next step handles them. An event takes a hundred times as much memory as the smallest frame, so events
// of all frames that a connection holds could exhaust the memory.
constexpr int framesPerTurn = 64;

void reserveFrame(std::string &input)
{
    const auto frameBytes = announcedPeerFrameBytes(input);
    if (input.size() >= largeBufferBytes && frameBytes) {
        input.reserve(*frameBytes + readBytesPerTurn);
    }
}

}

struct PeerListener::IncomingConnection
{
    IncomingConnection(EventLoop &loop, SocketWatch::Callback onReady, Timer::Callback onTurn, Timer::Callback onIdle)
        : watch(loop, std::move(onReady))
        , turnTimer(loop, std::move(onTurn))
        , idleTimer(loop, std::move(onIdle))
    {
    }

    std::string peerName() const
    {
        return sender.value.empty() ? address : absl::StrCat(sender.value, " (", address, ")");
    }

    int descriptor = -1;
    std::string address;
    HostId sender;
    std::string input;
    std::string output;
    long long receivedFrames = 0;
    TimePoint progressAt = EventLoop::now(); ///< When the latest frame was complete, or the connection was accepted.
    ReadResult end = ReadResult::WouldBlock; ///< How the last read ended.
    SocketWatch watch;
    Timer turnTimer; ///< Active while complete frames wait to be decoded; no more bytes are read meanwhile.
    Timer idleTimer;
};

PeerListener::PeerListener(EventLoop &loop, HostId self, PeerListenerLimits limits, EventSink post, ErrorSink reportError)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_post(std::move(post))
    , m_reportError(std::move(reportError))
    , m_listenerWatch(loop, [this](int) { onAccept(); })
{
}

PeerListener::~PeerListener()
{
    for (const auto &[descriptor, link] : m_incoming) {
        link->watch.stop();
        ::close(descriptor);
    }
    m_listenerWatch.stop();
    if (m_listener >= 0) {
        ::close(m_listener);
    }
}

absl::Status PeerListener::listen(const std::string &address)
{
    const auto socketAddress = socketAddressFromText(address);
    if (!socketAddress.ok()) {
        return socketAddress.status();
    }
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&*socketAddress), sizeof(sockaddr_in)) != 0 || ::listen(m_listener, SOMAXCONN) != 0) {
        return errorAt(absl::StatusCode::kUnavailable, "listenPeers", address, std::strerror(errno));
    }
    m_listenerWatch.watch(m_listener, EV_READ);
    return absl::OkStatus();
}

int PeerListener::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

void PeerListener::onAccept()
{
    while (true) {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        const int descriptor = ::accept4(m_listener, reinterpret_cast<sockaddr *>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        if (m_incoming.size() >= m_limits.maxConnections && !makeRoom()) {
            ++m_ends.refused;
            m_reportError("acceptPeer", toString(address), absl::StrCat("refused: ", m_incoming.size(), " connections are open"));
            ::close(descriptor);
            continue;
        }
        setNoDelay(descriptor);
        auto link = std::make_unique<IncomingConnection>(
            m_loop,
            [this, descriptor](int events) { onIncomingReady(descriptor, events); },
            [this, descriptor] { handleInput(*m_incoming.at(descriptor)); },
            [this, descriptor] { closeIncoming(descriptor, "idle"); });
        link->descriptor = descriptor;
        link->address = toString(address);
        link->watch.watch(descriptor, EV_READ);
        link->idleTimer.startIn(m_limits.idle);
        m_incoming.emplace(descriptor, std::move(link));
    }
}

std::vector<PeerIntake> PeerListener::intakes() const
{
    std::vector<PeerIntake> connections;
    std::ranges::transform(m_incoming, std::back_inserter(connections), [](const auto &row) {
        const auto &link = *row.second;
        return PeerIntake{link.descriptor, link.input.size(), link.receivedFrames > 0, link.progressAt};
    });
    return connections;
}

bool PeerListener::makeRoom()
{
    const auto descriptor = connectionToReplace(intakes(), EventLoop::now());
    if (!descriptor) {
        return false;
    }
    ++m_ends.replaced;
    closeIncoming(*descriptor, absl::StrCat("closed for a new connection: ", m_incoming.size(), " connections are open"));
    return true;
}

std::size_t PeerListener::heldBytes() const
{
    return std::accumulate(
        m_incoming.begin(), m_incoming.end(), std::size_t{0}, [](std::size_t sum, const auto &row) { return sum + row.second->input.size(); });
}

void PeerListener::keepWithinBudget()
{
    while (const auto closed = connectionOverBudget(intakes(), m_limits.receiveBudgetBytes, EventLoop::now())) {
        ++m_ends.overBudget;
        closeIncoming(*closed, absl::StrCat("closed within a frame: all connections together hold more than ", m_limits.receiveBudgetBytes, " bytes"));
    }
}

void PeerListener::onIncomingReady(int descriptor, int events)
{
    auto &link = *m_incoming.at(descriptor);
    if ((events & EV_READ) != 0) {
        link.idleTimer.startIn(m_limits.idle);
        reserveFrame(link.input);
        link.end = readAvailable(link.input, descriptor, link.input.size() + readBytesPerTurn);
        handleInput(link);
        keepWithinBudget();
        return;
    }
    acknowledge(link);
}

void PeerListener::handleInput(IncomingConnection &link)
{
    const auto handled = handleFrames(link);
    if (!handled) {
        return;
    }
    if (*handled == framesPerTurn) {
        link.turnTimer.startIn(Duration{0});
    } else if (link.end != ReadResult::WouldBlock) {
        closeIncoming(link.descriptor, link.end == ReadResult::Closed && link.input.empty() ? std::string{} : "connection closed within a frame");
        return;
    }
    acknowledge(link);
}

std::optional<int> PeerListener::handleFrames(IncomingConnection &link)
{
    std::size_t begin = 0;
    int handled = 0;
    for (; handled < framesPerTurn; ++handled) {
        auto read = decodePeerFrame(std::string_view(link.input).substr(begin), link.peerName());
        if (!read.ok()) {
            closeIncoming(link.descriptor, std::string(read.status().message()));
            return std::nullopt;
        }
        if (!*read) {
            break;
        }
        auto &frame = (*read)->frame;
        if (frame.sender.value.empty() || frame.sender == m_self || (!link.sender.value.empty() && frame.sender != link.sender)) {
            closeIncoming(link.descriptor, absl::StrCat("unexpected sender \"", frame.sender.value, "\""));
            return std::nullopt;
        }
        link.sender = frame.sender;
        begin += (*read)->byteCount;
        ++link.receivedFrames;
        link.progressAt = EventLoop::now();
        if (frame.message) {
            m_post(PeerMessageReceived{frame.sender, *std::move(frame.message)});
        }
    }
    link.input.erase(0, begin);
    if (begin > 0 && link.input.capacity() > largeBufferBytes) {
        link.input.shrink_to_fit();
    }
    if (begin > 0 && link.output.size() < maxQueuedAcknowledgementBytes) {
        link.output += encodePeerFrame({m_self, std::nullopt, link.receivedFrames});
    }
    return handled;
}

void PeerListener::acknowledge(IncomingConnection &link)
{
    if (!link.output.empty()) {
        const auto count = ::send(link.descriptor, link.output.data(), link.output.size(), MSG_NOSIGNAL);
        if (count < 0 && !wouldBlock(errno)) {
            closeIncoming(link.descriptor, std::strerror(errno));
            return;
        }
        link.output.erase(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    link.watch.watch(link.descriptor, (link.turnTimer.isActive() ? 0 : EV_READ) | (link.output.empty() ? 0 : EV_WRITE));
}

void PeerListener::closeIncoming(int descriptor, const std::string &reason)
{
    const auto found = m_incoming.find(descriptor);
    if (!reason.empty()) {
        m_reportError("readPeer", found->second->peerName(), reason);
    }
    found->second->watch.stop();
    ::close(descriptor);
    m_incoming.erase(found);
}

}
