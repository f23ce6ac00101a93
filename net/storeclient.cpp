#include "storeclient.h"

#include "core/errors.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace sequoiastand
{

namespace
{

// Maximum size of one watch message. After an interruption, a message can hold the changes of many transactions, each with values of up to 1 MB.
constexpr std::size_t maxWatchLineBytes = std::size_t{64} * 1024 * 1024;

/// True if a call that is answered with this status had no effect. The store answers 5xx after a leader loss or a timeout, and may still apply the write.
bool isWithoutEffect(int status)
{
    return status >= 400 && status < 500;
}

bool isWrite(const StoreRequest &request)
{
    return !std::holds_alternative<StoreRange>(request);
}

}

StoreClient::StoreClient(EventLoop &loop, HttpClient &http, StoreClientSettings settings, EventSink post, ErrorSink reportError)
    : m_http(http)
    , m_settings(std::move(settings))
    , m_post(std::move(post))
    , m_reportError(std::move(reportError))
    , m_random(std::random_device{}())
    , m_watchTimer(loop, [this] { onWatchTimer(); })
    , m_retryTimer(loop, [this] { openWatch(m_watchState); })
{
}

const std::string &StoreClient::address() const
{
    return m_settings.addresses.at(m_addressIndex);
}

void StoreClient::send(const StoreCall &call)
{
    const auto encoded = encodeStoreCall(call);
    HttpCall http;
    http.address = address();
    http.path = encoded.path;
    http.body = encoded.body;
    http.timeout = call.timeout;
    m_http.send(http, [this, call, peer = http.address](const HttpAnswer &answer) { finish(call, peer, answer); });
}

void StoreClient::finish(const StoreCall &call, const std::string &peer, const HttpAnswer &answer)
{
    StoreReply reply;
    reply.id = call.id;
    if (answer.outcome == HttpOutcome::Answered && answer.status == 200) {
        auto decoded = decodeStoreReply(call, answer.body, peer);
        if (decoded.ok()) {
            if (!decoded->error.empty()) {
                m_reportError("callStore", peer, decoded->error);
            }
            m_post(*std::move(decoded));
            return;
        }
        reply.error = std::string(decoded.status().message());
    } else if (answer.outcome == HttpOutcome::Answered) {
        reply.error = absl::StrCat("callStore: ", peer, ": status ", answer.status, ": ", storeErrorText(answer.body));
    } else {
        reply.error = absl::StrCat("callStore: ", peer, ": ", answer.error);
    }
    const bool hadNoEffect =
        answer.outcome == HttpOutcome::NotSent || !isWrite(call.request) || (answer.outcome == HttpOutcome::Answered && isWithoutEffect(answer.status));
    reply.outcome = hadNoEffect ? StoreOutcome::NotSent : StoreOutcome::Unknown;
    if (peer == address()) {
        m_addressIndex = (m_addressIndex + 1) % m_settings.addresses.size();
    }
    m_post(reply);
}

void StoreClient::watchFrom(Revision revision)
{
    if (m_isWatching) {
        return;
    }
    m_isWatching = true;
    m_nextRevision = revision;
    // The first watch is opened at once. After the loss of a watch, the next one is opened after a random delay, so that many hosts don't open theirs together.
    if (m_lossReason.empty()) {
        openWatch(WatchState::Opening);
    } else {
        m_watchState = WatchState::Opening;
        scheduleRetry();
    }
}

void StoreClient::stopWatching()
{
    closeWatch();
    m_watchTimer.stop();
    m_retryTimer.stop();
    m_isWatching = false;
}

void StoreClient::scheduleRetry()
{
    m_retryTimer.startIn(Duration{static_cast<long long>(m_random() % static_cast<unsigned long>(m_settings.maxWatchRetryDelay.count() + 1))});
}

void StoreClient::openWatch(WatchState step)
{
    closeWatch();
    m_lossReason.clear();
    m_watchState = step;
    const auto encoded = encodeWatch(m_nextRevision);
    HttpCall call;
    call.address = address();
    call.path = encoded.path;
    call.body = encoded.body;
    m_watchTimer.startIn(m_settings.watchOpenTimeout);
    m_stream = m_http.open(
        call, [this](const std::string &data) { onWatchData(data); }, [this](const HttpAnswer &answer) { onWatchEnd(answer); });
}

void StoreClient::onWatchEnd(const HttpAnswer &answer)
{
    m_stream.reset();
    if (!m_lossReason.empty()) {
        postWatchLost();
    } else if (m_watchState == WatchState::Open) {
        closeWatch();
        m_watchTimer.stop();
        m_addressIndex = (m_addressIndex + 1) % m_settings.addresses.size();
        m_watchState = WatchState::Reopening;
        scheduleRetry();
    } else {
        recordWatchLoss("ended", answer.error.empty() ? absl::StrCat("ended with status ", answer.status) : answer.error);
        postWatchLost();
    }
}

void StoreClient::closeWatch()
{
    if (m_stream) {
        m_http.close(*m_stream);
        m_stream.reset();
    }
    m_buffer.clear();
}

void StoreClient::onWatchData(const std::string &data)
{
    m_buffer += data;
    std::size_t begin = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', begin)) {
        if (end > begin && m_lossReason.empty()) {
            onWatchLine(m_buffer.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    m_buffer.erase(0, begin);
    if (m_buffer.size() > maxWatchLineBytes) {
        recordWatchLoss("unreadable", absl::StrCat("a message has more than ", maxWatchLineBytes, " bytes"));
    }
    // libcurl does not allow a transfer to be closed from its own data callback, so a lost watch is closed by the timer.
    m_watchTimer.startIn(!m_lossReason.empty() ? Duration{0} : m_watchState == WatchState::Open ? m_settings.watchIdleTimeout : m_settings.watchOpenTimeout);
}

void StoreClient::onWatchLine(const std::string &line)
{
    auto message = decodeWatchMessage(line, address());
    if (!message.ok()) {
        recordWatchLoss("unreadable", std::string(message.status().message()));
        return;
    }
    for (const auto &error : message->unreadable) {
        m_reportError("watchStore", address(), error);
    }
    if (message->compactRevision != 0) {
        recordWatchLoss("compacted", absl::StrCat("revision ", m_nextRevision, " is compacted; the compact revision is ", message->compactRevision));
        return;
    }
    if (message->isCancelled) {
        recordWatchLoss("cancelled", "cancelled by the store");
        return;
    }
    m_watchState = WatchState::Open;
    if (message->isCreated) {
        return;
    }
    if (message->changes.revision < m_nextRevision) {
        return; // The message has no new changes: it is a progress notification, or repeats changes received before the watch was resumed.
    }
    m_nextRevision = message->changes.revision + 1;
    m_post(std::move(message->changes));
}

void StoreClient::onWatchTimer()
{
    if (!m_lossReason.empty()) {
        postWatchLost();
    } else if (m_watchState == WatchState::Open) {
        m_http.requireNewConnection(address());
        openWatch(WatchState::Reopening);
    } else {
        recordWatchLoss("silent", absl::StrCat("no message for ", m_settings.watchOpenTimeout.count(), " ms after the watch was opened"));
        postWatchLost();
    }
}

void StoreClient::recordWatchLoss(const std::string &reason, const std::string &message)
{
    m_lossReason = reason;
    m_reportError("watchStore", address(), message);
}

void StoreClient::postWatchLost()
{
    m_http.requireNewConnection(address());
    stopWatching();
    m_addressIndex = (m_addressIndex + 1) % m_settings.addresses.size();
    m_post(StoreWatchLost{m_lossReason});
}

}
