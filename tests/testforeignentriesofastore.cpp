#include "platform/standin/platformstore.h"
#include "platform/standin/platformwriter.h"
#include "platform/storeport.h"
#include "tests/loopback.h"

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace sequoiastand
{

/// Connects the product's store client to the stand-in store, in which another writer leaves entries among those of 1,200 targets.
struct ForeignEntriesOfAStore : testing::Test
{
    ForeignEntriesOfAStore()
    {
        EXPECT_TRUE(startStore(store).ok());
        port = std::make_unique<StorePort>(
            loop,
            http,
            loopbackAddress(store.server.port()),
            [this](WorkflowEvent event) { receive(std::move(event)); },
            [this](const std::string &, const std::string &, const std::string &message) { errors.push_back(message); });
        for (int number = 0; number < targetCount; ++number) {
            writeTarget(number, 1);
        }
    }

    static TargetRegistration registration(int number)
    {
        TargetRegistration registration;
        registration.instance = {{absl::StrFormat("i-%04d", number)}, 1'700};
        registration.service = {"press"};
        registration.address = "127.0.0.1:80";
        registration.availabilityZone = {"a"};
        registration.labels = {"kind", "r1"};
        registration.rack = {"r1"};
        registration.capacity = {32'000, 131'072, 8};
        return registration;
    }

    void writeTarget(int number, long long sequence)
    {
        const auto target = registration(number);
        putItem(store, registrationItemName(target.instance.target), registrationText(target, sequence));
    }

    /// Writes odd entries whose keys lie between those of the targets, so that some are the first or the last of a page.
    void writeOddEntries()
    {
        const std::string nested(200'000, '[');
        const auto text = registrationText(registration(0), 1);
        const std::vector<std::string> values{nested,
                                              R"({"born":)" + nested,
                                              R"({"born":)" + std::string(100'000, '9') + "}",
                                              replaced(text, "\"address\":\"127.0.0.1:80\"", "\"address\":\"127.0.0.1:65536\""),
                                              replaced(text, "\"born\":1700", "\"born\":1e300"),
                                              replaced(text, "\"cpu\":32000", "\"cpu\":1000000000000"),
                                              std::string("\xff\xfe\x00\x01", 4),
                                              ""};
        int number = 0;
        for (const int neighbour : {0, 1, 250, 492, 493, 494, 495, 496, 497, 498, 499, 500, 750, 985, 990, 995, 1'000, 1'199}) {
            putItem(store, absl::StrFormat("servers/i-%04d-odd", neighbour), values[static_cast<std::size_t>(number++) % values.size()]);
        }
        putItem(store, "servers/other/i-0003", "{");
        putItem(store, "servers/", text);
    }

    static std::string replaced(std::string text, const std::string &from, const std::string &to)
    {
        const auto position = text.find(from);
        EXPECT_NE(position, std::string::npos) << from;
        return position == std::string::npos ? text : text.replace(position, from.size(), to);
    }

    void receive(WorkflowEvent event)
    {
        if (auto *reply = std::get_if<StoreReply>(&event)) {
            replies.push_back(std::move(*reply));
        } else if (auto *changes = std::get_if<StoreWatchEvent>(&event)) {
            std::ranges::for_each(changes->put, [this](const StoreEntry &entry) { watched.insert_or_assign(entry.key, entry); });
            std::ranges::for_each(changes->deleted, [this](const StoreKey &key) { deleted.insert(key); });
        } else {
            ++lostWatches;
        }
    }

    StoreReply readTargets()
    {
        replies.clear();
        port->send({CallId{++calls}, StoreRange{targetRegistrationKey({""}), true}, 0, testTimeout});
        EXPECT_TRUE(loop.runUntil([this] { return !replies.empty(); }, testTimeout));
        return replies.empty() ? StoreReply{} : replies.front();
    }

    void watchFrom(Revision revision)
    {
        StoreMirror mirror;
        mirror.step = MirrorStep::Watching;
        mirror.revision = revision;
        mirror.generation = 1;
        port->updateWatches({{"targets/", mirror}});
    }

    bool waitForTarget(int number)
    {
        return loop.runUntil([&] { return watched.contains(targetRegistrationKey(registration(number).instance.target)); }, testTimeout);
    }

    /// Expects that each target was read once with its registration, and nothing else.
    void expectAllTargets(const StoreReply &reply)
    {
        EXPECT_EQ(reply.outcome, StoreOutcome::Applied) << reply.error;
        ASSERT_EQ(reply.entries.size(), static_cast<std::size_t>(targetCount));
        for (int number = 0; number < targetCount; ++number) {
            const auto &entry = reply.entries[static_cast<std::size_t>(number)];
            ASSERT_EQ(entry.record, StoreRecord{registration(number)}) << entry.key.path;
        }
    }

    static constexpr int targetCount = 1'200;
    EventLoop loop;
    HttpClient http{loop};
    PlatformStore store{loop, 1};
    std::unique_ptr<StorePort> port;
    std::vector<StoreReply> replies;
    std::map<StoreKey, StoreEntry> watched;
    std::set<StoreKey> deleted;
    std::vector<std::string> errors;
    int lostWatches = 0;
    unsigned long long calls = 0;
};

// Guards against a read of the targets that ends, repeats a page or leaves targets out because of an entry that cannot be read.
TEST_F(ForeignEntriesOfAStore, targetsOnEachPageAreReadBesideOddEntries)
{
    expectAllTargets(readTargets());
    EXPECT_TRUE(errors.empty());
    writeOddEntries();
    expectAllTargets(readTargets());
    EXPECT_EQ(errors.size(), 18U);
    EXPECT_TRUE(std::ranges::all_of(errors, [](const std::string &error) { return error.size() < 1'000; }));
    expectAllTargets(readTargets());
    EXPECT_EQ(errors.size(), 18U);
}

// Guards against a watch that ends or stands still at an entry that cannot be read.
TEST_F(ForeignEntriesOfAStore, watchGoesOnAfterOddEntries)
{
    watchFrom(readTargets().revision);
    writeTarget(3, 2);
    ASSERT_TRUE(waitForTarget(3));
    writeTarget(4, 2);
    writeOddEntries();
    removeItem(store, "servers/other/i-0003");
    writeTarget(5, 2);
    ASSERT_TRUE(waitForTarget(4));
    ASSERT_TRUE(waitForTarget(5));
    watched.clear();
    writeOddEntries();
    writeTarget(6, 2);
    ASSERT_TRUE(waitForTarget(6));
    EXPECT_EQ(watched.size(), 1U);
    EXPECT_EQ(lostWatches, 0);
    EXPECT_FALSE(deleted.contains(targetRegistrationKey({"i-0003"})));
    EXPECT_TRUE(std::ranges::all_of(deleted, [](const StoreKey &key) { return absl::EndsWith(key.path, "-odd"); }));
}

// Guards against keeping a target whose entry another writer has replaced, and against not following the target when its entry is back.
TEST_F(ForeignEntriesOfAStore, targetWhoseEntryIsReplacedIsRemovedUntilItsNextEntry)
{
    watchFrom(readTargets().revision);
    const auto key = targetRegistrationKey(registration(3).instance.target);
    putItem(store, registrationItemName(registration(3).instance.target), std::string(200'000, '['));
    ASSERT_TRUE(loop.runUntil([&] { return deleted.contains(key); }, testTimeout));
    EXPECT_EQ(readTargets().entries.size(), static_cast<std::size_t>(targetCount - 1));
    writeTarget(3, 2);
    ASSERT_TRUE(waitForTarget(3));
    EXPECT_EQ(watched.at(key).record, StoreRecord{registration(3)});
    expectAllTargets(readTargets());
}

}
