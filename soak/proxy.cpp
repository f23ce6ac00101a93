#include "proxy.h"

#include "net/socketaddress.h"

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::size_t readBytes = 16'384;
constexpr int backlog = 128;

// Longest time until the proxy checks again whether bytes that it holds back can be forwarded.
constexpr Duration pumpPeriod{5};

// Number of chunks waiting for one end of a link at which the proxy stops reading from the other end, as a full TCP window would make it stop.
constexpr std::size_t maxHeldChunks = 64;

// Time that the bytes waiting for a limited link take to pass at which the proxy stops reading more. Connections then share the link.
constexpr Duration maxLinkQueue{50};

absl::Status errorAt(const std::string &step)
{
    return absl::UnavailableError(absl::StrCat(step, ": ", std::strerror(errno)));
}

/// Closes the descriptor so that the peer receives a reset.
void reset(int &descriptor)
{
    if (descriptor >= 0) {
        const linger abort{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        close(std::exchange(descriptor, -1));
    }
}

void closeDescriptor(int &descriptor)
{
    if (descriptor >= 0) {
        close(std::exchange(descriptor, -1));
    }
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}

Proxy::Proxy(EventLoop &loop, std::string serverAddress)
    : m_loop(loop)
    , m_serverAddress(std::move(serverAddress))
    , m_watch(loop, [this](int) { accept(); })
    , m_timer(loop, [this] { pump(); })
{
}

Proxy::~Proxy()
{
    resetConnections();
    m_watch.stop();
    closeDescriptor(m_listener);
}

absl::Status Proxy::listen()
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (m_listener < 0 || bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(m_listener, backlog) != 0) {
        return errorAt("listen");
    }
    socklen_t size = sizeof address;
    if (getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        return errorAt("getsockname");
    }
    m_port = ntohs(address.sin_port);
    m_watch.watch(m_listener, EV_READ);
    m_timer.startIn(pumpPeriod);
    return absl::OkStatus();
}

std::string Proxy::address() const
{
    return absl::StrCat("127.0.0.1:", m_port);
}

void Proxy::setFaults(const ProxyFaults &faults)
{
    m_faults = faults;
}

void Proxy::setRate(int bytesPerSecond)
{
    m_bytesPerSecond = bytesPerSecond;
}

std::vector<CutConnection> Proxy::takeCuts()
{
    return std::exchange(m_cuts, {});
}

void Proxy::resetConnections()
{
    for (auto &link : m_links) {
        link.client.watch.reset();
        link.server.watch.reset();
        reset(link.client.descriptor);
        reset(link.server.descriptor);
    }
    m_links.clear();
}

void Proxy::silenceConnections(const std::function<bool()> &isHit)
{
    std::ranges::for_each(m_links, [&](Link &link) { link.isSilent = link.isSilent || isHit(); });
}

void Proxy::accept()
{
    const int client = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    int server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = socketAddressFromText(m_serverAddress);
    const int noDelay = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
    const bool isUnderWay = address.ok() && (connect(server, reinterpret_cast<const sockaddr *>(&*address), sizeof *address) == 0 || errno == EINPROGRESS);
    if (!isUnderWay) {
        int refused = client;
        reset(refused);
        closeDescriptor(server);
        return;
    }
    auto &link = m_links.emplace_back();
    link.client.descriptor = client;
    link.server.descriptor = server;
    link.server.isConnecting = true;
    link.client.watch = std::make_unique<SocketWatch>(m_loop, [this, &link](int events) { onReady(link, link.client, link.server, events); });
    link.server.watch = std::make_unique<SocketWatch>(m_loop, [this, &link](int events) { onReady(link, link.server, link.client, events); });
    watchEnds(link);
}

bool Proxy::isHeld(const Link &link, const End &end) const
{
    const bool isServer = &end == &link.server;
    return link.isSilent || (isServer ? m_faults.cutsToServer : m_faults.cutsToClient);
}

void Proxy::onReady(Link &link, End &from, End &to, int events)
{
    if (from.isConnecting && (events & EV_WRITE) != 0) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(from.descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        from.isConnecting = false;
        link.isBroken = link.isBroken || error != 0;
    }
    if (!link.isBroken && (events & EV_READ) != 0) {
        receive(link, from, to);
    }
    if (!link.isBroken) {
        link.isBroken = !flush(link, from) || !flush(link, to);
    }
    // The timer removes the link, because a watch must not be destroyed in its own callback.
    if (link.isBroken) {
        link.client.watch->stop();
        link.server.watch->stop();
    } else {
        watchEnds(link);
    }
}

void Proxy::receive(Link &link, End &from, End &to)
{
    std::array<char, readBytes> buffer{};
    const auto count = recv(from.descriptor, buffer.data(), buffer.size(), 0);
    if (count < 0 && wouldBlock()) {
        return;
    }
    if (count > 0 && &from == &link.server) {
        link.request.reset();
    } else if (&from == &link.server) {
        noteCut(link, count == 0);
    }
    if (count < 0) {
        // A reset by the sender discards bytes that a cut holds back.
        link.isBroken = true;
        return;
    }
    from.hasEnded = count == 0;
    if (link.isSilent) {
        return;
    }
    to.toSend.push_back({passTime(laneTo(link, to), static_cast<std::size_t>(count)), std::string{buffer.data(), static_cast<std::size_t>(count)}});
    if (m_faults.halfCloses && &from == &link.client && count > 0) {
        closeAfterRequest(link);
    }
}

Proxy::Lane &Proxy::laneTo(const Link &link, const End &to)
{
    return &to == &link.server ? m_toServer : m_toClient;
}

TimePoint Proxy::passTime(Lane &lane, std::size_t bytes) const
{
    const auto now = EventLoop::now();
    if (m_bytesPerSecond == 0) {
        return now + m_faults.delay;
    }
    constexpr double millisPerSecond = 1'000;
    const LinkTime::duration length{static_cast<double>(bytes) * millisPerSecond / m_bytesPerSecond};
    lane.busyUntil = std::max(lane.busyUntil, LinkTime{now}) + length;
    return std::chrono::ceil<Duration>(lane.busyUntil) + m_faults.delay;
}

bool Proxy::isFull(const Lane &lane) const
{
    return m_bytesPerSecond > 0 && lane.busyUntil > LinkTime{EventLoop::now() + maxLinkQueue};
}

void Proxy::closeAfterRequest(Link &link)
{
    // A request that arrives in several parts follows within this time.
    constexpr Duration requestTime{5};
    const auto isEnd = [](const Chunk &chunk) { return chunk.bytes.empty(); };
    std::erase_if(link.server.toSend, isEnd);
    link.server.toSend.push_back({passTime(m_toServer, 0) + requestTime, std::string{}});
}

void Proxy::noteRequest(Link &link, const std::string &bytes)
{
    const bool isRequest = std::ranges::any_of(std::array{"POST /", "GET /", "DELETE /"}, [&](const char *start) { return bytes.starts_with(start); });
    if (isRequest) {
        char byte = 0;
        const bool isLate = recv(link.server.descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
        link.request = PendingRequest{bytes.substr(0, bytes.find(" HTTP/")), EventLoop::now(), isLate};
    }
}

void Proxy::noteCut(Link &link, bool wasRead)
{
    if (link.request && !link.request->isLate && !link.client.hasEnded && !link.isSilent) {
        m_cuts.push_back({link.request->line, link.request->deliveredAt, EventLoop::now(), wasRead});
    }
    link.request.reset();
}

bool Proxy::flush(Link &link, End &end)
{
    while (!end.isConnecting && !isHeld(link, end) && !end.toSend.empty() && end.toSend.front().due <= EventLoop::now()) {
        auto &bytes = end.toSend.front().bytes;
        if (bytes.empty()) {
            shutdown(end.descriptor, SHUT_WR);
            end.isClosedForSending = true;
            end.toSend.pop_front();
            continue;
        }
        if (&end == &link.server) {
            noteRequest(link, bytes);
        }
        const auto count = send(end.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return wouldBlock();
        }
        bytes.erase(0, static_cast<std::size_t>(count));
        if (bytes.empty()) {
            end.toSend.pop_front();
        }
    }
    return true;
}

void Proxy::watchEnds(Link &link)
{
    const auto eventsOf = [&](const End &end, const End &other) {
        const bool reads = !end.isConnecting && !end.hasEnded && other.toSend.size() < maxHeldChunks && !isFull(laneTo(link, other));
        return (reads ? EV_READ : 0) | (end.isConnecting ? EV_WRITE : 0);
    };
    link.client.watch->watch(link.client.descriptor, eventsOf(link.client, link.server));
    link.server.watch->watch(link.server.descriptor, eventsOf(link.server, link.client));
}

void Proxy::pump()
{
    for (auto &link : m_links) {
        if (!link.isBroken) {
            link.isBroken = !flush(link, link.client) || !flush(link, link.server);
        }
        if (!link.isBroken) {
            watchEnds(link);
        }
    }
    removeEnded();
    m_timer.startIn(pumpPeriod);
}

void Proxy::removeEnded()
{
    std::erase_if(m_links, [](Link &link) {
        const bool hasEnded = link.client.isClosedForSending && link.server.isClosedForSending;
        const bool isSilentAndClosed = link.isSilent && (link.client.hasEnded || link.server.hasEnded);
        if (!hasEnded && !link.isBroken && !isSilentAndClosed) {
            return false;
        }
        link.client.watch.reset();
        link.server.watch.reset();
        if (link.isBroken || isSilentAndClosed) {
            reset(link.client.descriptor);
            reset(link.server.descriptor);
        } else {
            closeDescriptor(link.client.descriptor);
            closeDescriptor(link.server.descriptor);
        }
        return true;
    });
}

}
