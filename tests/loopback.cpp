#include "loopback.h"

#include "net/socketio.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>
#include <utility>

namespace sequoiastand
{

namespace
{

int boundSocket(int type, int &port)
{
    const int descriptor = ::socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(0, ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

}

std::string loopbackAddress(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

int closedPort()
{
    // HttpServer shares ports, so two listeners of a test on the same port would take each other's connections.
    static std::set<int> taken;
    int port = 0;
    do {
        ::close(boundSocket(SOCK_STREAM, port));
    } while (!taken.insert(port).second);
    return port;
}

LoopbackServer::LoopbackServer(EventLoop &loop, Answer answer)
    : m_server(loop, {})
    , m_answer(std::move(answer))
{
    m_server.setHandler([this](HttpRequestId id, const HttpRequest &request) {
        m_requests.push_back(request);
        m_server.respond(id, m_answer(request));
    });
    EXPECT_TRUE(m_server.listen("127.0.0.1", 0).ok());
}

std::string LoopbackServer::address() const
{
    return loopbackAddress(m_server.port());
}

ScriptedListener::ScriptedListener(EventLoop &loop, std::vector<Script> scripts)
    : m_loop(loop)
    , m_scripts(scripts.begin(), scripts.end())
    , m_watch(loop, [this](int) { onAccept(); })
{
    int port = 0;
    m_listener = boundSocket(SOCK_STREAM | SOCK_NONBLOCK, port);
    EXPECT_EQ(0, ::listen(m_listener, 8));
    m_watch.watch(m_listener, EV_READ);
}

ScriptedListener::~ScriptedListener()
{
    m_watch.stop();
    if (m_listener >= 0) {
        ::close(m_listener);
    }
    for (auto &connection : m_connections) {
        connection.watch.reset();
        ::close(connection.descriptor);
    }
}

std::string ScriptedListener::address() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    return loopbackAddress(ntohs(address.sin_port));
}

void ScriptedListener::sendOnLastConnection(const std::string &bytes)
{
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(m_connections.back().descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

void ScriptedListener::onAccept()
{
    const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (descriptor < 0) {
        return;
    }
    ++m_accepted;
    auto &connection = m_connections.emplace_back();
    connection.descriptor = descriptor;
    if (!m_scripts.empty()) {
        connection.script = m_scripts.front();
        m_scripts.pop_front();
    }
    connection.watch = std::make_unique<SocketWatch>(m_loop, [this, &connection](int) { onReady(connection); });
    connection.watch->watch(descriptor, EV_READ);
}

void ScriptedListener::onReady(Connection &connection)
{
    const auto end = readAvailable(m_received, connection.descriptor, std::size_t{64} * 1024 * 1024);
    const bool wasAnswered = connection.isAnswered;
    if (!connection.isAnswered && !connection.script.answer.empty()) {
        connection.isAnswered = true;
        ::send(connection.descriptor, connection.script.answer.data(), connection.script.answer.size(), MSG_NOSIGNAL);
    }
    if (wasAnswered && connection.script.stopsOnNextBytes) {
        m_watch.stop();
        ::close(std::exchange(m_listener, -1));
    }
    const bool mustClose = wasAnswered && (connection.script.closesOnNextBytes || connection.script.stopsOnNextBytes);
    if (connection.script.closesAfterAnswer || mustClose) {
        ::shutdown(connection.descriptor, SHUT_RDWR);
    }
    if (end != ReadResult::WouldBlock || connection.script.closesAfterAnswer) {
        connection.watch->stop();
    }
}

RawClient::RawClient(EventLoop &loop, int port)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    , m_watch(loop, [this](int) {
        if (readAvailable(m_received, m_descriptor, std::size_t{16} * 1024 * 1024) != ReadResult::WouldBlock) {
            m_isClosedByPeer = true;
            m_watch.stop();
        }
    })
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    EXPECT_EQ(0, ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    timeval wait{0, 1};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    m_watch.watch(m_descriptor, EV_READ);
}

RawClient::~RawClient()
{
    close();
}

void RawClient::send(const std::string &bytes)
{
    EXPECT_EQ(static_cast<ssize_t>(bytes.size()), ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

void RawClient::endSending()
{
    EXPECT_EQ(0, ::shutdown(m_descriptor, SHUT_WR));
}

void RawClient::reset()
{
    const linger noLinger{1, 0};
    EXPECT_EQ(0, ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger));
    close();
}

void RawClient::close()
{
    m_watch.stop();
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

}
