#include "loopback.h"
#include "net/hostloop.h"
#include "wire/sha256.h"
#include "wire/targetjson.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiastand
{

namespace
{

using testing::HasSubstr;

const std::string callerToken = "kask-token";

/// Replaces the controllers. Each event produces the next message in the processing of one job, from the submission to the answer.
void stepOneJob(Blackboard &board, const std::vector<Event> &events, const std::string &target)
{
    for (const auto &event : events) {
        if (const auto *submit = std::get_if<SubmitRequest>(&event)) {
            Job job;
            job.specification = submit->specification;
            board.jobs.put(job.specification.id, job);
            board.calls.put(submit->id, {submit->id, *submit, {}});
            board.outbox.emplace_back(StoreCall{{100}, StoreTransaction{{{jobKey(job.specification.id), job, Revision{0}, false}}}, 0, testTimeout});
        } else if (const auto *stored = std::get_if<StoreReply>(&event)) {
            auto job = board.jobs.rows().begin()->second;
            job.revision = stored->revision;
            board.jobs.put(job.specification.id, job);
            board.outbox.emplace_back(
                TargetCall{{101}, {"w1"}, target, board.self.id, 7, StartTask{{job.specification.id, 1}, 0, job.specification, {}}, testTimeout});
        } else if (const auto *started = std::get_if<TargetReply>(&event)) {
            auto job = board.jobs.rows().begin()->second;
            job.state = started->outcome == TargetOutcome::Accepted ? JobState::Running : JobState::Waiting;
            board.outbox.emplace_back(CallerReply{board.calls.rows().begin()->first, std::nullopt, job, std::nullopt, false});
        }
    }
}

}

class HostLoopPath : public testing::Test
{
protected:
    HostLoopPath()
        : m_store(m_loop, [](const HttpRequest &) { return HttpResponse{.body = R"({"header":{"revision":"42"},"succeeded":true})"}; })
        , m_target(m_loop,
                   [](const HttpRequest &request) {
                       const auto call = decodeTargetCall(request.path, request.body);
                       EXPECT_TRUE(call.ok()) << call.status();
                       return HttpResponse{.body = encodeTargetReply({call->id, call->target, TargetOutcome::Accepted, "", std::nullopt})};
                   })
        , m_host(
              m_loop,
              settings(),
              [](const LogEntry &) {},
              [this](Blackboard &board, const std::vector<Event> &events, TimePoint now, WallTime) {
                  board.now = now;
                  stepOneJob(board, events, m_target.address());
              })
    {
        m_host.board().configuration = withItem({}, Organisation{{"kask"}, 10, sha256Hex(callerToken)});
        m_host.board().configuration.version = 1;
        EXPECT_TRUE(m_host.start().ok());
    }

    HostLoopSettings settings() const
    {
        HostLoopSettings settings;
        settings.host.id = {"a1"};
        settings.host.availabilityZone = {"a"};
        settings.host.httpAddress = "127.0.0.1:0";
        settings.host.peerAddress = "127.0.0.1:0";
        settings.host.limits.stopLimit = Duration{100};
        settings.store.addresses = {m_store.address()};
        return settings;
    }

    HttpAnswer call(HttpCall request)
    {
        std::optional<HttpAnswer> answer;
        request.address = loopbackAddress(m_host.httpPort());
        request.timeout = testTimeout;
        m_client.send(request, [&answer](const HttpAnswer &received) { answer = received; });
        EXPECT_TRUE(m_loop.runUntil([&answer] { return answer.has_value(); }, testTimeout));
        return answer.value_or(HttpAnswer{});
    }

    EventLoop m_loop;
    HttpClient m_client{m_loop};
    LoopbackServer m_store;
    LoopbackServer m_target;
    HostLoop m_host;
};

TEST_F(HostLoopPath, submittedJobIsStoredThenStartedThenAnswered)
{
    const auto answer =
        call({.method = "POST", .path = "/v1/jobs", .body = R"({"requestId":"tie-1","tasks":1,"payload":"steam"})", .bearerToken = callerToken});

    EXPECT_EQ(200, answer.status) << answer.body;
    EXPECT_THAT(answer.body, HasSubstr(R"("state":"running")"));
    EXPECT_THAT(answer.body, HasSubstr(R"("requestId":"tie-1")"));
    ASSERT_EQ(1U, m_store.requests().size());
    EXPECT_EQ("/v3/kv/txn", m_store.requests()[0].path);
    ASSERT_EQ(1U, m_target.requests().size());
    EXPECT_EQ("/v1/start", m_target.requests()[0].path);
}

TEST_F(HostLoopPath, unknownTokenIsRefusedBeforeAnyStep)
{
    const auto answer = call({.method = "POST", .path = "/v1/jobs", .body = R"({"requestId":"tie-1"})", .bearerToken = "other"});

    EXPECT_EQ(401, answer.status);
    EXPECT_THAT(answer.body, HasSubstr(R"("reason":"unauthorised")"));
    EXPECT_THAT(answer.body, HasSubstr(R"("run":"no")"));
    EXPECT_TRUE(m_store.requests().empty());
}

// Guards against a request whose connection is cut because the core has not answered it when the time for a planned stop ends.
TEST_F(HostLoopPath, callThatIsOpenAtTheStopLimitIsAnsweredBeforeTheProcessExits)
{
    bool isStopped = false;
    m_host.setStoppedHandler([&isStopped] { isStopped = true; });
    RawClient client(m_loop, m_host.httpPort());
    client.send("DELETE /v1/jobs/tie-1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerToken + "\r\n\r\n");
    ASSERT_TRUE(m_loop.runUntil([this] { return m_host.callers().openCalls() == 1; }, testTimeout));

    m_host.requestStop();
    ASSERT_TRUE(m_loop.runUntil([&isStopped] { return isStopped; }, testTimeout));

    EXPECT_EQ(m_host.callers().openCalls(), 0U);
    m_loop.runUntil([&client] { return client.isClosedByPeer(); }, Duration{500});
    EXPECT_THAT(client.received(), testing::StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(client.received(), HasSubstr(R"("reason":"shuttingDown")"));
    EXPECT_THAT(client.received(), HasSubstr(R"("run":"unknown")"));
}

}
