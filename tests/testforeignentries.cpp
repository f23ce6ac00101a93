#include "platform/platformrecords.h"
#include "platform/storecodec.h"
#include "wire/jsonfields.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

using Json = nlohmann::json;

/// Reads registrations that another writer has left among those of the targets.
struct ForeignEntries : testing::Test
{
    static Json registration()
    {
        return Json::parse(R"({"service":"press","address":"10.0.0.9:80","zone":"a","state":"ready","capacity":{"cpu":32000,"memMb":131072,"gpu":8},
            "labels":["kind","r1"],"born":1700,"remainingMs":0,"seq":4})");
    }

    static std::string with(const std::string &field, const Json &value)
    {
        auto changed = registration();
        changed[Json::json_pointer(field)] = value;
        return toText(changed);
    }

    /// The registration with the field's value replaced by text that need not be JSON.
    static std::string withText(const std::string &field, const std::string &value)
    {
        auto text = with(field, "PLACEHOLDER");
        const std::string placeholder = "\"PLACEHOLDER\"";
        return text.replace(text.find(placeholder), placeholder.size(), value);
    }

    static std::string item(const std::string &key, const std::string &value, Revision revision = 7)
    {
        return toText(Json{{"key", key}, {"value", absl::Base64Escape(value)}, {"revision", revision}});
    }

    /// Expects that an entry with this value is reported and left out of a range and of a watch, while the entries beside it are read.
    static void expectLeftOut(const std::string &value)
    {
        const auto rows =
            "[" + item("servers/i-1", toText(registration())) + "," + item("servers/i-2", value) + "," + item("servers/i-3", toText(registration())) + "]";
        const auto page = decodeRangePage(R"({"items":)" + rows + R"(,"hasMore":true,"currentRev":9})");
        ASSERT_TRUE(page.ok()) << page.status();
        EXPECT_EQ(keysOf(page->entries), (std::vector<StoreKey>{targetRegistrationKey({"i-1"}), targetRegistrationKey({"i-3"})}));
        EXPECT_EQ(page->lastKey, "servers/i-3");
        expectBounded(page->unreadable);
        const auto watched = decodeWatchPage(R"({"events":)" + rows + R"(,"currentRev":9})");
        ASSERT_TRUE(watched.ok()) << watched.status();
        EXPECT_EQ(keysOf(watched->changes.put), keysOf(page->entries));
        EXPECT_EQ(watched->changes.deleted, std::vector<StoreKey>{targetRegistrationKey({"i-2"})});
        expectBounded(watched->unreadable);
    }

    /// Messages are kept in memory to log each once, so they must not contain whole entries.
    static void expectBounded(const std::vector<std::string> &messages)
    {
        ASSERT_EQ(messages.size(), 1U);
        EXPECT_LT(messages.front().size(), 1'000U);
    }

    static std::vector<StoreKey> keysOf(const std::vector<StoreEntry> &entries)
    {
        std::vector<StoreKey> keys;
        std::ranges::transform(entries, std::back_inserter(keys), &StoreEntry::key);
        return keys;
    }

    static std::string nested(int depth)
    {
        return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
    }

    const std::vector<std::string>
        fields{"/service", "/address", "/zone", "/state", "/labels", "/labels/0", "/capacity", "/capacity/cpu", "/capacity/memMb", "/capacity/gpu", "/born"};
};

// Guards against a parser that exhausts the stack, which ended the processes that read the list.
TEST_F(ForeignEntries, deeplyNestedFieldIsLeftOut)
{
    for (const auto &field : fields) {
        SCOPED_TRACE(field);
        expectLeftOut(withText(field, nested(200'000)));
    }
    expectLeftOut(withText("/unknown", nested(200'000)));
    expectLeftOut(nested(200'000));
    expectLeftOut(std::string(200'000, '['));
}

// Guards against keeping whole entries in memory: each different error message of an entry is kept, and some messages quoted the entry.
TEST_F(ForeignEntries, errorMessageDoesNotQuoteTheWholeEntry)
{
    std::string state;
    state.resize(10'000'000, 'x');
    expectLeftOut(with("/state", state));
    expectLeftOut(withText("/born", std::string(100'000, '9')));
    expectLeftOut(withText("/born", "1e" + std::string(100'000, '9')));
}

// Guards against numbers that are converted silently: 10^12 processor shares or a negative capacity became another number.
TEST_F(ForeignEntries, numberOutOfRangeIsLeftOut)
{
    const std::vector<std::string> numbers{"1000000000000", "18446744073709551615", "18446744073709551616", "1e300", "1e400", "-1", "-1e300", "8.5"};
    for (const auto &field : {"/capacity/cpu", "/capacity/memMb", "/capacity/gpu", "/born", "/remainingMs"}) {
        for (const auto &number : numbers) {
            const bool isTime = field == std::string("/born") || field == std::string("/remainingMs");
            if ((number == "1000000000000" && isTime) || (number == "8.5" && field == std::string("/remainingMs"))) {
                continue; // A valid time. Only `born` is always a whole number.
            }
            SCOPED_TRACE(field + (" " + number));
            expectLeftOut(withText(field, number));
        }
    }
    expectLeftOut(with("/capacity/cpu", 2'147'483'647));
}

// Guards against refusing what the platform allows: further fields, a remaining time with a fraction, and fields without a value left out.
TEST_F(ForeignEntries, trueRegistrationIsRead)
{
    const auto isRead = [](const std::string &value) { return readPlatformRecord(targetRegistrationKey({"i-1"}), value).ok(); };
    EXPECT_TRUE(isRead(toText(registration())));
    EXPECT_TRUE(isRead(with("/unknown", Json::parse(R"({"a":[1.5,null,{"b":-1}]})"))));
    EXPECT_TRUE(isRead(with("/slots", -1.5)));
    EXPECT_TRUE(isRead(with("/remainingMs", 8.5)));
    EXPECT_TRUE(isRead(with("/labels", Json::array())));
    EXPECT_TRUE(isRead(with("/capacity", Json::object())));
    auto withoutRemaining = registration();
    withoutRemaining.erase("remainingMs");
    EXPECT_TRUE(isRead(toText(withoutRemaining)));
}

// Guards against calls to addresses that cannot be called, and against names, whose lookup blocks or starts a thread.
TEST_F(ForeignEntries, addressThatCannotBeCalledIsLeftOut)
{
    for (const auto &address : {"10.0.0.9",
                                "10.0.0.9:",
                                "10.0.0.9:0",
                                "10.0.0.9:65536",
                                "10.0.0.9:-1",
                                "10.0.0.9:99999999999999999999",
                                "10.0.0.9: 80",
                                "10.0.0.9:+80",
                                "10.0.0.9:80/path",
                                "10.0.0.9:80\r\nHost: other",
                                "worker.example:80",
                                "user@10.0.0.9:80",
                                ":80",
                                ""}) {
        SCOPED_TRACE(address);
        expectLeftOut(with("/address", address));
    }
}

// Guards against names and labels of any length, which are kept for each target and in the stored shapes of targets.
TEST_F(ForeignEntries, longTextIsLeftOut)
{
    const std::string name(1'000'000, 'x'); // The store's limit for a page.
    for (const auto &field : {"/service", "/address", "/zone", "/labels/0", "/labels/1"}) {
        SCOPED_TRACE(field);
        expectLeftOut(with(field, name));
    }
    expectLeftOut(with("/labels", std::vector<std::string>(100'000, "x")));
}

TEST_F(ForeignEntries, missingFieldsOtherTypesAndBytesThatAreNotTextAreLeftOut)
{
    for (const auto &field : {"service", "address", "zone", "state", "labels", "capacity", "born"}) {
        SCOPED_TRACE(field);
        auto changed = registration();
        changed.erase(field);
        expectLeftOut(toText(changed));
        for (const auto &value : {Json(nullptr), Json(true), Json(Json::object({{"a", 1}})), Json("\xff\xfe")}) {
            if (std::string(field) == "capacity" && value.is_object()) {
                continue; // An object without known fields is a target without capacity.
            }
            if ((std::string(field) == "service" || std::string(field) == "zone") && value.is_string()) {
                continue; // Text of another writer that happens to be no known name.
            }
            expectLeftOut(with("/" + std::string(field), value));
        }
    }
    expectLeftOut("");
    expectLeftOut(std::string("\xff\xfe\x00\x01", 4));
    expectLeftOut("null");
    expectLeftOut("[]");
}

// Guards against an entry that takes the place of a target's registration, or removes it, because the last segment of its key is the target's id.
TEST_F(ForeignEntries, keyWithMoreSegmentsIsNotTheKeyOfATarget)
{
    EXPECT_FALSE(productKey("servers/other/i-1"));
    EXPECT_FALSE(productKey("servers/i-1/"));
    EXPECT_FALSE(productKey("servers/"));
    const auto rows = "[" + item("servers/other/i-1", "{") + R"(,{"key":"servers/other/i-2","revision":8,"tombstone":true}])";
    const auto watched = decodeWatchPage(R"({"events":)" + rows + R"(,"currentRev":9})");
    ASSERT_TRUE(watched.ok());
    EXPECT_TRUE(watched->changes.put.empty());
    EXPECT_TRUE(watched->changes.deleted.empty());
}

}
