#pragma once

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace sequoiastand
{

/// Ordered collection of immutable rows. A change replaces a whole row and records its key, so the cost of a change does not depend on the size of the table.
template<typename Key, typename Value>
class Table
{
public:
    using Rows = std::map<Key, Value>;

    const Value *find(const Key &key) const
    {
        const auto row = m_rows.find(key);
        return row == m_rows.end() ? nullptr : &row->second;
    }

    bool contains(const Key &key) const
    {
        return m_rows.contains(key);
    }

    /// Inserts or replaces the row. Putting a row that equals the present one is not a change.
    void put(const Key &key, Value value)
    {
        const auto row = m_rows.find(key);
        if (row != m_rows.end() && row->second == value) {
            return;
        }
        m_rows.insert_or_assign(key, std::move(value));
        recordChange(key);
    }

    /// Replaces the row by what `change` makes of it. The present row is moved instead of copied, so the cost does not depend on the row's size. Does nothing if
    /// there is no such row.
    template<typename Change>
    void update(const Key &key, Change change)
    {
        const auto row = m_rows.find(key);
        if (row == m_rows.end()) {
            return;
        }
        Value value = std::move(row->second);
        change(value);
        row->second = std::move(value);
        recordChange(key);
    }

    void erase(const Key &key)
    {
        if (m_rows.erase(key) > 0) {
            recordChange(key);
        }
    }

    const Rows &rows() const
    {
        return m_rows;
    }

    std::size_t size() const
    {
        return m_rows.size();
    }

    bool isEmpty() const
    {
        return m_rows.empty();
    }

    /// Number that increases with every change; a controller compares it with the version that it handled last.
    unsigned long long version() const
    {
        return m_version;
    }

    /// Keys changed since clearChanges(), which runs at the start of each step.
    const std::set<Key> &changes() const
    {
        return m_changes;
    }

    void clearChanges()
    {
        m_changes.clear();
    }

    friend bool operator==(const Table &left, const Table &right)
    {
        return left.m_rows == right.m_rows;
    }

private:
    void recordChange(const Key &key)
    {
        m_changes.insert(key);
        ++m_version;
    }

    Rows m_rows;
    std::set<Key> m_changes;
    unsigned long long m_version = 0;
};

}
