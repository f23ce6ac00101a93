#include "logbuffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace sequoiastand
{

namespace
{

// Size of the buffer, which holds a few seconds of lines at the maximum rate of the log.
constexpr std::size_t maxPendingBytes = std::size_t{128} * 1024;

bool isWritable(int descriptor)
{
    pollfd pollEntry{descriptor, POLLOUT, 0};
    return ::poll(&pollEntry, 1, 0) == 1 && (pollEntry.revents & POLLOUT) != 0;
}

}

void LogBuffer::add(const std::string &line)
{
    if (m_pending.size() + line.size() > maxPendingBytes) {
        ++m_droppedLines;
        return;
    }
    if (m_reportedDrops < m_droppedLines) {
        m_pending += R"({"level":"error","step":"log","message":")" + std::to_string(m_droppedLines - m_reportedDrops)
                     + " lines were dropped because the log's reader is too slow\"}\n";
        m_reportedDrops = m_droppedLines;
    }
    m_pending += line;
}

bool LogBuffer::hasRoom() const
{
    return m_pending.size() <= maxPendingBytes / 2;
}

void LogBuffer::flush()
{
    std::size_t written = 0;
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    while (written < m_pending.size() && isWritable(m_descriptor)) {
        const auto count = ::write(m_descriptor, m_pending.data() + written, std::min<std::size_t>(PIPE_BUF, m_pending.size() - written));
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_pending.erase(0, written);
}

}
