#pragma once

#include "eventloop.h"

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

struct HttpCall
{
    std::string method = "POST";
    std::string address; ///< IP number and port.
    std::string path;
    std::string body;
    std::string bearerToken;
    Duration timeout{0};              ///< Zero: no limit; for streams.
    std::vector<std::string> headers; ///< Further ones, as "Name: value".
    bool closesConnection = false;    ///< The connection is closed afterwards, since the next call to the address is far off.
    bool isRetryable = false;         ///< May be sent again on a new connection when a reused one turns out to be closed.

    friend bool operator==(const HttpCall &, const HttpCall &) = default;
};

enum class HttpOutcome
{
    Answered,
    NotSent, ///< Not one byte of the request was sent.
    Unknown, ///< Bytes were sent and no whole answer came.
};

struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::Unknown;
    int status = 0;
    std::string body;
    std::string error;

    friend bool operator==(const HttpAnswer &, const HttpAnswer &) = default;
};

/// HTTP calls by libcurl's multi interface on the loop. A call ends at its timeout by this client's own timer: libcurl drops a transfer's timeout when another of
/// its timers fires less than a millisecond earlier, and the transfer then stays open for good. Connections are reused; after a call to an address failed, the next call to it opens a new connection,
/// because a connection that has become silent stays silent.
class HttpClient
{
public:
    using AnswerCallback = std::function<void(const HttpAnswer &)>;
    using DataCallback = std::function<void(const std::string &)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends the call; the callback runs once, from the loop.
    void send(const HttpCall &call, AnswerCallback callback);

    /// Opens a stream: `onData` gets the body as it arrives, `onEnd` runs once unless the stream is closed before.
    unsigned long long open(const HttpCall &call, DataCallback onData, AnswerCallback onEnd);

    /// Drops the stream or call without an answer.
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

private:
    struct Transfer;

    unsigned long long start(const HttpCall &call, DataCallback onData, AnswerCallback onEnd);
    void onSocketReady(curl_socket_t descriptor, int events);
    void onTimer();
    void finishTransfers();
    void timeOutTransfers();
    void armDeadlines();
    void finish(Transfer &transfer, CURLcode code);
    static int onSocketChange(CURL *easy, curl_socket_t descriptor, int action, void *self, void *socket);
    static int onTimerChange(CURLM *multi, long delayMs, void *self);
    static std::size_t onReadBody(char *buffer, std::size_t size, std::size_t count, void *transfer);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *transfer);
    static int onTrace(CURL *easy, curl_infotype type, char *data, std::size_t size, void *transfer);

    EventLoop &m_loop;
    CURLM *m_multi;
    Timer m_timer;
    Timer m_deadlineTimer;
    std::multimap<TimePoint, unsigned long long> m_deadlines; ///< Of transfers that may have ended since.
    std::map<curl_socket_t, std::unique_ptr<SocketWatch>> m_watches;
    std::map<unsigned long long, std::unique_ptr<Transfer>> m_transfers;
    std::set<std::string> m_failedAddresses; ///< The next call there must open a new connection.
    unsigned long long m_nextId = 1;
};

}
