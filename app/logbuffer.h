#pragma once

#include <cstddef>
#include <string>

namespace sequoiastand
{

/// Buffers lines for a file descriptor that may not accept them at once. Never blocks: lines that exceed the buffer are dropped, and a separate line
/// reports their number.
class LogBuffer
{
public:
    explicit LogBuffer(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    void add(const std::string &line);

    /// Writes as much as the descriptor accepts without blocking.
    void flush();

    /// True while at least half of the buffer is free.
    bool hasRoom() const;

    bool isEmpty() const
    {
        return m_pending.empty();
    }

    long long droppedLines() const
    {
        return m_droppedLines;
    }

private:
    int m_descriptor;
    std::string m_pending;
    long long m_droppedLines = 0;
    long long m_reportedDrops = 0;
};

}
