#pragma once

#include "core/blackboard.h"
#include "eventsink.h"
#include "httpserver.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace sequoiastand
{

/// Text of the operators' language that came with an operator's token.
struct StatementRequest
{
    CallId id;
    OperatorAccount account;
    std::string text;
    std::string format = "table"; ///< "table", "json" or "csv".
    CommandId command;            ///< From the client, so that a command sent again is not carried out again; may be empty.
    Duration wait{0};             ///< How long to wait for "in force".

    friend bool operator==(const StatementRequest &, const StatementRequest &) = default;
};

/// The answer to statements: their text, or a refusal.
struct StatementAnswer
{
    std::optional<Refusal> refusal;
    std::string text;
    std::string contentType = "text/plain; charset=utf-8";

    friend bool operator==(const StatementAnswer &, const StatementAnswer &) = default;
};

struct CallerApiSettings
{
    std::string bootstrapAdministratorTokenHash; ///< Valid while the configuration has no administrator.
    Duration maxWait{30'000};
    Duration answerMargin{15'000}; ///< After its wait and this, a call that the core has not answered is answered `timeout`.

    friend bool operator==(const CallerApiSettings &, const CallerApiSettings &) = default;
};

/// The HTTP interface of docs/design.md, section 4: turns requests into events and replies into answers. It decides nothing but who the caller is and whether the
/// request can be read.
class CallerApi
{
public:
    using StatementHandler = std::function<void(const StatementRequest &)>;
    using ReplyHandler = std::function<void(const CallerReply &)>;
    using MetricsText = std::function<std::string()>;

    CallerApi(EventLoop &loop, HttpServer &server, Blackboard &board, CallerApiSettings settings, EventSink post);

    /// Runs statements; answers with answerStatement(), at once or later. Without a handler statements are refused.
    void setStatementHandler(StatementHandler handler);

    /// Gets the replies to events that the statement handler has posted under ids of its own.
    void setReplyHandler(ReplyHandler handler);
    void setMetricsText(MetricsText text);

    void onReply(const CallerReply &reply);
    void answerStatement(CallId id, const StatementAnswer &answer);

    std::size_t openCalls() const
    {
        return m_open.size();
    }

private:
    struct OpenRequest
    {
        HttpRequestId request = 0;
        TimePoint deadline;
        bool mayHaveEffect = false;
        bool isStatement = false;
    };

    void onRequest(HttpRequestId id, const HttpRequest &request);
    void onDisconnected(HttpRequestId id);
    void submit(HttpRequestId id, const HttpRequest &request);
    void queryJob(HttpRequestId id, const HttpRequest &request, const std::string &requestId, bool waits);
    void cancel(HttpRequestId id, const HttpRequest &request, const std::string &requestId);
    void runStatements(HttpRequestId id, const HttpRequest &request);
    void answerHealth(HttpRequestId id);
    std::optional<OrganisationId> organisationOf(const std::string &token) const;
    std::optional<OperatorAccount> operatorOf(const std::string &token) const;
    std::optional<Duration> waitOf(const HttpRequest &request) const;
    CallId open(HttpRequestId id, Duration wait, bool mayHaveEffect, bool isStatement = false);
    void refuse(HttpRequestId id, RefusalReason reason, const std::string &message, Duration retryAfter = Duration{0});
    void refuseUnknownToken(HttpRequestId id, const std::string &message);
    void answerOverdueCalls();

    HttpServer &m_server;
    Blackboard &m_board;
    CallerApiSettings m_settings;
    EventSink m_post;
    StatementHandler m_statementHandler;
    ReplyHandler m_replyHandler;
    MetricsText m_metricsText;
    std::map<CallId, OpenRequest> m_open;
    std::map<HttpRequestId, CallId> m_callOfRequest;
    Timer m_overdueTimer;
};

/// The HTTP status of a refusal.
int httpStatus(RefusalReason reason);

HttpResponse refusalResponse(const Refusal &refusal);

}
