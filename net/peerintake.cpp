#include "peerintake.h"

#include <algorithm>
#include <tuple>

namespace sequoiastand
{

namespace
{

bool isStalled(const PeerIntake &connection, TimePoint now)
{
    return now - connection.progressAt >= peerStallTime;
}

}

std::optional<int> connectionToReplace(const std::vector<PeerIntake> &connections, TimePoint now)
{
    const auto usefulness = [](const PeerIntake &connection) { return std::tuple(connection.hasSentFrame, connection.progressAt); };
    const auto least = std::ranges::min_element(connections, {}, usefulness);
    if (least == connections.end() || (least->hasSentFrame && !isStalled(*least, now))) {
        return std::nullopt;
    }
    return least->descriptor;
}

}
