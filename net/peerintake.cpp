#include "peerintake.h"

#include <algorithm>
#include <numeric>
#include <ranges>
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

std::optional<int> connectionOverBudget(const std::vector<PeerIntake> &connections, std::size_t budgetBytes, TimePoint now)
{
    const auto addBytes = [](std::size_t sum, const PeerIntake &connection) { return sum + connection.heldBytes; };
    if (std::accumulate(connections.begin(), connections.end(), std::size_t{0}, addBytes) <= budgetBytes) {
        return std::nullopt;
    }
    // The sum exceeds the budget, so at least one connection holds more than an equal share.
    const auto equalShare = budgetBytes / connections.size();
    auto largeOnes = connections | std::views::filter([equalShare](const PeerIntake &connection) { return connection.heldBytes > equalShare; });
    const auto claim = [now](const PeerIntake &connection) { return std::tuple(!connection.hasSentFrame, isStalled(connection, now), connection.heldBytes); };
    return std::ranges::max_element(largeOnes, {}, claim)->descriptor;
}

}
