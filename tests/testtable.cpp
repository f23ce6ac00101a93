#include "core/table.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct TableOfRows : testing::Test
{
    Table<int, std::string> table;
};

// Guards against endless rounds in which a controller writes a row that has not changed.
TEST_F(TableOfRows, equalRowIsNoChange)
{
    table.put(1, "a");
    const auto version = table.version();
    table.put(1, "a");
    EXPECT_EQ(table.version(), version);
}

TEST_F(TableOfRows, changedKeysAreRecordedUntilCleared)
{
    table.put(1, "a");
    table.put(2, "b");
    table.erase(2);
    table.erase(3);
    EXPECT_EQ(table.changes(), (std::set<int>{1, 2}));
    table.clearChanges();
    EXPECT_TRUE(table.changes().empty());
}

// Guards against a controller that does not look at a row that was changed in place.
TEST_F(TableOfRows, updatedRowIsAChange)
{
    table.put(1, "a");
    table.clearChanges();
    table.update(1, [](std::string &row) { row += "b"; });
    table.update(2, [](std::string &row) { row += "b"; });
    EXPECT_EQ(*table.find(1), "ab");
    EXPECT_FALSE(table.contains(2));
    EXPECT_EQ(table.changes(), (std::set<int>{1}));
}

}
