#include "platform/platformrecords.h"
#include "platform/storecodec.h"
#include "platform/targetcodec.h"
#include "wire/jsonfields.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace sequoiastand
{

namespace
{

/// Returns the text with some bytes replaced, removed, repeated or inserted, as a different writer or a broken connection might produce it.
std::string mutated(std::string text)
{
    static const std::vector<std::string> fragments{
        "{", "}", "[", "]", "\"", ",", ":", "null", "-1", "1e99", "99999999999999999999", "\\u0000", "\xff", "true", "{}"};
    const int changes = *rc::gen::inRange(0, 6);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        const auto at = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(text.size())));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
            break;
        case 1:
            text.erase(at, static_cast<std::size_t>(*rc::gen::inRange(1, 20)));
            break;
        case 2:
            text.insert(at, fragments.at(static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(fragments.size())))));
            break;
        default:
            text.insert(at, text.substr(at, static_cast<std::size_t>(*rc::gen::inRange(1, 30))));
        }
    }
    return text;
}

}

/// Tests the decoders of the platform adapter with randomly changed input. No decoder may throw, crash, or return an empty result for invalid input.
struct PlatformFuzz : testing::Test
{
    /// Checks a property. The environment variable RC_PARAMS sets the seed and the number of cases, for example "seed=7 max_success=100000".
    template<typename Property>
    static void check(const std::string &name, const Property &property)
    {
        EXPECT_TRUE(rc::check(name, property)) << name;
    }
};

TEST_F(PlatformFuzz, submissionsAreReadOrRefused)
{
    check("submission", [] {
        const auto read =
            readSubmission(mutated(R"({"spec":"p","steps":[{"count":4,"cpu":500,"memMb":256,"after":[0],"gang":true}],"times":2,"startAtMs":5})"));
        if (read.ok()) {
            findSpecificationError(*read);
        }
    });
}

TEST_F(PlatformFuzz, recordsOfTheStoreAreReadOrNamed)
{
    const std::vector<std::pair<StoreKey, std::string>> records{
        {queueConfigurationKey(), R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","service":"s"}],"services":[{"name":"s"}],"tenants":[]})"},
        {targetRegistrationKey({"i"}), R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready","capacity":{"cpu":1},"labels":["k","r"],"born":1})"},
        {workflowProgressKey({"ab"}), R"({"state":"running","occurrences":[[0,[[[false,1,0,"",["i",3]]]]]],"finished":0})"},
        {domainSummaryKey(), R"({"waiting":{"q":3},"shapes":[{"service":"s","milliCpu":5,"labels":[],"seenAtMs":4}]})"},
        {domainOwnerKey(), R"({"host":"h","incarnation":4})"},
        {accessFenceKey(), R"({"configuration":4})"},
    };
    for (const auto &[key, text] : records) {
        check(key.path, [key = key, text = text] { readPlatformRecord(key, mutated(text)).status().IgnoreError(); });
    }
}

TEST_F(PlatformFuzz, answersOfTheStoreAreReadOrUnknown)
{
    const std::string item = R"({"key":"servers/i-1","value":"e30=","revision":4,"created":4,"lease":0})";
    check("range", [item] { decodeRangePage(mutated(R"({"items":[)" + item + R"(],"hasMore":false,"currentRev":9})")).status().IgnoreError(); });
    check("watch", [item] {
        decodeWatchPage(mutated(R"({"events":[)" + item + R"(,{"key":"op/a","revision":5,"tombstone":true}],"currentRev":9})")).status().IgnoreError();
    });
    check("transaction", [item] {
        const StoreCall call{CallId{1}, StoreTransaction{}, 0, Duration{400}};
        decodePlatformStoreReply(call, *rc::gen::element(200, 404, 412, 503, 500), mutated(R"({"revision":4,"items":[)" + item + "]}"));
    });
    check("lease", [] { decodePlatformStoreReply({CallId{1}, StoreLeaseGrant{Duration{5}}, 0, Duration{400}}, 200, mutated(R"({"lease":4,"ttlMs":5})")); });
}

TEST_F(PlatformFuzz, listsOfTargetsAreReadOrUnknown)
{
    check("lists", [] {
        const TargetOrder holdOrder{CallId{3}, {"i-1"}, "10.0.0.9:80", 7, HoldRuns{}, Duration{500}};
        const auto body =
            mutated(R"({"clockMs":4,"born":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41]],"endedRuns":[[5,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
        const auto reply = decodeTargetReply(holdOrder, 200, body);
        RC_ASSERT(reply.lists.has_value() == (reply.outcome == OrderOutcome::Accepted));
    });
}

TEST_F(PlatformFuzz, refusalsOfTargetsAreRead)
{
    check("refusal", [] {
        const TargetOrder stop{CallId{3}, {"i-1"}, "10.0.0.9:80", 7, StopRun{}, Duration{500}};
        decodeTargetReply(stop, *rc::gen::element(200, 400, 409, 421, 429, 500, 503), mutated(R"({"clockMs":4,"reason":"room","extra":[1,null]})"));
    });
}

}
