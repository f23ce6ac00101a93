#include "peerlink.h"

#include "socketaddress.h"
#include "socketio.h"
#include "wire/peerframe.h"

#include <absl/strings/str_cat.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <numeric>
#include <utility>

namespace sequoiastand
{

namespace
{

// Bytes of an incomplete frame that a peer may send on an outgoing connection. Only acknowledgements of about 20 bytes are expected there.
constexpr std::size_t maxAcknowledgementBytes = std::size_t{64} * 1024;

// Part of the allowed bytes that each connection may queue whatever the others hold.
constexpr std::size_t reservedQueueFraction = 1'024;

}

bool mayQueueFrame(std::size_t frameBytes, const PeerQueueBytes &queued, std::size_t maxQueuedBytes)
{
    return queued.onAllLinks + frameBytes <= maxQueuedBytes || queued.onLink + frameBytes <= maxQueuedBytes / reservedQueueFraction;
}

struct PeerLinks::OutgoingConnection
{
    OutgoingConnection(EventLoop &loop, SocketWatch::Callback onReady, Timer::Callback onRetry, Timer::Callback onTimeout)
        : watch(loop, std::move(onReady))
        , retryTimer(loop, std::move(onRetry))
        , responseTimer(loop, std::move(onTimeout))
    {
    }

    std::string peerName() const
    {
        return absl::StrCat(peer.value, " (", address, ")");
    }

    HostId peer;
    std::string address;
    int descriptor = -1;
    bool isConnecting = false;
    std::deque<std::string> queue; ///< Encoded frames; the first may be partly sent.
    std::size_t queuedBytes = 0;
    std::size_t sentBytesOfFirst = 0;
    long long sentFrames = 0;
    long long acknowledgedFrames = 0;
    std::string input;
    int consecutiveFailures = 0;
    SocketWatch watch;
    Timer retryTimer;
    Timer responseTimer; ///< Deadline of the connection attempt; once connected, the deadline of the next acknowledgement.
};

PeerLinks::PeerLinks(EventLoop &loop, HostId self, PeerLinkLimits limits, ErrorSink reportError)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_reportError(std::move(reportError))
    , m_random(std::random_device{}())
{
}

PeerLinks::~PeerLinks()
{
    for (const auto &[peer, link] : m_outgoing) {
        link->watch.stop();
        if (link->descriptor >= 0) {
            ::close(link->descriptor);
        }
    }
}

bool PeerLinks::hasQueuedFrames() const
{
    return std::ranges::any_of(m_outgoing, [](const auto &row) { return row.second->descriptor >= 0 && !row.second->queue.empty(); });
}

std::size_t PeerLinks::queuedBytes() const
{
    return std::accumulate(
        m_outgoing.begin(), m_outgoing.end(), std::size_t{0}, [](std::size_t sum, const auto &row) { return sum + row.second->queuedBytes; });
}

void PeerLinks::send(const PeerSend &message)
{
    auto &slot = m_outgoing[message.peer];
    if (!slot) {
        const auto peer = message.peer;
        slot = std::make_unique<OutgoingConnection>(
            m_loop,
            [this, peer](int events) { onOutgoingReady(*m_outgoing.at(peer), events); },
            [this, peer] {
                if (!m_outgoing.at(peer)->queue.empty()) {
                    connect(*m_outgoing.at(peer));
                }
            },
            [this, peer] {
                auto &link = *m_outgoing.at(peer);
                fail(link, link.isConnecting ? "connectPeer" : "sendPeer", link.isConnecting ? "connect timed out" : "no acknowledgement in time");
            });
        slot->peer = message.peer;
        slot->address = message.address;
    }
    auto &link = *slot;
    if (link.address != message.address) {
        // The peer has restarted at another address. The queued messages were meant for its previous incarnation, so they are dropped.
        if (link.descriptor >= 0) {
            fail(link, "sendPeer", absl::StrCat("address changed to ", message.address));
        }
        link.address = message.address;
    }
    auto frame = encodePeerFrame({m_self, message.message, std::nullopt});
    const PeerQueueBytes queued{link.queuedBytes, queuedBytes()};
    if (frame.size() > maxPeerFrameBytes || !mayQueueFrame(frame.size(), queued, m_limits.maxQueuedBytes)) {
        ++m_droppedMessages;
        m_reportError("sendPeer",
                      link.peerName(),
                      absl::StrCat("message of ", frame.size(), " bytes dropped: ", queued.onLink, " bytes are queued, ", queued.onAllLinks, " for all peers"));
        return;
    }
    link.queuedBytes += frame.size();
    link.queue.push_back(std::move(frame));
    if (link.descriptor < 0) {
        if (!link.retryTimer.isActive()) {
            connect(link);
        }
    } else if (!link.isConnecting) {
        flush(link);
    }
}

void PeerLinks::connect(OutgoingConnection &link)
{
    const auto address = socketAddressFromText(link.address);
    if (!address.ok()) {
        fail(link, "connectPeer", std::string(address.status().message()));
        return;
    }
    link.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (link.descriptor < 0) {
        fail(link, "connectPeer", std::strerror(errno));
        return;
    }
    setNoDelay(link.descriptor);
    link.isConnecting = true;
    if (::connect(link.descriptor, reinterpret_cast<const sockaddr *>(&*address), sizeof(sockaddr_in)) != 0 && errno != EINPROGRESS) {
        fail(link, "connectPeer", std::strerror(errno));
        return;
    }
    link.responseTimer.startIn(m_limits.connectTimeout);
    link.watch.watch(link.descriptor, EV_WRITE);
}

void PeerLinks::onOutgoingReady(OutgoingConnection &link, int events)
{
    if (link.isConnecting && !finishConnect(link)) {
        return;
    }
    if ((events & EV_READ) != 0 && !readAcknowledgements(link)) {
        return;
    }
    flush(link);
}

bool PeerLinks::finishConnect(OutgoingConnection &link)
{
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(link.descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        fail(link, "connectPeer", std::strerror(error));
        return false;
    }
    link.isConnecting = false;
    link.responseTimer.stop();
    return true;
}

bool PeerLinks::readAcknowledgements(OutgoingConnection &link)
{
    const auto end = readAvailable(link.input, link.descriptor, link.input.size() + maxAcknowledgementBytes);
    while (true) {
        const auto read = decodePeerFrame(link.input, link.peerName());
        if (!read.ok()) {
            fail(link, "sendPeer", std::string(read.status().message()));
            return false;
        }
        if (!*read) {
            break;
        }
        const auto &frame = (*read)->frame;
        if (frame.acknowledgedFrames) {
            link.acknowledgedFrames = std::clamp(*frame.acknowledgedFrames, link.acknowledgedFrames, link.sentFrames);
            link.consecutiveFailures = 0;
            link.responseTimer.stop();
        }
        link.input.erase(0, (*read)->byteCount);
    }
    if (link.input.size() > maxAcknowledgementBytes) {
        fail(link, "sendPeer", absl::StrCat("more than ", maxAcknowledgementBytes, " bytes without an acknowledgement"));
        return false;
    }
    if (end != ReadResult::WouldBlock) {
        fail(link, "sendPeer", end == ReadResult::Closed ? "closed by the peer" : std::strerror(errno));
        return false;
    }
    return true;
}

void PeerLinks::flush(OutgoingConnection &link)
{
    bool hasSentBytes = false;
    while (!link.queue.empty()) {
        const auto &frame = link.queue.front();
        const auto count = ::send(link.descriptor, frame.data() + link.sentBytesOfFirst, frame.size() - link.sentBytesOfFirst, MSG_NOSIGNAL);
        if (count < 0) {
            if (!wouldBlock(errno)) {
                fail(link, "sendPeer", std::strerror(errno));
                return;
            }
            break;
        }
        hasSentBytes = true;
        link.sentBytesOfFirst += static_cast<std::size_t>(count);
        if (link.sentBytesOfFirst == frame.size()) {
            link.queuedBytes -= frame.size();
            link.sentBytesOfFirst = 0;
            link.queue.pop_front();
            ++link.sentFrames;
        }
    }
    const bool awaitsAcknowledgement = !link.queue.empty() || link.acknowledgedFrames < link.sentFrames;
    // Sending a large message may take longer than the timeout, so the timer is restarted as long as the connection accepts the message's bytes.
    const bool isSendingLargeMessage = hasSentBytes && !link.queue.empty();
    if (awaitsAcknowledgement && (isSendingLargeMessage || !link.responseTimer.isActive())) {
        link.responseTimer.startIn(m_limits.acknowledgeTimeout);
    }
    link.watch.watch(link.descriptor, EV_READ | (link.queue.empty() ? 0 : EV_WRITE));
}

void PeerLinks::fail(OutgoingConnection &link, const std::string &step, const std::string &reason)
{
    m_reportError(step, link.peerName(), link.queue.empty() ? reason : absl::StrCat(reason, "; ", link.queue.size(), " queued messages dropped"));
    link.watch.stop();
    link.responseTimer.stop();
    if (link.descriptor >= 0) {
        ::close(link.descriptor);
        link.descriptor = -1;
    }
    link.isConnecting = false;
    link.queue.clear();
    link.queuedBytes = 0;
    link.sentBytesOfFirst = 0;
    link.sentFrames = 0;
    link.acknowledgedFrames = 0;
    link.input.clear();
    const auto bound = std::min(m_limits.maxReconnectDelay, m_limits.reconnectDelay * (1L << std::min(link.consecutiveFailures, 10)));
    ++link.consecutiveFailures;
    link.retryTimer.startIn(Duration{static_cast<Duration::rep>(m_random() % static_cast<unsigned long>(bound.count() + 1))});
}

}
