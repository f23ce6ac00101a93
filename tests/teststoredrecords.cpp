#include "platform/platformrecords.h"
#include "platform/storecodec.h"
#include "platform/targetcodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

namespace sequoiastand
{

namespace
{

using Json = nlohmann::json;

template<typename Number>
Number anyNumber()
{
    using Limits = std::numeric_limits<Number>;
    return *rc::gen::oneOf(rc::gen::arbitrary<Number>(), rc::gen::element<Number>(Limits::min(), Limits::max(), -1, 0, 1));
}

/// Text of characters that JSON or keys treat differently, all in valid UTF-8.
std::string anyText()
{
    static const std::vector<std::string> pieces{"a",
                                                 "\"",
                                                 "\\",
                                                 "/",
                                                 "\n",
                                                 "\x01",
                                                 std::string(1, '\0'),
                                                 "\x7f",
                                                 "%2F",
                                                 "\xc3\xa9",
                                                 "\xe2\x80\xa8",
                                                 "\xf0\x9f\x98\x80",
                                                 "\\u0000",
                                                 "\\ud800",
                                                 "{",
                                                 "]"};
    std::string text;
    for (const auto &piece : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(pieces))) {
        text += piece;
    }
    return *rc::gen::inRange(0, 20) == 0 ? text + std::string(20'000, 'x') : text;
}

WallTime anyWallTime()
{
    return WallTime{Duration{anyNumber<long long>()}};
}

TaskProgress anyTask()
{
    TaskProgress task{*rc::gen::arbitrary<bool>(), anyNumber<int>(), anyNumber<int>(), anyText(), {}};
    if (*rc::gen::arbitrary<bool>()) {
        task.place = TargetInstance{{anyText()}, anyNumber<long long>()};
    }
    return task;
}

WorkflowProgress anyProgress()
{
    WorkflowProgress progress;
    progress.state =
        *rc::gen::element(WorkflowState::Queued, WorkflowState::Running, WorkflowState::Completed, WorkflowState::Failed, WorkflowState::Cancelled);
    progress.organisation = {anyText()};
    progress.queue = {anyText()};
    for (int occurrence = *rc::gen::inRange(0, 5); occurrence > 0; --occurrence) {
        auto &steps = progress.occurrences[anyNumber<int>()].steps;
        steps.resize(static_cast<std::size_t>(*rc::gen::inRange(0, 4)));
        for (auto &step : steps) {
            // The drawn tasks are repeated, because drawing each of a wide step would take long.
            step = StepProgress(static_cast<std::size_t>(*rc::gen::inRange(0, 231)), anyTask());
            step.push_back(anyTask());
        }
    }
    progress.finishedOccurrences = anyNumber<int>();
    progress.finishedOutOfOrder = *rc::gen::arbitrary<std::vector<int>>();
    progress.lostRuns.insert({anyNumber<int>(), anyNumber<int>(), anyNumber<int>(), anyNumber<int>()});
    if (*rc::gen::arbitrary<bool>()) {
        progress.endedAt = anyWallTime();
    }
    return progress;
}

/// Body of a submission with values up to and over the limits that the decoder sets.
std::string anySubmission()
{
    const auto number = [] { return *rc::gen::inRange(0, 20) == 0 ? anyNumber<long long>() : *rc::gen::element(0LL, 1LL, 230LL, 2'147'483'647LL); };
    Json steps = Json::array();
    for (int left = *rc::gen::inRange(1, 5); left > 0; --left) {
        Json step{{"affinity", anyText()}, {"requiredLabel", anyText()}, {"image", anyText()}, {"gang", *rc::gen::arbitrary<bool>()}};
        for (const auto *name : {"count", "cpu", "memMb", "gpu", "estimateMs", "maxPerServer", "targetMs", "maxUnavailable"}) {
            if (*rc::gen::inRange(0, 4) == 0) {
                step[name] = number();
            }
        }
        if (*rc::gen::inRange(0, 4) == 0) {
            step["after"].push_back(number());
        }
        steps.push_back(std::move(step));
    }
    Json body{{"spec", anyText()}, {"steps", std::move(steps)}};
    if (*rc::gen::arbitrary<bool>()) {
        body["times"] = *rc::gen::inRange(0, 10'001);
        body["startAtMs"] = number();
        body["intervalMs"] = number();
    }
    return body.dump();
}

}

/// Encodes the records that hosts of a service domain write, and decodes them from the store's answers. The state of an accepted workflow whose record cannot
/// be decoded is refused by every host.
struct StoredRecords : testing::Test
{
    /// Reads the record as another host does: in an answer of the store to a read of the key.
    static StoreReply readBack(const StoreKey &key, const StoreRecord &record)
    {
        const StoreCall write{CallId{1}, StoreTransaction{{{key, record, std::nullopt, false}}, {}}, 0, Duration{400}};
        const auto put = Json::parse(encodePlatformStoreCall(write).body).at("setKeys").at(0);
        const Json item{{"key", put.at("key")}, {"value", put.at("value")}, {"revision", 7}, {"currentRev", 9}};
        return decodePlatformStoreReply({CallId{2}, StoreRange{key, false}, 0, Duration{400}}, 200, item.dump());
    }

    static bool isReadBack(const StoreKey &key, const StoreRecord &record)
    {
        const auto reply = readBack(key, record);
        return reply.error.empty() && reply.entries == std::vector<StoreEntry>{{key, record, 7}};
    }

    template<typename Property>
    static void check(const Property &property)
    {
        EXPECT_TRUE(rc::check(property));
    }

    static constexpr const char *id = "5c0e7a21d94b36f8";
};

TEST_F(StoredRecords, progressIsReadBack)
{
    check([] { RC_ASSERT(isReadBack(workflowProgressKey({id}), anyProgress())); });
}

TEST_F(StoredRecords, recordsOfTheDomainAreReadBack)
{
    check([] {
        RC_ASSERT(isReadBack(workflowCancellationKey({id}), WorkflowCancellation{anyWallTime()}));
        RC_ASSERT(isReadBack(workflowTombstoneKey({id}, {anyText()}, {anyText()}), WorkflowTombstone{anyWallTime()}));
        RC_ASSERT(isReadBack(domainOwnerKey(), DomainOwner{{anyText()}, anyNumber<long long>()}));
        RC_ASSERT(isReadBack(commitMarkKey(), CommitMark{anyNumber<long long>(), anyNumber<long long>()}));
        DomainSummary summary;
        summary.waiting.emplace(QueueId{anyText()}, anyNumber<int>());
        summary.shapes.push_back({{anyText()}, {anyNumber<int>(), anyNumber<int>(), anyNumber<int>()}, {anyText(), anyText()}, anyWallTime()});
        RC_ASSERT(isReadBack(domainSummaryKey(), summary));
        const HostRecord host{{anyText()}, {anyText()}, anyText(), anyText(), anyNumber<long long>(), *rc::gen::arbitrary<double>()};
        RC_ASSERT(isReadBack(hostKey({anyText()}), host));
    });
}

TEST_F(StoredRecords, acceptedSubmissionIsReadBack)
{
    check([] {
        const auto specification = readSubmission(anySubmission());
        RC_TAG(specification.ok() && !findSpecificationError(*specification) ? "accepted" : "refused");
        if (!specification.ok() || findSpecificationError(*specification)) {
            return;
        }
        Workflow workflow{{id}, {}, {anyText()}, anyWallTime(), *specification};
        workflow.queue.id = {anyText()};
        workflow.queue.stretch = *rc::gen::arbitrary<double>();
        workflow.queue.advice = AdviceTerms{Duration{anyNumber<long long>()}, Duration{0}, Duration{1}};
        RC_ASSERT(isReadBack(workflowKey({id}), workflow));
    });
}

TEST_F(StoredRecords, checkpointOfATargetIsReadBack)
{
    check([] {
        auto checkpoint = anyText();
        checkpoint += *rc::gen::element<std::string>("", "\xff", "\xc3", "\xed\xa0\x80"); // Not valid UTF-8, or a lone surrogate.
        const Json row = Json::array({5, std::string(id) + ".0.1.9", anyNumber<int>(), "stopped", "CHECKPOINT"});
        auto body = Json{{"clockMs", anyNumber<long long>()}, {"born", 1}, {"running", Json::array()}, {"endedRuns", {row}}}.dump();
        auto quoted = Json(checkpoint).dump(-1, ' ', false, Json::error_handler_t::ignore);
        quoted.insert(quoted.size() - 1, *rc::gen::element<std::string>("", "\xff", "\\ud800", "\\u0000"));
        body.replace(body.find("\"CHECKPOINT\""), std::string("\"CHECKPOINT\"").size(), quoted);
        const auto reply = decodeTargetReply({CallId{3}, {"i-1"}, "10.0.0.9:80", 7, HoldRuns{}, Duration{500}}, 200, body);
        if (reply.lists) {
            WorkflowProgress progress;
            progress.occurrences[0].steps = {{{false, reply.lists->ended.front().run, 0, reply.lists->ended.front().checkpoint, {}}}};
            RC_ASSERT(isReadBack(workflowProgressKey({id}), progress));
        }
    });
}

// The names of hosts come from settings files, which may hold any bytes.
TEST_F(StoredRecords, recordWithInvalidUtf8IsDecodable)
{
    const auto reply = readBack(domainOwnerKey(), DomainOwner{{"h\xff"}, 4});
    EXPECT_EQ(reply.error, "");
    EXPECT_EQ(reply.entries.size(), 1U);
}

}
