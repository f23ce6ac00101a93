#include "standins/keyvaluejson.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace sequoiastand
{

struct KeyValueJson : testing::Test
{
    static KeyValueRequest read(const std::string &path, const nlohmann::json &body)
    {
        const auto request = keyValueRequestFromJson(path, body);
        EXPECT_TRUE(request.ok()) << request.status();
        return request.ok() ? *request : KeyValueRequest{};
    }
};

// Guards against a stand-in that accepts only a part of the protocol, so that tests would refuse clients that the real service accepts.
TEST_F(KeyValueJson, integersAndNamesAreReadInBothForms)
{
    const KeyValueTransaction expected{
        {{"a", CompareTarget::ModRevision, CompareResult::Equal, 7, ""}}, {KeyValuePut{"a", "1", 9}}, {KeyValueRange{{"a", "b"}}}};
    const auto camel = nlohmann::json::parse(R"({"compare": [{"target": "MOD", "key": "YQ==", "modRevision": "7"}],
        "success": [{"requestPut": {"key": "YQ==", "value": "MQ==", "lease": "9"}}], "failure": [{"requestRange": {"key": "YQ==", "rangeEnd": "Yg=="}}]})");
    const auto snake = nlohmann::json::parse(R"({"compare": [{"target": "MOD", "result": "EQUAL", "key": "YQ==", "mod_revision": 7}],
        "success": [{"request_put": {"key": "YQ==", "value": "MQ==", "lease": 9}}], "failure": [{"request_range": {"key": "YQ==", "range_end": "Yg=="}}]})");
    EXPECT_EQ(read("/v3/kv/txn", camel), KeyValueRequest{expected});
    EXPECT_EQ(read("/v3/kv/txn", snake), KeyValueRequest{expected});
    EXPECT_EQ(read("/v3/lease/grant", {{"TTL", "10"}}), (KeyValueRequest{KeyValueLeaseGrant{0, Duration{10'000}}}));
}

TEST_F(KeyValueJson, faultyBodyIsRefused)
{
    EXPECT_FALSE(keyValueRequestFromJson("/v3/kv/put", {{"key", "not base64!"}}).ok());
    EXPECT_FALSE(keyValueRequestFromJson("/v3/kv/put", {{"kex", "YQ=="}}).ok());
    EXPECT_FALSE(keyValueRequestFromJson("/v3/kv/txn", nlohmann::json::parse(R"({"success": [{}]})")).ok());
    EXPECT_EQ(httpStatus(keyValueRequestFromJson("/v3/kv/move", nlohmann::json::object()).status()), 404);
}

TEST_F(KeyValueJson, defaultValuesAreLeftOut)
{
    KeyValueAnswer answer;
    answer.revision = 5;
    answer.rows = {{"a", "", 2, 3, 1, 0}};
    answer.count = 1;
    const auto json = keyValueAnswerToJson(KeyValueRange{}, answer);
    EXPECT_EQ(json["kvs"], nlohmann::json::parse(R"([{"key": "YQ==", "create_revision": "2", "mod_revision": "3", "version": "1"}])"));
    EXPECT_EQ(json["header"]["revision"], "5");
    const auto deletion = watchChangesToJson(6, {{"a", "", 0, 6, 0, 0}});
    EXPECT_EQ(deletion["result"]["events"][0]["type"], "DELETE");
}

}
