#pragma once

#include "eventloop.h"

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

struct HttpCall
{
    std::string method = "POST";
    std::string address; ///< IP address and port.
    std::string path;
    std::string body;
    std::string bearerToken;
    Duration timeout{0};                   ///< Time limit for the whole call; zero means none, for streams.
    Duration stallTimeout{0};              ///< If positive, the limit is extended while the body arrives, up to this time after its latest bytes.
    std::vector<std::string> headers;      ///< Additional headers, as "Name: value".
    bool opensConnection = false;          ///< Opens a new connection for the call.
    bool closesConnection = false;         ///< Closes the connection after the call, for addresses that are called rarely.
    bool isRetryable = false;              ///< If a reused connection turns out to be closed, the call may be sent a second time on a new connection.
    std::optional<TimePoint> sendBefore;   ///< From this time on the request is not sent any more, for instance because the sender's permission has ended.
    long bufferBytes = defaultBufferBytes; ///< Size of the receive buffer, which each call under way keeps. Larger responses are read in several parts.

    static constexpr long defaultBufferBytes = 16'384;

    friend bool operator==(const HttpCall &, const HttpCall &) = default;
};

enum class HttpOutcome
{
    Answered,
    NotSent, ///< No byte of the request was sent.
    Unknown, ///< Bytes were sent, but no complete response was received.
};

struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::Unknown;
    int status = 0;
    std::string body;
    std::string error;

    friend bool operator==(const HttpAnswer &, const HttpAnswer &) = default;
};

/// HTTP client on libcurl's multi interface and the event loop. Call timeouts use a timer of this client: libcurl drops a transfer's timeout when another of
/// its timers fires less than a millisecond earlier, and the transfer then stays open forever. Connections are reused. After a failed call the next call to
/// the same address opens a new connection, because a connection that no longer responds does not recover. Many connections may stop responding at the same
/// moment, so a call without an answer also ends the idle connections to its address that have not answered since it was sent. libcurl's handles are kept and
/// used again, because creating one for each call costs as much as the rest of the call.
class HttpClient
{
public:
    using AnswerCallback = std::function<void(const HttpAnswer &)>;
    using DataCallback = std::function<void(const std::string &)>;
    using LargeAnswerCallback = std::function<void()>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends the call. The event loop runs the callback exactly once, after send() has returned. Before that, it runs `onLargeAnswer` once if more than 32 KiB of
    /// the answer have arrived.
    void send(const HttpCall &call, AnswerCallback callback, LargeAnswerCallback onLargeAnswer = {});

    /// Opens a stream and returns its id. `onData` receives the body as it arrives; `onEnd` runs once, unless the stream is closed first.
    unsigned long long open(const HttpCall &call, DataCallback onData, AnswerCallback onEnd);

    /// Cancels a stream or call; its callbacks are not run.
    void close(unsigned long long id);

    /// Makes the next call to the address open a new connection.
    void requireNewConnection(const std::string &address)
    {
        m_failedAddresses.insert(address);
    }

    std::size_t openCalls() const
    {
        return m_transfers.size();
    }

    /// Number of idle connections that were ended because a call to their address had no answer.
    std::size_t endedConnections() const
    {
        return m_endedConnections;
    }

private:
    struct Transfer;

    /// An established connection that libcurl keeps, in use or idle. libcurl closes the descriptors of connections that were never established without a call
    /// of onCloseSocket(), and the descriptor may belong to another part of the process afterwards.
    struct Connection
    {
        std::string address;
        TimePoint answeredAt; ///< When it answered a call last.
    };

    unsigned long long start(const HttpCall &call, DataCallback onData, LargeAnswerCallback onLargeAnswer, AnswerCallback onEnd);
    std::unique_ptr<Transfer> takeTransfer(long bufferBytes);
    void keepTransfer(std::unique_ptr<Transfer> transfer);
    void onSocketReady(curl_socket_t descriptor, int events);
    void onTimer();
    void finishTransfers();
    void timeOutTransfers();
    void armDeadlines();
    void finish(Transfer &transfer, CURLcode code);
    void noteAnswered(const Transfer &transfer);
    void endSilentConnections(const std::string &address, TimePoint since);
    static int onCloseSocket(void *self, curl_socket_t descriptor);
    static int onSocketChange(CURL *easy, curl_socket_t descriptor, int action, void *self, void *socket);
    static int onTimerChange(CURLM *multi, long delayMs, void *self);
    static std::size_t onReadBody(char *buffer, std::size_t size, std::size_t count, void *transfer);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *transfer);
    static int onBeforeRequest(void *transfer, char *remoteIp, char *localIp, int remotePort, int localPort);

    EventLoop &m_loop;
    CURLM *m_multi;
    Timer m_timer;
    Timer m_deadlineTimer;
    std::multimap<TimePoint, unsigned long long> m_deadlines;        ///< Deadlines by time; may include transfers that have already ended.
    std::map<curl_socket_t, std::unique_ptr<SocketWatch>> m_watches; ///< Connections in use.
    std::map<curl_socket_t, Connection> m_connections;
    std::map<unsigned long long, std::unique_ptr<Transfer>> m_transfers;
    std::map<long, std::vector<std::unique_ptr<Transfer>>> m_idleTransfers; ///< Ended transfers whose handles are used again, by size of their buffers.
    std::set<std::string> m_failedAddresses;                                ///< Addresses to which the next call must open a new connection.
    unsigned long long m_nextId = 1;
    std::size_t m_endedConnections = 0;
};

}
