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

/// Longest wait of a network test for an event that should come at once; only a failing test waits so long.
constexpr Duration testTimeout{10'000};

/// HTTP server on a free loopback port that answers with a function and keeps what it was asked.
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

private:
    HttpServer m_server;
    Answer m_answer;
    std::vector<HttpRequest> m_requests;
};

/// Listener that does with each connection what the test says: each connection takes the next script; after the last one, connections stay silent.
class ScriptedListener
{
public:
    struct Script
    {
        std::string answer;             ///< Sent once the first bytes have been received.
        bool closesAfterAnswer = false; ///< Closes the connection after the answer.
        bool closesOnNextBytes = false; ///< At the next bytes after the answer, closes the connection and goes on listening.
        bool stopsOnNextBytes = false;  ///< At the next bytes after the answer, closes the connection and stops listening.
    };

    ScriptedListener(EventLoop &loop, std::vector<Script> scripts);
    ~ScriptedListener();
    ScriptedListener(const ScriptedListener &) = delete;
    ScriptedListener &operator=(const ScriptedListener &) = delete;

    std::string address() const;

    /// Sends more on the connection that was accepted last.
    void sendOnLast(const std::string &bytes);

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

/// Plain TCP client that writes given bytes and collects what comes back.
class RawClient
{
public:
    RawClient(EventLoop &loop, int port);
    ~RawClient();
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &bytes);
    void close();

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

/// A port of the loopback address on which nobody listens.
int closedPort();

std::string loopbackAddress(int port);

}
