#pragma once

#include <cstddef>
#include <string>

namespace sequoiastand
{

/// Lines on their way to a descriptor that may not take them at once. Never blocks: what does not fit is dropped, counted and reported in a line of its own.
class LogBuffer
{
public:
    explicit LogBuffer(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    void add(const std::string &line);

    /// Writes as much as the descriptor takes now.
    void flush();

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
