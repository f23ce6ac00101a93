#include "platform/standin/platformwriter.h"
#include "standins/samplequeues.h"
#include "tests/loopback.h"
#include "tests/servefixture.h"

#include <absl/strings/str_cat.h>

#include <optional>

namespace sequoiastand
{

/// A host process whose configuration has as many queues as four changes of a day in which operators add 1,400 each.
struct LargeConfigurationMemory : ServeTest
{
    static QueueConfiguration withQueues(int count, long long version)
    {
        QueueConfiguration configuration;
        configuration.version = version;
        configuration.services.emplace(ServiceId{"p"}, Service{{"p"}, false, false, "/health"});
        auto pattern = sampleQueues().front();
        pattern.host = "p"; // Longer names exceed the store's limit for a value.
        pattern.service = {"p"};
        for (int number = 0; number < count; ++number) {
            auto queue = pattern;
            queue.id = {absl::StrCat("r", number)};
            queue.prefix = absl::StrCat("/r", number, "/");
            configuration.queues.emplace(queue.id, queue);
        }
        return configuration;
    }

    /// Status of the answer to a query without a key: 401 if the queue is known, otherwise 404.
    int statusOfQuery(int route)
    {
        HttpCall call;
        call.method = "GET";
        call.address = loopbackAddress(callerPort);
        call.path = absl::StrCat("/r", route, "/5c0e7a21d94b36f8");
        call.headers = {"Host: p"};
        call.timeout = answerTimeout;
        std::optional<HttpAnswer> answer;
        http.send(call, [&answer](const HttpAnswer &received) { answer = received; });
        loop.runUntil([&answer] { return answer.has_value(); }, answerTimeout);
        return answer ? answer->status : 0;
    }

    HttpClient http{loop};
};

// Guards against a host that is ended for its memory while it receives a configuration with thousands of queues.
TEST_F(LargeConfigurationMemory, hostThatReceivesItAgainAndAgainKeepsWithinItsMachine)
{
    ASSERT_NO_FATAL_FAILURE(startServiceHost());
    RecordProperty("configurationBytes", std::to_string(configurationText(withQueues(5'600, 1)).size()));
    for (int version = 1; version <= 8; ++version) {
        putItem(platformStore, configurationItemName(), configurationText(withQueues(5'600, 1'000 + version)));
        run(Duration{700});
    }
    EXPECT_TRUE(loop.runUntil([this] { return statusOfQuery(5'599) == 401; }, answerTimeout));
    EXPECT_EQ(statusOfQuery(5'600), 404);
    EXPECT_EQ(statusOf(readinessPort, "/sequoiastand/ready"), 200);
    expectWithinMachine(machineConnections);
}

}
