#include "wire/recordjson.h"
#include "wire/storejson.h"

#include <absl/strings/escaping.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace sequoiastand
{

namespace
{

using nlohmann::json;
using testing::HasSubstr;

std::string base64(const std::string &text)
{
    return absl::Base64Escape(text);
}

json keyValue(const std::string &key, const std::string &value, const std::string &revision)
{
    return {{"key", base64("sequoiastand/" + key)}, {"value", base64(value)}, {"mod_revision", revision}};
}

/// Returns a record of every type with its key.
std::vector<std::pair<StoreKey, StoreRecord>> sampleRecords()
{
    Job job;
    job.specification.id = {{"kask"}, {"tie-1"}};
    job.explanation = "waits for a rack";
    const ConfigurationChange change{3, {"mari"}, {"c1"}, WallTime{Duration{5}}, "drain rack \"r1\""};
    std::vector<std::pair<StoreKey, StoreRecord>> records{{jobKey(job.specification.id), job},
                                                          {configurationVersionKey(), ConfigurationVersion{3, {"mari"}, {"c1"}}},
                                                          {configurationHistoryKey(3), change},
                                                          {configurationCommandKey({"c1"}), change},
                                                          {zoneOwnerKey({"a"}), ZoneOwner{{"a1"}, 2, 3}},
                                                          {hostKey({"a1"}), HostRecord{{"a1"}, {"a"}, "127.0.0.1:1", "127.0.0.1:2", 4}},
                                                          {ledgerKey(WallTime{}, {"a"}, 1), LedgerBatch{{job}}},
                                                          {accessFenceKey(), AccessFence{7}}};
    const std::vector<ConfigurationItem> items{Organisation{{"kask"}, 7, "ab"},
                                               Guarantee{"g", {"kask"}, {"a"}, {8, 2, 3, 4}},
                                               AvailabilityZone{{"a"}, "harju", true, Duration{5}, Duration{6}},
                                               Team{{"t"}, {"kask"}, 9},
                                               Drain{DrainScope::Rack, "r1"},
                                               Drain{DrainScope::Target, "w1"},
                                               OperatorAccount{{"mari"}, OperatorRole::Administrator, "cd"}};
    for (const auto &item : items) {
        records.emplace_back(configurationItemKey(itemPath(item)), item);
    }
    return records;
}

}

class StoreJson : public testing::Test
{
};

TEST_F(StoreJson, everyRecordSurvivesARoundTrip)
{
    for (const auto &[key, record] : sampleRecords()) {
        const auto read = storeRecordFromJson(toJson(record), key);
        ASSERT_TRUE(read.ok()) << read.status();
        EXPECT_EQ(record, *read) << key.path;
    }
}

// Guards against applying an item that is stored under another item's key as that other item, which could end a guarantee.
TEST_F(StoreJson, itemUnderAnotherItemsKeyIsAnError)
{
    const auto read = storeRecordFromJson(toJson(ConfigurationItem(Team{{"t"}, {"kask"}, 9})), configurationItemKey("team/other"));
    ASSERT_FALSE(read.ok());
    EXPECT_THAT(std::string(read.status().message()), HasSubstr("team/other: holds the item of team/t"));
}

TEST_F(StoreJson, conditionalWriteComparesTheModRevisionAndReadsBackOnFailure)
{
    const StoreTransaction transaction{
        {{zoneOwnerKey({"a"}), ZoneOwner{{"a1"}, 2, 3}, Revision{0}, true}, {hostKey({"a2"}), std::nullopt, std::nullopt, false}}};
    const auto encoded = encodeStoreCall({{1}, transaction, 77, Duration{5}});

    EXPECT_EQ("/v3/kv/txn", encoded.path);
    const auto body = json::parse(encoded.body);
    ASSERT_EQ(1U, body["compare"].size());
    EXPECT_EQ(json({{"key", base64("sequoiastand/zones/a/owner")}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", "0"}}), body["compare"][0]);
    EXPECT_EQ("77", body["success"][0]["request_put"]["lease"]);
    EXPECT_TRUE(body["success"][1].contains("request_delete_range"));
    EXPECT_EQ(2U, body["failure"].size());
}

TEST_F(StoreJson, conflictReturnsTheCurrentEntries)
{
    const auto value = toJson(StoreRecord(ZoneOwner{{"b1"}, 9, 4})).dump();
    const json body{{"header", {{"revision", "50"}}}, {"responses", {{{"response_range", {{"kvs", {keyValue("zones/a/owner", value, "48")}}}}}}}};
    const auto reply = decodeStoreReply({{1}, StoreTransaction{}, 0, {}}, body.dump(), "store");

    ASSERT_TRUE(reply.ok()) << reply.status();
    EXPECT_EQ(StoreOutcome::Conflict, reply->outcome);
    EXPECT_EQ(50, reply->revision);
    ASSERT_EQ(1U, reply->entries.size());
    EXPECT_EQ((StoreEntry{zoneOwnerKey({"a"}), ZoneOwner{{"b1"}, 9, 4}, 48}), reply->entries[0]);
}

TEST_F(StoreJson, unreadableEntryIsNamedAndTheOthersAreKept)
{
    const auto value = toJson(StoreRecord(ZoneOwner{{"b1"}, 9, 4})).dump();
    const json body{{"kvs", {keyValue("zones/a/owner", "{", "1"), keyValue("zones/b/owner", value, "2")}}};
    const auto reply = decodeStoreReply({{1}, StoreRange{{"zones/"}, true}, 0, {}}, body.dump(), "store");

    ASSERT_TRUE(reply.ok());
    EXPECT_EQ(1U, reply->entries.size());
    EXPECT_THAT(reply->error, HasSubstr("zones/a/owner"));
}

TEST_F(StoreJson, expiredLeaseHasNoTimeToLive)
{
    const auto reply = decodeStoreReply({{1}, StoreLeaseKeepAlive{5}, 0, {}}, R"({"result":{"header":{"revision":"3"},"ID":"5"}})", "store");
    ASSERT_TRUE(reply.ok()) << reply.status();
    EXPECT_EQ(Duration{0}, reply->leaseTimeToLive);
    EXPECT_EQ(5, reply->lease);
}

TEST_F(StoreJson, answerThatIsNotJsonNamesThePeer)
{
    for (const std::string body : {"", "<html>", "[]", R"({"header":{"revision":"x"}})"}) {
        const auto reply = decodeStoreReply({{1}, StoreRange{}, 0, {}}, body, "127.0.0.1:2379");
        ASSERT_FALSE(reply.ok()) << body;
        EXPECT_THAT(std::string(reply.status().message()), HasSubstr("127.0.0.1:2379"));
    }
}

// Guards against skipped changes: the header's revision may be ahead of the changes in a message, so a watch must not resume after the header.
TEST_F(StoreJson, watchMessageResumesAfterItsLastChange)
{
    const json line{{"result",
                     {{"header", {{"revision", "90"}}},
                      {"events", {{{"kv", keyValue("zones/a/owner", "{}", "70")}}, {{"type", "DELETE"}, {"kv", keyValue("hosts/a2", "", "71")}}}}}}};
    const auto message = decodeWatchMessage(line.dump(), "store");
    ASSERT_TRUE(message.ok()) << message.status();
    EXPECT_EQ(71, message->changes.revision);
    EXPECT_EQ(std::vector<StoreKey>{hostKey({"a2"})}, message->changes.deleted);
    EXPECT_EQ(1U, message->unreadable.size());
}

TEST_F(StoreJson, deeplyNestedAnswersAreErrorsAndDoNotExhaustTheStack)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    EXPECT_FALSE(decodeStoreReply({CallId{1}, StoreRange{}, 0, Duration{1}}, deep, "store").ok());
    EXPECT_FALSE(decodeWatchMessage(deep, "store").ok());
    EXPECT_FALSE(storeErrorText(deep).empty());
    const json answer{{"header", {{"revision", "3"}}}, {"kvs", {keyValue("config/version", deep, "3")}}};
    const auto reply = decodeStoreReply({CallId{1}, StoreRange{configurationVersionKey(), false}, 0, Duration{1}}, answer.dump(), "store");
    EXPECT_TRUE(!reply.ok() || reply->entries.empty());
}

}
