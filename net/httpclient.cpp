#include "httpclient.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// The largest response is a full read of the store, which is below 20 MB at the intended system size.
constexpr std::size_t maxAnswerBytes = std::size_t{64} * 1024 * 1024;

// An answer that is larger may take long to arrive.
constexpr std::size_t largeAnswerBytes = std::size_t{32} * 1024;

// Idle time after which a connection is no longer reused. It is well below a minute, after which load balancers and agents close idle connections.
constexpr long maxIdleSeconds = 20;

// Limit on open connections of one client. By default, libcurl closes the oldest idle connection whenever there are more than four times as many connections as
// calls under way, and the next call to that peer has to open a new one.
constexpr long maxConnections = 100;

// Limit on a call whose timeout is extended while its answer arrives. The largest answers take some seconds on the narrowest links.
constexpr Duration maxExtendedTime{30'000};

// Ended transfers that are kept for later calls.
constexpr std::size_t maxIdleTransfers = 32;

}

struct HttpClient::Transfer
{
    HttpClient *client = nullptr;
    unsigned long long id = 0;
    TimePoint startedAt;
    Duration stallTimeout{0};
    std::optional<TimePoint> extendedTo; ///< Deadline that the received bytes have set.
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    long bufferBytes = 0;
    std::string address;
    std::string requestBody;
    std::size_t sentBodyBytes = 0;
    std::string body;
    std::optional<TimePoint> sendBefore;
    DataCallback onData;
    LargeAnswerCallback onLargeAnswer;
    AnswerCallback onEnd;

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    ~Transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }
};

HttpClient::HttpClient(EventLoop &loop)
    : m_loop(loop)
    , m_multi(nullptr)
    , m_timer(loop, [this] { onTimer(); })
    , m_deadlineTimer(loop, [this] { timeOutTransfers(); })
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &HttpClient::onSocketChange);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &HttpClient::onTimerChange);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxConnections);
}

HttpClient::~HttpClient()
{
    for (const auto &[id, transfer] : m_transfers) {
        curl_multi_remove_handle(m_multi, transfer->easy);
    }
    m_transfers.clear();
    m_idleTransfers.clear();
    curl_multi_cleanup(m_multi);
    curl_global_cleanup();
}

void HttpClient::send(const HttpCall &call, AnswerCallback callback, LargeAnswerCallback onLargeAnswer)
{
    start(call, {}, std::move(onLargeAnswer), std::move(callback));
}

unsigned long long HttpClient::open(const HttpCall &call, DataCallback onData, AnswerCallback onEnd)
{
    return start(call, std::move(onData), {}, std::move(onEnd));
}

std::unique_ptr<HttpClient::Transfer> HttpClient::takeTransfer(long bufferBytes)
{
    if (auto &idle = m_idleTransfers[bufferBytes]; !idle.empty()) {
        auto transfer = std::move(idle.back());
        idle.pop_back();
        return transfer;
    }
    auto transfer = std::make_unique<Transfer>();
    transfer->client = this;
    transfer->easy = curl_easy_init();
    transfer->bufferBytes = bufferBytes;
    auto *easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, bufferBytes);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, maxIdleSeconds);
    // Addresses are IP addresses, so nothing in this cache becomes out of date. With a time limit, libcurl checks the whole cache after each call.
    curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpClient::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &HttpClient::onBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &HttpClient::onCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    return transfer;
}

void HttpClient::keepTransfer(std::unique_ptr<Transfer> transfer)
{
    auto &idle = m_idleTransfers[transfer->bufferBytes];
    if (idle.size() >= maxIdleTransfers) {
        return;
    }
    curl_slist_free_all(std::exchange(transfer->headers, nullptr));
    transfer->body = {};
    transfer->requestBody = {};
    transfer->sentBodyBytes = 0;
    transfer->extendedTo.reset();
    transfer->onData = {};
    transfer->onLargeAnswer = {};
    transfer->onEnd = {};
    idle.push_back(std::move(transfer));
}

unsigned long long HttpClient::start(const HttpCall &call, DataCallback onData, LargeAnswerCallback onLargeAnswer, AnswerCallback onEnd)
{
    auto transfer = takeTransfer(call.bufferBytes);
    transfer->id = m_nextId++;
    transfer->startedAt = EventLoop::now();
    transfer->stallTimeout = call.stallTimeout;
    transfer->address = call.address;
    transfer->requestBody = call.body;
    transfer->sendBefore = call.sendBefore;
    transfer->onData = std::move(onData);
    transfer->onLargeAnswer = std::move(onLargeAnswer);
    transfer->onEnd = std::move(onEnd);
    auto *easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + call.address + call.path).c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    if (call.method != "GET") {
        // When a reused connection closes without a response, libcurl sends the request again, although the peer may have executed it. A body that libcurl
        // reads through a callback prevents this, because libcurl cannot rewind it.
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer->requestBody.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.isRetryable ? transfer->requestBody.c_str() : nullptr);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, call.isRetryable ? nullptr : &HttpClient::onReadBody);
        transfer->headers = curl_slist_append(transfer->headers, "Content-Type: application/json");
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    // Without this header libcurl delays bodies over 1 MB by up to a second to wait for "100 Continue".
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    for (const auto &header : call.headers) {
        transfer->headers = curl_slist_append(transfer->headers, header.c_str());
    }
    if (!call.bearerToken.empty()) {
        transfer->headers = curl_slist_append(transfer->headers, ("Authorization: Bearer " + call.bearerToken).c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.opensConnection || m_failedAddresses.contains(call.address) ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.closesConnection ? 1L : 0L);
    const auto id = transfer->id;
    m_transfers.emplace(id, std::move(transfer));
    if (call.timeout > Duration{0}) {
        m_deadlines.emplace(EventLoop::now() + call.timeout, id);
        armDeadlines();
    }
    curl_multi_add_handle(m_multi, easy);
    return id;
}

void HttpClient::close(unsigned long long id)
{
    auto closed = m_transfers.extract(id);
    if (closed) {
        curl_multi_remove_handle(m_multi, closed.mapped()->easy);
        keepTransfer(std::move(closed.mapped()));
    }
}

void HttpClient::onSocketReady(curl_socket_t descriptor, int events)
{
    const int action = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    int runningCount = 0;
    curl_multi_socket_action(m_multi, descriptor, action, &runningCount);
    finishTransfers();
}

void HttpClient::onTimer()
{
    int runningCount = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &runningCount);
    finishTransfers();
}

void HttpClient::finishTransfers()
{
    // Callbacks may start or close calls, so the ended transfers are collected first and looked up again by id.
    std::vector<std::pair<unsigned long long, CURLcode>> ended;
    int remainingCount = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &remainingCount)) {
        if (message->msg == CURLMSG_DONE) {
            char *owner = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
            ended.emplace_back(reinterpret_cast<Transfer *>(owner)->id, message->data.result);
        }
    }
    for (const auto &[id, code] : ended) {
        const auto found = m_transfers.find(id);
        if (found != m_transfers.end()) {
            finish(*found->second, code);
        }
    }
}

void HttpClient::timeOutTransfers()
{
    // Callbacks may start or close calls, so the overdue transfers are collected first and looked up again by id.
    const auto end = m_deadlines.upper_bound(EventLoop::now());
    std::vector<unsigned long long> overdue;
    std::transform(m_deadlines.begin(), end, std::back_inserter(overdue), [](const auto &row) { return row.second; });
    m_deadlines.erase(m_deadlines.begin(), end);
    for (const auto id : overdue) {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end()) {
            continue;
        }
        const auto extendedTo = found->second->extendedTo.value_or(TimePoint{});
        if (extendedTo > EventLoop::now()) {
            m_deadlines.emplace(extendedTo, id);
        } else {
            finish(*found->second, CURLE_OPERATION_TIMEDOUT);
        }
    }
    armDeadlines();
}

void HttpClient::armDeadlines()
{
    // Most calls end long before their deadlines. Removing the deadlines of ended calls avoids waking the process for them.
    while (!m_deadlines.empty() && !m_transfers.contains(m_deadlines.begin()->second)) {
        m_deadlines.erase(m_deadlines.begin());
    }
    if (m_deadlines.empty()) {
        m_deadlineTimer.stop();
    } else {
        m_deadlineTimer.startAt(m_deadlines.begin()->first);
    }
}

void HttpClient::finish(Transfer &transfer, CURLcode code)
{
    HttpAnswer answer;
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
        answer.outcome = HttpOutcome::Answered;
        answer.status = static_cast<int>(status);
        m_failedAddresses.erase(transfer.address);
        noteAnswered(transfer);
    } else {
        // The size covers all attempts of the call, including those of libcurl's own retry after a closed connection.
        long sentBytes = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        answer.outcome = sentBytes > 0 ? HttpOutcome::Unknown : HttpOutcome::NotSent;
        const bool isTooLate = code == CURLE_ABORTED_BY_CALLBACK;
        answer.error = isTooLate ? "the request was not sent, because the sender's permission has ended" : curl_easy_strerror(code);
        if (!isTooLate) {
            m_failedAddresses.insert(transfer.address);
        }
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        endSilentConnections(transfer.address, transfer.startedAt);
    }
    answer.body = std::move(transfer.body);
    const auto onEnd = std::move(transfer.onEnd);
    close(transfer.id);
    armDeadlines();
    onEnd(answer);
}

void HttpClient::noteAnswered(const Transfer &transfer)
{
    curl_socket_t descriptor = CURL_SOCKET_BAD;
    curl_easy_getinfo(transfer.easy, CURLINFO_ACTIVESOCKET, &descriptor);
    if (descriptor != CURL_SOCKET_BAD) {
        m_connections.insert_or_assign(descriptor, Connection{transfer.address, EventLoop::now()});
    }
}

void HttpClient::endSilentConnections(const std::string &address, TimePoint since)
{
    m_endedConnections += std::erase_if(m_connections, [&](const auto &row) {
        const auto &[descriptor, connection] = row;
        const bool isSilent = !m_watches.contains(descriptor) && connection.address == address && connection.answeredAt < since;
        // libcurl owns the connection. It closes an idle connection that has ended instead of reusing it.
        return isSilent && shutdown(descriptor, SHUT_RDWR) == 0;
    });
}

int HttpClient::onCloseSocket(void *self, curl_socket_t descriptor)
{
    static_cast<HttpClient *>(self)->m_connections.erase(descriptor);
    return ::close(descriptor);
}

int HttpClient::onSocketChange(CURL *, curl_socket_t descriptor, int action, void *self, void *)
{
    auto &client = *static_cast<HttpClient *>(self);
    if (action == CURL_POLL_REMOVE) {
        client.m_watches.erase(descriptor);
        return 0;
    }
    auto &watch = client.m_watches[descriptor];
    if (!watch) {
        watch = std::make_unique<SocketWatch>(client.m_loop, [&client, descriptor](int events) { client.onSocketReady(descriptor, events); });
    }
    watch->watch(descriptor, ((action & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((action & CURL_POLL_OUT) != 0 ? EV_WRITE : 0));
    return 0;
}

int HttpClient::onTimerChange(CURLM *, long delayMs, void *self)
{
    auto &client = *static_cast<HttpClient *>(self);
    if (delayMs < 0) {
        client.m_timer.stop();
    } else {
        client.m_timer.startIn(Duration{delayMs});
    }
    return 0;
}

std::size_t HttpClient::onReadBody(char *buffer, std::size_t size, std::size_t count, void *owner)
{
    auto &transfer = *static_cast<Transfer *>(owner);
    const std::size_t bytes = transfer.requestBody.copy(buffer, size * count, transfer.sentBodyBytes);
    transfer.sentBodyBytes += bytes;
    return bytes;
}

std::size_t HttpClient::onBody(char *data, std::size_t size, std::size_t count, void *owner)
{
    auto &transfer = *static_cast<Transfer *>(owner);
    const std::size_t bytes = size * count;
    if (transfer.stallTimeout > Duration{0}) {
        transfer.extendedTo = std::min(EventLoop::now() + transfer.stallTimeout, transfer.startedAt + maxExtendedTime);
    }
    if (transfer.onData) {
        transfer.onData(std::string(data, bytes));
        return bytes;
    }
    if (transfer.body.size() + bytes > maxAnswerBytes) {
        return 0;
    }
    transfer.body.append(data, bytes);
    if (transfer.onLargeAnswer && transfer.body.size() > largeAnswerBytes) {
        std::exchange(transfer.onLargeAnswer, {})();
    }
    return bytes;
}

int HttpClient::onBeforeRequest(void *owner, char *, char *, int, int)
{
    // The process may have been paused since the call was made, or may have waited for its connection.
    const auto &transfer = *static_cast<Transfer *>(owner);
    const bool isTooLate = transfer.sendBefore && EventLoop::now() >= *transfer.sendBefore;
    return isTooLate ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

}
