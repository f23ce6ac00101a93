#include "callerapi.h"

#include "wire/jobjson.h"
#include "wire/jsonfields.h"
#include "wire/sha256.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

constexpr Duration overduePeriod{1'000};
constexpr std::size_t maxNameBytes = 128;
constexpr int statusHeaderTooLarge = 431;
constexpr std::string_view healthPath = "/healthz";
constexpr std::string_view metricsPath = "/metrics";
constexpr std::string_view jobsPath = "/v1/jobs/";
constexpr std::string_view resultSuffix = "/result";
const std::string bootstrapOperator = "bootstrap";

/// True for a request id or command id that may become part of a store key, so it must not contain a key separator.
bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= maxNameBytes && std::ranges::all_of(name, [](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || std::string_view("._-").find(character) != std::string_view::npos;
    });
}

constexpr const char *validNameRule = "1 to 128 letters, digits, dots, hyphens or underscores";

/// The job as returned to its caller: without the payload, which the caller already has, and without the store's revision.
HttpResponse jobResponse(const Job &job)
{
    auto json = toJson(job);
    json["requestId"] = job.specification.id.request.value;
    json["specification"].erase("payload");
    json.erase("revision");
    return {.status = 200, .body = toText(json) + "\n"};
}

bool isUtf8(const std::string &bytes)
{
    try {
        return !nlohmann::json(bytes).dump().empty();
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

}

int httpStatus(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
        return 400;
    case RefusalReason::BodyTooLarge:
        return 413;
    case RefusalReason::Unauthorised:
        return 401;
    case RefusalReason::NotFound:
    case RefusalReason::UnknownQueue:
        return 404;
    case RefusalReason::RequestIdReused:
    case RefusalReason::VersionConflict:
    case RefusalReason::Cancelled:
        return 409;
    case RefusalReason::QuotaExceeded:
    case RefusalReason::QueueFull:
        return 429;
    case RefusalReason::NeverFits:
    case RefusalReason::DeadlineUnreachable:
        return 422;
    case RefusalReason::ZoneOut:
    case RefusalReason::StoreUnavailable:
    case RefusalReason::ShuttingDown:
    case RefusalReason::TooManyConnections:
        return 503;
    case RefusalReason::Timeout:
        return 504;
    case RefusalReason::Internal:
        return 500;
    }
    return 500;
}

HttpResponse refusalResponse(const Refusal &refusal)
{
    return {.status = httpStatus(refusal.reason), .body = toText(toJson(refusal)) + "\n", .retryAfter = refusal.retryAfter};
}

CallerApi::CallerApi(EventLoop &loop, HttpServer &server, Blackboard &board, CallerApiSettings settings, EventSink post)
    : m_server(server)
    , m_board(board)
    , m_settings(std::move(settings))
    , m_post(std::move(post))
    , m_overdueTimer(loop, [this] { answerOverdueCalls(); })
{
    m_server.setHandler([this](HttpRequestId id, const HttpRequest &request) { onRequest(id, request); });
    m_server.setDisconnectHandler([this](HttpRequestId id) { onDisconnected(id); });
    m_server.setLimitResponse([this](HttpLimit limit) {
        if (limit == HttpLimit::HeaderTooLarge) {
            count(m_board.counters, "refusals", std::string(name(RefusalReason::BadRequest)));
            auto response = refusalResponse({RefusalReason::BadRequest, RequestEffect::NotRun, Duration{0}, "the header of the request is too large"});
            response.status = statusHeaderTooLarge;
            return response;
        }
        const bool isBody = limit == HttpLimit::BodyTooLarge;
        const bool isBudget = limit == HttpLimit::ReceiveBudget;
        const Refusal refusal{isBody ? RefusalReason::BodyTooLarge : RefusalReason::TooManyConnections,
                              RequestEffect::NotRun,
                              isBody ? Duration{0} : Duration{1'000},
                              isBody     ? "the body has more than 1 MB"
                              : isBudget ? "this host receives too many large requests; try another host"
                                         : "this host has too many connections; try another host"};
        count(m_board.counters, "refusals", std::string(name(refusal.reason)));
        return refusalResponse(refusal);
    });
    m_server.setAlwaysServedPaths({std::string(healthPath), std::string(metricsPath)});
    m_overdueTimer.startIn(overduePeriod);
}

void CallerApi::setStatementHandler(StatementHandler handler)
{
    m_statementHandler = std::move(handler);
}

void CallerApi::setReplyHandler(ReplyHandler handler)
{
    m_replyHandler = std::move(handler);
}

void CallerApi::setMetricsText(MetricsText text)
{
    m_metricsText = std::move(text);
}

void CallerApi::onRequest(HttpRequestId id, const HttpRequest &request)
{
    const std::string_view path = request.path;
    if (path == healthPath && request.method == "GET") {
        answerHealth(id);
    } else if (path == metricsPath && request.method == "GET") {
        m_server.respond(id, {.contentType = "text/plain; version=0.0.4", .body = m_metricsText ? m_metricsText() : std::string{}});
    } else if (path == "/v1/statements" && request.method == "POST") {
        runStatements(id, request);
    } else if (path == "/v1/jobs" && request.method == "POST") {
        submit(id, request);
    } else if (path.starts_with(jobsPath) && request.method == "GET") {
        auto requestId = path.substr(jobsPath.size());
        const bool waitsForResult = requestId.ends_with(resultSuffix);
        requestId.remove_suffix(waitsForResult ? resultSuffix.size() : 0);
        queryJob(id, request, std::string(requestId), waitsForResult);
    } else if (path.starts_with(jobsPath) && request.method == "DELETE") {
        cancel(id, request, std::string(path.substr(jobsPath.size())));
    } else {
        refuse(id, RefusalReason::NotFound, absl::StrCat("unknown endpoint: ", request.method, " ", request.path));
    }
}

void CallerApi::submit(HttpRequestId id, const HttpRequest &request)
{
    const auto organisation = organisationOf(request.bearerToken);
    if (!organisation) {
        refuseUnknownToken(id, "the bearer token belongs to no organisation");
        return;
    }
    const auto json = parseJson(request.body, "body", JsonSyntax::Strict);
    auto specification = json.ok() ? jobSpecificationFromJson(*json, "body") : absl::StatusOr<JobSpecification>(json.status());
    if (!specification.ok()) {
        refuse(id, RefusalReason::BadRequest, std::string(specification.status().message()));
        return;
    }
    if (!isValidName(specification->id.request.value)) {
        refuse(id, RefusalReason::BadRequest, absl::StrCat("body.requestId: must have ", validNameRule));
        return;
    }
    if (!specification->id.organisation.value.empty() && specification->id.organisation != *organisation) {
        refuse(
            id, RefusalReason::Unauthorised, absl::StrCat("the bearer token does not belong to organisation \"", specification->id.organisation.value, "\""));
        return;
    }
    specification->id.organisation = *organisation;
    m_post(SubmitRequest{open(id, Duration{0}, true), *std::move(specification)});
}

void CallerApi::queryJob(HttpRequestId id, const HttpRequest &request, const std::string &requestId, bool waitsForResult)
{
    const auto organisation = organisationOf(request.bearerToken);
    if (!organisation) {
        refuseUnknownToken(id, "the bearer token belongs to no organisation");
        return;
    }
    const auto wait = waitOf(request);
    if (!isValidName(requestId) || !wait) {
        refuse(id,
               RefusalReason::BadRequest,
               wait ? absl::StrCat("the request id must have ", validNameRule)
                    : absl::StrCat("waitMs: must be an integer from 0 to ", m_settings.maxWait.count()));
        return;
    }
    const auto usedWait = waitsForResult ? *wait : Duration{0};
    m_post(StatusRequest{open(id, usedWait, false), {*organisation, {requestId}}, usedWait});
}

void CallerApi::cancel(HttpRequestId id, const HttpRequest &request, const std::string &requestId)
{
    const auto organisation = organisationOf(request.bearerToken);
    if (!organisation) {
        refuseUnknownToken(id, "the bearer token belongs to no organisation");
        return;
    }
    if (!isValidName(requestId)) {
        refuse(id, RefusalReason::BadRequest, absl::StrCat("the request id must have ", validNameRule));
        return;
    }
    m_post(CancelRequest{open(id, Duration{0}, true), {*organisation, {requestId}}});
}

void CallerApi::runStatements(HttpRequestId id, const HttpRequest &request)
{
    const auto account = operatorOf(request.bearerToken);
    if (!account) {
        refuseUnknownToken(id, "the bearer token belongs to no operator");
        return;
    }
    if (!m_statementHandler) {
        refuse(id, RefusalReason::BadRequest, "this host runs no statements: the operators' language is not part of this build");
        return;
    }
    const auto wait = waitOf(request);
    StatementRequest statement;
    statement.account = *account;
    statement.text = request.body;
    if (const auto format = request.query.find("format"); format != request.query.end()) {
        statement.format = format->second;
    }
    if (const auto command = request.query.find("commandId"); command != request.query.end()) {
        statement.command = {command->second};
    }
    if (!wait) {
        refuse(id, RefusalReason::BadRequest, absl::StrCat("waitMs: must be an integer from 0 to ", m_settings.maxWait.count()));
        return;
    }
    if (statement.format != "table" && statement.format != "json" && statement.format != "csv") {
        refuse(id, RefusalReason::BadRequest, absl::StrCat("format: \"", statement.format, "\" is none of table, json, csv"));
        return;
    }
    if (!statement.command.value.empty() && !isValidName(statement.command.value)) {
        refuse(id, RefusalReason::BadRequest, absl::StrCat("commandId: must have ", validNameRule));
        return;
    }
    if (!isUtf8(statement.text)) {
        refuse(id, RefusalReason::BadRequest, "the body is not UTF-8 text");
        return;
    }
    statement.wait = *wait;
    statement.id = open(id, *wait, true, true);
    m_statementHandler(statement);
}

void CallerApi::answerHealth(HttpRequestId id)
{
    const bool isServing = !m_board.isStopping;
    const nlohmann::json json{{"serving", isServing},
                              {"host", m_board.self.id.value},
                              {"availabilityZone", m_board.self.availabilityZone.value},
                              {"mayStartWork", isValid(m_board.permit, m_board.now)},
                              {"permit", name(m_board.permit.source)},
                              {"ownsZone", m_board.epoch > 0}};
    m_server.respond(id, {.status = isServing ? 200 : 503, .body = toText(json) + "\n"});
}

std::optional<OrganisationId> CallerApi::organisationOf(const std::string &token) const
{
    const auto hash = token.empty() ? std::string{} : sha256Hex(token);
    const auto &rows = m_board.configuration.organisations;
    const auto found = std::ranges::find_if(rows, [&hash](const auto &row) { return !hash.empty() && areHashesEqual(row.second.tokenHash, hash); });
    return found == rows.end() ? std::nullopt : std::optional(found->first);
}

std::optional<OperatorAccount> CallerApi::operatorOf(const std::string &token) const
{
    if (token.empty()) {
        return std::nullopt;
    }
    const auto hash = sha256Hex(token);
    const auto &rows = m_board.configuration.operators;
    const auto found = std::ranges::find_if(rows, [&hash](const auto &row) { return areHashesEqual(row.second.tokenHash, hash); });
    if (found != rows.end()) {
        return found->second;
    }
    const bool hasAdministrator = std::ranges::any_of(rows, [](const auto &row) { return row.second.role == OperatorRole::Administrator; });
    if (!hasAdministrator && areHashesEqual(m_settings.bootstrapAdministratorTokenHash, hash)) {
        return OperatorAccount{{bootstrapOperator}, OperatorRole::Administrator, hash};
    }
    return std::nullopt;
}

std::optional<Duration> CallerApi::waitOf(const HttpRequest &request) const
{
    const auto found = request.query.find("waitMs");
    if (found == request.query.end()) {
        return Duration{0};
    }
    long long wait = 0;
    if (!absl::SimpleAtoi(found->second, &wait) || wait < 0 || wait > m_settings.maxWait.count()) {
        return std::nullopt;
    }
    return Duration{wait};
}

CallId CallerApi::open(HttpRequestId id, Duration wait, bool mayHaveEffect, bool isStatement)
{
    const auto call = takeCallId(m_board);
    m_open.emplace(call, OpenRequest{id, EventLoop::now() + wait + m_settings.answerMargin, mayHaveEffect, isStatement});
    m_callOfRequest.emplace(id, call);
    return call;
}

void CallerApi::refuse(HttpRequestId id, RefusalReason reason, const std::string &message, Duration retryAfter)
{
    count(m_board.counters, "refusals", std::string(name(reason)));
    m_server.respond(id, refusalResponse({reason, RequestEffect::NotRun, retryAfter, message}));
}

void CallerApi::refuseUnknownToken(HttpRequestId id, const std::string &message)
{
    // A host that has not read the configuration yet knows no tokens, so it must not reject a token as wrong.
    if (m_board.configuration.version == 0 && !m_board.store.isLoaded) {
        refuse(id, RefusalReason::StoreUnavailable, "this host has not read the configuration yet", Duration{1'000});
    } else {
        refuse(id, RefusalReason::Unauthorised, message);
    }
}

void CallerApi::onReply(const CallerReply &reply)
{
    const auto found = m_open.find(reply.id);
    if (found == m_open.end() || found->second.isStatement) {
        if (m_replyHandler) {
            m_replyHandler(reply);
        }
        return;
    }
    const auto request = found->second.request;
    m_callOfRequest.erase(request);
    m_open.erase(found);
    if (reply.refusal) {
        m_server.respond(request, refusalResponse(*reply.refusal));
    } else if (reply.job) {
        m_server.respond(request, jobResponse(*reply.job));
    } else {
        const nlohmann::json json{{"text", reply.text.value_or("")}, {"inForce", reply.isInForce}};
        m_server.respond(request, {.body = toText(json) + "\n"});
    }
}

void CallerApi::answerStatement(CallId id, const StatementAnswer &answer)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        return;
    }
    const auto request = found->second.request;
    m_callOfRequest.erase(request);
    m_open.erase(found);
    m_server.respond(request, answer.refusal ? refusalResponse(*answer.refusal) : HttpResponse{.contentType = answer.contentType, .body = answer.text});
}

void CallerApi::onDisconnected(HttpRequestId id)
{
    const auto found = m_callOfRequest.find(id);
    if (found == m_callOfRequest.end()) {
        return;
    }
    const auto call = found->second;
    m_open.erase(call);
    m_callOfRequest.erase(found);
    m_post(CallAbandoned{call});
}

void CallerApi::abandon(const std::vector<CallId> &calls, RefusalReason reason, Duration retryAfter, const std::string &message)
{
    for (const auto call : calls) {
        const auto request = m_open.extract(call).mapped();
        m_callOfRequest.erase(request.request);
        count(m_board.counters, "refusals", std::string(name(reason)));
        const auto effect = request.mayHaveEffect ? RequestEffect::Unknown : RequestEffect::NotRun;
        auto response = refusalResponse({reason, effect, retryAfter, message});
        response.closesConnection = reason == RefusalReason::ShuttingDown;
        m_server.respond(request.request, std::move(response));
        m_post(CallAbandoned{call});
    }
}

void CallerApi::endOpenCalls()
{
    std::vector<CallId> calls;
    std::ranges::copy(m_open | std::views::keys, std::back_inserter(calls));
    abandon(calls, RefusalReason::ShuttingDown, Duration{0}, "this host is stopping; send the request with the same id to another host");
}

void CallerApi::answerOverdueCalls()
{
    const auto now = EventLoop::now();
    std::vector<CallId> overdue;
    for (const auto &[call, request] : m_open) {
        if (request.deadline < now) {
            overdue.push_back(call);
        }
    }
    abandon(overdue, RefusalReason::Timeout, Duration{1'000}, "the call timed out; retry it with the same request id");
    m_overdueTimer.startIn(overduePeriod);
}

}
