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
    expectLeftOut(with("/state", std::string(10'000'000, 'x')));
    expectLeftOut(withText("/born", std::string(100'000, '9')));
    expectLeftOut(withText("/born", "1e" + std::string(100'000, '9')));
}

}
