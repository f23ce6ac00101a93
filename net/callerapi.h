#pragma once

#include "core/blackboard.h"
#include "eventsink.h"
#include "httpserver.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// A request of an authenticated operator to run statements of the operators' language.
struct StatementRequest
{
    CallId id;
    OperatorAccount account;
    std::string text;
    std::string format = "table"; ///< "table", "json" or "csv".
    CommandId command;            ///< Idempotency key from the client: a command that is sent again with the same key is not carried out again. May be empty.
    Duration wait{0};             ///< How long to wait until the change is in force.

    friend bool operator==(const StatementRequest &, const StatementRequest &) = default;
};

/// The answer to a StatementRequest: the output of the statements, or a refusal.
struct StatementAnswer
{
    std::optional<Refusal> refusal;
    std::string text;
    std::string contentType = "text/plain; charset=utf-8";

    friend bool operator==(const StatementAnswer &, const StatementAnswer &) = default;
};

struct CallerApiSettings
{
    std::string bootstrapAdministratorTokenHash; ///< SHA-256 of a token with the administrator role, valid while the configuration has no administrator.
    Duration maxWait{30'000};
    Duration answerMargin{15'000}; ///< Additional time, after the wait of a call, for the core's answer. If it has passed, the call is refused with `timeout`.

    friend bool operator==(const CallerApiSettings &, const CallerApiSettings &) = default;
};

/// The HTTP interface for callers and operators, see docs/design.md, section 4. It authenticates the caller, validates the request, and converts requests into
/// events and replies into HTTP responses; all other decisions are made by the core.
class CallerApi
{
public:
    using StatementHandler = std::function<void(const StatementRequest &)>;
    using ReplyHandler = std::function<void(const CallerReply &)>;
    using MetricsText = std::function<std::string()>;

    CallerApi(EventLoop &loop, HttpServer &server, Blackboard &board, CallerApiSettings settings, EventSink post);

    /// Sets the handler that runs statements and answers each request with answerStatement(), at once or later. Without a handler, statements are refused.
    void setStatementHandler(StatementHandler handler);

    /// Sets the handler for replies to events that the statement handler posts. These events have call ids that the statement handler chooses.
    void setReplyHandler(ReplyHandler handler);

    /// Sets the function that returns the body of `GET /metrics`.
    void setMetricsText(MetricsText text);

    /// Answers the HTTP request of the reply's call.
    void onReply(const CallerReply &reply);

    void answerStatement(CallId id, const StatementAnswer &answer);

    /// Refuses each open call because the host exits now.
    void endOpenCalls();

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
    void queryJob(HttpRequestId id, const HttpRequest &request, const std::string &requestId, bool waitsForResult);
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

    /// Refuses calls that the core has not answered.
    void abandon(const std::vector<CallId> &calls, RefusalReason reason, Duration retryAfter, const std::string &message);

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

/// The HTTP status for a refusal reason.
int httpStatus(RefusalReason reason);

HttpResponse refusalResponse(const Refusal &refusal);

}
