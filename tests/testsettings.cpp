#include "app/log.h"
#include "app/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>

namespace sequoiastand
{

namespace
{

using testing::HasSubstr;

const std::string smallest = R"({
    // Comments are allowed.
    "host": {"id": "a1", "availabilityZone": "harju-a", "httpAddress": "127.0.0.1:8080", "peerAddress": "127.0.0.1:7443"},
    "store": {"addresses": ["127.0.0.1:2379"]}
})";

std::string errorOf(const std::string &key, const std::string &text)
{
    auto json = nlohmann::json::parse(smallest, nullptr, true, true);
    json[nlohmann::json::json_pointer(key)] = nlohmann::json::parse(text);
    const auto settings = settingsFromText(json.dump(), "a1.json");
    return settings.ok() ? "" : std::string(settings.status().message());
}

}

class SettingsFile : public testing::Test
{
};

TEST_F(SettingsFile, smallestFileTakesTheDefaults)
{
    const auto settings = settingsFromText(smallest, "a1.json");
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(HostId{"a1"}, settings->loop.host.id);
    EXPECT_EQ(Limits{}, settings->loop.host.limits);
    EXPECT_EQ(std::vector<std::string>{"127.0.0.1:2379"}, settings->loop.store.addresses);
}

TEST_F(SettingsFile, everyKindOfErrorNamesFilePathValueAndAllowedValues)
{
    EXPECT_THAT(errorOf("/host/colour", R"("red")"), HasSubstr("a1.json: host.colour: unknown key with value \"red\"; allowed keys are id, "));
    EXPECT_EQ("a1.json: host.id: invalid value 7; expected a name of 1 to 64 letters, digits, dots, hyphens or underscores", errorOf("/host/id", "7"));
    EXPECT_EQ("a1.json: limits.targetLeaseMs: invalid value 5; expected an integer from 10 to 600000", errorOf("/limits/targetLeaseMs", "5"));
    EXPECT_THAT(errorOf("/limits/stopLimitMs", "1e9"), HasSubstr("invalid value 1000000000.0; expected an integer"));
    EXPECT_THAT(errorOf("/limits/stopLimitMs", "18446744073709551615"), HasSubstr("expected an integer"));
    EXPECT_THAT(errorOf("/seeds", R"([{"id":"b1","availabilityZone":"b"}])"), HasSubstr("a1.json: seeds[0].peerAddress: missing; expected an IPv4 address"));
    EXPECT_THAT(errorOf("/store/addresses", R"(["store.example:2379"])"), HasSubstr("store.addresses: invalid value [\"store.example:2379\"]"));
    EXPECT_THAT(errorOf("/bootstrapAdministratorTokenHash", R"("secret")"), HasSubstr("sha256sum"));
}

TEST_F(SettingsFile, allErrorsAreReportedAtOnce)
{
    const auto settings = settingsFromText(R"({"store": {"addresses": []}, "http": {"maxConnections": 0}})", "a1.json");
    ASSERT_FALSE(settings.ok());
    const auto message = std::string(settings.status().message());
    EXPECT_THAT(message, HasSubstr("a1.json: host: missing"));
    EXPECT_THAT(message, HasSubstr("a1.json: store.addresses: invalid value []"));
    EXPECT_THAT(message, HasSubstr("a1.json: http.maxConnections: invalid value 0"));
}

TEST_F(SettingsFile, textThatIsNotJsonNamesTheFile)
{
    EXPECT_THAT(std::string(settingsFromText("{", "a1.json").status().message()), HasSubstr("a1.json: not JSON with comments"));
}

class RepeatedLogEntries : public testing::Test
{
protected:
    static constexpr TimePoint start{Duration{1'000}};
    RepeatFilter m_filter;
};

// Guards against a log line for every retry of a failing store call.
TEST_F(RepeatedLogEntries, sameMessageWithOtherNumbersIsWrittenOncePerPeriod)
{
    const LogEntry first{"callStore", "store", "", "silent for 210 ms", true};
    const LogEntry again{"callStore", "store", "", "silent for 345 ms", true};
    EXPECT_EQ((LogLine{first, 0}), filterRepeat(m_filter, first, start));
    EXPECT_EQ(std::nullopt, filterRepeat(m_filter, again, start + Duration{1}));
    EXPECT_EQ(std::nullopt, filterRepeat(m_filter, again, start + m_filter.period - Duration{1}));
    EXPECT_EQ((LogLine{again, 2}), filterRepeat(m_filter, again, start + m_filter.period));
}

TEST_F(RepeatedLogEntries, otherPeerIsAnotherMessage)
{
    EXPECT_TRUE(filterRepeat(m_filter, {"callStore", "a", "", "silent", true}, start));
    EXPECT_TRUE(filterRepeat(m_filter, {"callStore", "b", "", "silent", true}, start));
}

TEST_F(RepeatedLogEntries, memoryIsBounded)
{
    for (int index = 0; index < 5'000; ++index) {
        filterRepeat(m_filter, {"step", std::string(static_cast<std::size_t>(index % 2'500), 'x'), "", "m", true}, start);
    }
    EXPECT_LE(m_filter.recentEntries.size(), 1'000U);
}

// Guards against losing the reason of a change of owner among the ends of thousands of tasks.
TEST_F(RepeatedLogEntries, floodOfLinesAboutJobsLeavesRoomForOthers)
{
    LogRateLimit rate;
    const int written = static_cast<int>(std::ranges::count_if(std::views::iota(0, 2'000), [&](int) { return allowLine(rate, true, start); }));
    EXPECT_EQ(rate.jobLinesPerSecond, written);
    EXPECT_TRUE(allowLine(rate, false, start));
    const int others = static_cast<int>(std::ranges::count_if(std::views::iota(0, 2'000), [&](int) { return allowLine(rate, false, start); }));
    EXPECT_EQ(rate.linesPerSecond, written + 1 + others);
    EXPECT_EQ(2'000 - written + 2'000 - others, takeSuppressed(rate, start + Duration{1'000}));
}

TEST_F(RepeatedLogEntries, lineIsOneJsonObject)
{
    const auto text = logText({{"callStore", "127.0.0.1:1", "", "line\nbreak \"quoted\" \xff", true}, 3}, "a1", WallTime{Duration{1'700'000'000'123}});
    EXPECT_EQ(std::string::npos, text.find('\n'));
    const auto json = nlohmann::json::parse(text);
    EXPECT_EQ("2023-11-14T22:13:20.123Z", json["time"]);
    EXPECT_EQ("error", json["level"]);
    EXPECT_EQ(3, json["suppressed"]);
    EXPECT_FALSE(json.contains("job"));
}

}
