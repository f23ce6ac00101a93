#pragma once

#include "net/httpclient.h"
#include "net/httpserver.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Time limit for events that a network test expects without delay. Only a failing test waits for so long.
constexpr Duration testTimeout{10'000};

/// HTTP server on a free loopback port. It answers requests with a function and records them.
class LoopbackServer
{
public:
    using Answer = std::function<HttpResponse(const HttpRequest &)>;

    LoopbackServer(EventLoop &loop, Answer answer);

    std::string address() const;

    const std::vector<HttpRequest> &requests() const
    {
        return m_requests;
    }

    std::size_t openConnections() const
    {
        return m_server.openConnections();
    }

private:
    HttpServer m_server;
    Answer m_answer;
    std::vector<HttpRequest> m_requests;
};

/// TCP listener with scripted connections. Each accepted connection uses the next script; connections after the last script receive no answer.
class ScriptedListener
{
public:
    struct Script
    {
        std::string answer;             ///< Bytes that are sent when the first bytes are received.
        bool closesAfterAnswer = false; ///< Closes the connection after the answer.
        bool closesOnNextBytes = false; ///< On the next bytes after the answer, closes the connection and keeps listening.
        bool stopsOnNextBytes = false;  ///< On the next bytes after the answer, closes the connection and stops listening.
    };

    ScriptedListener(EventLoop &loop, std::vector<Script> scripts);
    ~ScriptedListener();
    ScriptedListener(const ScriptedListener &) = delete;
    ScriptedListener &operator=(const ScriptedListener &) = delete;

    std::string address() const;

    /// Sends bytes on the connection that was accepted last.
    void sendOnLastConnection(const std::string &bytes);

    std::size_t acceptedCount() const
    {
        return m_accepted;
    }

    const std::string &received() const
    {
        return m_received;
    }

private:
    struct Connection
    {
        int descriptor = -1;
        std::unique_ptr<SocketWatch> watch;
        Script script;
        bool isAnswered = false;
    };

    void onAccept();
    void onReady(Connection &connection);

    EventLoop &m_loop;
    std::deque<Script> m_scripts;
    int m_listener = -1;
    SocketWatch m_watch;
    std::deque<Connection> m_connections;
    std::size_t m_accepted = 0;
    std::string m_received;
};

/// TCP client that sends raw bytes and records what it receives.
class RawClient
{
public:
    RawClient(EventLoop &loop, int port);
    ~RawClient();
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &bytes);
    void close();

    /// Ends the sending side; the client goes on reading.
    void endSending();

    /// Closes the connection with a reset.
    void reset();

    const std::string &received() const
    {
        return m_received;
    }

    bool isClosedByPeer() const
    {
        return m_isClosedByPeer;
    }

private:
    int m_descriptor = -1;
    SocketWatch m_watch;
    std::string m_received;
    bool m_isClosedByPeer = false;
};

/// Returns a loopback port without a listener.
int closedPort();

std::string loopbackAddress(int port);

}
