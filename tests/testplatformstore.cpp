#include "platform/platformrecords.h"
#include "platform/storecodec.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace sequoiastand
{

using Json = nlohmann::json;

/// Tests the encoding of calls to the platform's store and the decoding of its responses.
struct PlatformStoreCodec : testing::Test
{
    static std::string item(const std::string &key, const std::string &value, Revision revision = 7)
    {
        return Json{{"key", key}, {"value", absl::Base64Escape(value)}, {"revision", revision}, {"created", revision}, {"lease", 0}}.dump();
    }

    static std::string registration(const std::string &state = "ready")
    {
        return R"({"service":"press","address":"10.0.0.9:80","zone":"a","version":"v1","slots":8,"state":")" + state
               + R"(","coldRemainingMs":0,"capacity":{"cpu":32000,"memMb":131072,"gpu":8},"labels":["kind","r1"],"born":1700,"seq":4})";
    }

    static StoreCall transaction()
    {
        StoreTransaction request;
        request.conditions.push_back({queueConfigurationKey(), 12});
        request.writes.push_back({domainOwnerKey(), DomainOwner{{"h1"}, 3}, 0, true});
        request.writes.push_back({workflowKey({"00000000000000aa"}), std::nullopt, std::nullopt, false});
        return {CallId{5}, request, 77, Duration{400}};
    }

    static StoreReply reply(int status, const std::string &body)
    {
        return decodePlatformStoreReply(transaction(), status, body);
    }
};

TEST_F(PlatformStoreCodec, transactionCarriesConditionsWritesAndRemovals)
{
    const auto call = encodePlatformStoreCall(transaction());
    EXPECT_EQ(call.method, "POST");
    EXPECT_EQ(call.path, "/sequoiastand/kv-txn");
    const auto body = Json::parse(call.body);
    ASSERT_EQ(body["precondition"].size(), 2U);
    EXPECT_EQ(body["precondition"][0], (Json{{"key", "op/config"}, {"revision", 12}}));
    EXPECT_EQ(body["precondition"][1], (Json{{"key", "sequoiastand/domain/owner"}, {"revision", 0}}));
    ASSERT_EQ(body["setKeys"].size(), 1U);
    EXPECT_EQ(body["setKeys"][0]["lease"], 77);
    EXPECT_EQ(body["remove"], Json::array({"sequoiastand/intake/workflow/00000000000000aa"}));
}

TEST_F(PlatformStoreCodec, keysAreTranslatedInBothDirections)
{
    for (const auto &key : {queueConfigurationKey(), zoneEvacuationKey({"a"}), targetRegistrationKey({"i-1"}), domainOwnerKey(), workflowKey({"ab"})}) {
        EXPECT_EQ(productKey(platformKey(key)), key) << key.path;
    }
    EXPECT_EQ(platformKey(zoneEvacuationKey({"a"})), "op/evacuate/a");
    EXPECT_EQ(platformKey(targetRegistrationKey({"i-1"})), "servers/i-1");
    EXPECT_FALSE(productKey("another/product"));
}

TEST_F(PlatformStoreCodec, statusDecidesWhetherACallMayHaveHadItsEffect)
{
    EXPECT_EQ(reply(200, R"({"revision":9})").outcome, StoreOutcome::Applied);
    EXPECT_EQ(reply(200, R"({"revision":9})").revision, 9);
    for (const int status : {400, 403, 404, 429, 503}) {
        EXPECT_EQ(reply(status, "{}").outcome, StoreOutcome::NotSent) << status;
    }
    for (const int status : {500, 502, 504}) {
        EXPECT_EQ(reply(status, "{}").outcome, StoreOutcome::Unknown) << status;
    }
}

TEST_F(PlatformStoreCodec, truncatedAnswerIsUnknown)
{
    EXPECT_EQ(reply(200, R"({"revisi)").outcome, StoreOutcome::Unknown);
    EXPECT_EQ(reply(200, "[]").outcome, StoreOutcome::Unknown);
}

TEST_F(PlatformStoreCodec, conflictReturnsTheCurrentItems)
{
    const auto owner = item("sequoiastand/domain/owner", R"({"host":"h2","incarnation":4})", 31);
    const auto answer = reply(412, R"({"items":[)" + owner + "]}");
    ASSERT_EQ(answer.outcome, StoreOutcome::Conflict);
    ASSERT_EQ(answer.entries.size(), 1U);
    EXPECT_EQ(answer.entries.front(), (StoreEntry{domainOwnerKey(), DomainOwner{{"h2"}, 4}, 31}));
}

TEST_F(PlatformStoreCodec, leaseThatHasEndedIsAnAnswer)
{
    const StoreCall renewal{CallId{1}, StoreLeaseKeepAlive{4}, 0, Duration{400}};
    EXPECT_EQ(decodePlatformStoreReply(renewal, 404, "{}").outcome, StoreOutcome::Applied);
    EXPECT_EQ(decodePlatformStoreReply(renewal, 404, "{}").leaseTimeToLive, Duration{0});
    EXPECT_EQ(decodePlatformStoreReply(renewal, 200, R"({"ttlMs":1500})").leaseTimeToLive, Duration{1'500});
}

TEST_F(PlatformStoreCodec, invalidEntryIsNamedAndLeftOut)
{
    const auto valid = item("servers/i-1", registration());
    const auto items =
        valid + "," + item("servers/i-2", registration("melting")) + "," + item("servers/i-3", "\xff\xfe") + "," + item("servers/i-4", R"({"service":5})");
    const auto page = decodeRangePage(R"({"items":[)" + items + R"(],"hasMore":true,"currentRev":40})");
    ASSERT_TRUE(page.ok());
    ASSERT_EQ(page->entries.size(), 1U);
    EXPECT_EQ(page->entries.front().key, targetRegistrationKey({"i-1"}));
    EXPECT_EQ(page->unreadable.size(), 3U);
    EXPECT_EQ(page->lastKey, "servers/i-4");
    EXPECT_TRUE(page->hasMore);
}

TEST_F(PlatformStoreCodec, registrationIsDecodedIntoTheProductsTerms)
{
    const auto record = readPlatformRecord(targetRegistrationKey({"i-1"}), registration("draining"));
    ASSERT_TRUE(record.ok());
    const auto &target = std::get<TargetRegistration>(*record);
    EXPECT_EQ(target.instance, (TargetInstance{{"i-1"}, 1'700}));
    EXPECT_EQ(target.rack, RackId{"r1"});
    EXPECT_EQ(target.capacity, (Resources{32'000, 131'072, 8}));
    EXPECT_TRUE(target.isDraining);
}

TEST_F(PlatformStoreCodec, watchKeepsTheNewestStateOfEachKey)
{
    // Guards against a deletion that removes a newer value of the same key, and against keeping the old value when the new one cannot be decoded.
    const std::string tombstone = R"({"key":"servers/i-1","revision":8,"tombstone":true})";
    const auto recreated = item("servers/i-1", registration(), 9);
    const auto unreadable = item("servers/i-2", "x", 10);
    const auto page = decodeWatchPage(R"({"events":[)" + tombstone + "," + recreated + "," + unreadable + R"(],"currentRev":10})");
    ASSERT_TRUE(page.ok());
    EXPECT_EQ(page->changes.revision, 10);
    ASSERT_EQ(page->changes.put.size(), 1U);
    EXPECT_EQ(page->changes.put.front().revision, 9);
    EXPECT_EQ(page->changes.deleted, std::vector<StoreKey>{targetRegistrationKey({"i-2"})});
}

// Guards against a host that takes an owner key that was removed, or replaced, for the present one until its next proof.
TEST_F(PlatformStoreCodec, watchLeavesOutStatesOfAKeyThatWereReplaced)
{
    const auto owner = [](const std::string &host, int revision) {
        return item("sequoiastand/domain/owner", R"({"host":")" + host + R"(","incarnation":4})", revision);
    };
    const std::string removal = R"({"key":"sequoiastand/domain/owner","revision":9,"tombstone":true})";
    const auto removed = decodeWatchPage(R"({"events":[)" + owner("h1", 8) + "," + removal + R"(],"currentRev":9})");
    ASSERT_TRUE(removed.ok());
    EXPECT_TRUE(removed->changes.put.empty());
    EXPECT_EQ(removed->changes.deleted, std::vector<StoreKey>{domainOwnerKey()});
    const auto replaced = decodeWatchPage(R"({"events":[)" + owner("h1", 8) + "," + removal + "," + owner("h2", 10) + R"(],"currentRev":10})");
    ASSERT_TRUE(replaced.ok());
    ASSERT_EQ(replaced->changes.put.size(), 1U);
    EXPECT_EQ(replaced->changes.put.front().revision, 10);
    EXPECT_TRUE(replaced->changes.deleted.empty());
}

TEST_F(PlatformStoreCodec, pathsPercentEncodeReservedCharacters)
{
    EXPECT_EQ(encodeRangePage(targetRegistrationKey({""}), "servers/a b&c").path, "/sequoiastand/kv-range?prefix=servers/&after=servers/a%20b%26c");
    EXPECT_EQ(encodeWatchPage("intake/", 41, Duration{1'000}).path, "/sequoiastand/kv-watch?prefix=sequoiastand/intake/&after=41&waitMs=1000");
}

TEST_F(PlatformStoreCodec, configurationIsDecodedIntoQueuesServicesAndShares)
{
    const std::string text = R"({"version":7,"routes":[{"name":"r1","host":"h.example","prefix":"/a/","kind":"non_idempotent","timeoutMs":3000,
        "targetLatencyMs":250,"priority":0,"service":"press","maxAttempts":2,"stretch":1.5,"anonymous":false,"new":"field",
        "advice":{"decisionMs":20,"periodMs":2,"validityMs":3000}}],"services":[{"name":"press","healthPath":"/health","rejectsOverload":true}],
        "limits":{"maxBodyBytes":1000},"tenants":[{"name":"t1","apiKeys":["k1","k2"],"guaranteed":{"gpu":72},"weight":4,"cap":{"cpu":4033730,"memMb":0,"gpu":500}},
        {"name":"t2","apiKeys":[]}]})";
    const auto record = readPlatformRecord(queueConfigurationKey(), text);
    ASSERT_TRUE(record.ok()) << record.status();
    const auto &configuration = std::get<QueueConfiguration>(*record);
    const auto &queue = configuration.queues.at({"r1"});
    EXPECT_EQ(queue.stretch, 1.5);
    EXPECT_EQ(queue.latencyTarget, Duration{250});
    EXPECT_EQ(queue.advice, (AdviceTerms{Duration{20}, Duration{2}, Duration{3'000}}));
    EXPECT_TRUE(configuration.services.at({"press"}).rejectsOverload);
    EXPECT_EQ(configuration.organisations.at({"t1"}).guaranteedAccelerators, 72);
    EXPECT_EQ(configuration.organisations.at({"t1"}).cap, (ResourceCap{4'033'730, std::nullopt, 500}));
    EXPECT_EQ(configuration.organisations.at({"t1"}).weight, 4);
    EXPECT_EQ(configuration.organisations.at({"t2"}), (OrganisationShare{{"t2"}}));
    EXPECT_EQ(configuration.keys.at("k2"), OrganisationId{"t1"});
    EXPECT_EQ(configuration.maxBodyBytes, 1'000U);
}

}
