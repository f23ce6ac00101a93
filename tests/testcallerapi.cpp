#include "loopback.h"
#include "net/callerapi.h"
#include "wire/jobjson.h"
#include "wire/sha256.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace sequoiastand
{

namespace
{

using nlohmann::json;
using testing::HasSubstr;

}

class CallerApiRequests : public testing::Test
{
protected:
    CallerApiRequests()
    {
        m_board.configuration =
            withItem(withItem({}, Organisation{{"kask"}, 10, sha256Hex("kask-token")}), Organisation{{"colombo"}, 10, sha256Hex("colombo-token")});
        m_board.configuration.version = 1;
        EXPECT_TRUE(m_server.listen("127.0.0.1", 0).ok());
    }

    /// Sends a request and waits until it is answered or posted as an event.
    void sendRequest(const std::string &method, const std::string &path, const std::string &token, const std::string &body = "")
    {
        m_answer.reset();
        m_events.clear();
        m_client.send({method, loopbackAddress(m_server.port()), path, body, token, testTimeout}, [this](const HttpAnswer &answer) { m_answer = answer; });
        EXPECT_TRUE(m_loop.runUntil([this] { return m_answer || !m_events.empty(); }, testTimeout));
    }

    json waitForAnswer()
    {
        EXPECT_TRUE(m_loop.runUntil([this] { return m_answer.has_value(); }, testTimeout));
        return m_answer ? json::parse(m_answer->body, nullptr, false) : json();
    }

    void expectRefused(int status, const std::string &reason, const std::string &message)
    {
        ASSERT_TRUE(m_answer.has_value());
        EXPECT_EQ(status, m_answer->status);
        const auto answer = json::parse(m_answer->body, nullptr, false);
        EXPECT_EQ(reason, answer.value("reason", ""));
        EXPECT_EQ("no", answer.value("run", ""));
        EXPECT_THAT(answer.value("message", ""), HasSubstr(message));
        EXPECT_TRUE(m_events.empty());
        EXPECT_GE(m_board.counters.values[CounterKey({"refusals", reason})], 1);
    }

    EventLoop m_loop;
    HttpClient m_client{m_loop};
    HttpServer m_server{m_loop, {.maxBodyBytes = 4096}};
    Blackboard m_board;
    std::vector<Event> m_events;
    std::optional<HttpAnswer> m_answer;
    CallerApi m_api{m_loop, m_server, m_board, {.bootstrapAdministratorTokenHash = sha256Hex("first")}, [this](Event event) {
                        m_events.push_back(std::move(event));
                    }};
};

TEST_F(CallerApiRequests, submissionGetsTheOrganisationOfItsToken)
{
    sendRequest("POST", "/v1/jobs", "kask-token", R"({"requestId":"tie-1","tasks":2})");
    ASSERT_EQ(1U, m_events.size());
    const auto &submit = std::get<SubmitRequest>(m_events[0]);
    EXPECT_EQ((JobId{{"kask"}, {"tie-1"}}), submit.specification.id);

    m_api.onReply({submit.id, Refusal{RefusalReason::QueueFull, RequestEffect::NotRun, Duration{700}, "2000 jobs wait"}, std::nullopt, std::nullopt, false});

    EXPECT_EQ(json({{"reason", "queueFull"}, {"run", "no"}, {"retryAfterMs", 700}, {"message", "2000 jobs wait"}}), waitForAnswer());
    EXPECT_EQ(429, m_answer->status);
}

TEST_F(CallerApiRequests, submissionInTheNameOfAnotherOrganisationIsRefused)
{
    sendRequest("POST", "/v1/jobs", "kask-token", R"({"requestId":"tie-1","organisation":"colombo"})");
    expectRefused(401, "unauthorised", "does not belong to organisation \"colombo\"");
}

TEST_F(CallerApiRequests, statusOfAJobIsQueriedInTheOrganisationOfTheToken)
{
    sendRequest("GET", "/v1/jobs/tie-1/result?waitMs=250", "colombo-token");
    ASSERT_EQ(1U, m_events.size());
    EXPECT_EQ((JobId{{"colombo"}, {"tie-1"}}), std::get<StatusRequest>(m_events[0]).job);
    EXPECT_EQ(Duration{250}, std::get<StatusRequest>(m_events[0]).wait);
}

TEST_F(CallerApiRequests, badJsonUnknownFieldAndBadNamesAreRefusedWithThePlace)
{
    sendRequest("POST", "/v1/jobs", "kask-token", "{");
    expectRefused(400, "badRequest", "body");
    sendRequest("POST", "/v1/jobs", "kask-token", R"({"requestId":"tie-1","colour":"red"})");
    expectRefused(400, "badRequest", "body.colour: is not a known field");
    sendRequest("POST", "/v1/jobs", "kask-token", R"({"requestId":"a/b"})");
    expectRefused(400, "badRequest", "body.requestId");
    sendRequest("GET", "/v1/jobs/tie-1/result?waitMs=soon", "kask-token");
    expectRefused(400, "badRequest", "waitMs");
    sendRequest("GET", "/v1/unknown", "kask-token");
    expectRefused(404, "notFound", "GET /v1/unknown");
}

TEST_F(CallerApiRequests, bodyBeyondTheLimitIsRefusedAsJson)
{
    sendRequest("POST", "/v1/jobs", "kask-token", std::string(5000, 'x'));
    expectRefused(413, "bodyTooLarge", "the body has more than");
}

// Guards against rejecting a valid token on a host that has not read the configuration yet and therefore knows no tokens.
TEST_F(CallerApiRequests, unknownTokenBeforeTheConfigurationIsReadIsNotRejectedAsWrong)
{
    m_board.configuration = {};
    sendRequest("GET", "/v1/jobs/tie-1", "kask-token");
    expectRefused(503, "storeUnavailable", "has not read the configuration yet");
}

TEST_F(CallerApiRequests, callWithoutAReplyIsAnsweredTimeoutAndAbandoned)
{
    CallerApi apiWithShortMargin(m_loop, m_server, m_board, {.answerMargin = Duration{1}}, [this](Event event) { m_events.push_back(std::move(event)); });
    sendRequest("DELETE", "/v1/jobs/tie-1", "kask-token");
    const auto call = std::get<CancelRequest>(m_events.at(0)).id;

    EXPECT_EQ("timeout", waitForAnswer()["reason"]);
    EXPECT_EQ("unknown", waitForAnswer()["run"]);
    ASSERT_EQ(2U, m_events.size());
    EXPECT_EQ(Event(CallAbandoned{call}), m_events[1]);
    apiWithShortMargin.onReply({call, std::nullopt, Job{}, std::nullopt, false});
}

TEST_F(CallerApiRequests, statementsWithoutALanguageAreRefused)
{
    sendRequest("POST", "/v1/statements", "first", "show zones");
    expectRefused(400, "badRequest", "runs no statements");
}

TEST_F(CallerApiRequests, bootstrapTokenIsAdministratorUntilThereIsOne)
{
    std::optional<StatementRequest> received;
    m_api.setStatementHandler([&](const StatementRequest &request) {
        received = request;
        m_api.answerStatement(request.id, {std::nullopt, "ok\n", "text/plain"});
    });
    sendRequest("POST", "/v1/statements?format=csv&waitMs=40&commandId=c-1", "first", "show zones");
    ASSERT_TRUE(received.has_value());
    EXPECT_EQ(OperatorRole::Administrator, received->account.role);
    EXPECT_EQ("csv", received->format);
    EXPECT_EQ(CommandId{"c-1"}, received->command);
    EXPECT_EQ("ok\n", m_answer->body);

    m_board.configuration = withItem(m_board.configuration, OperatorAccount{{"mari"}, OperatorRole::Administrator, sha256Hex("mari-token")});
    sendRequest("POST", "/v1/statements", "first", "show zones");
    expectRefused(401, "unauthorised", "belongs to no operator");
}

}
