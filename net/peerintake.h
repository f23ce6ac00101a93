#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// What an incoming peer connection holds, and how it has behaved.
struct PeerIntake
{
    int descriptor = -1;
    std::size_t heldBytes = 0; ///< Received bytes of a frame that is not complete.
    bool hasSentFrame = false; ///< True once a frame was complete.
    TimePoint progressAt;      ///< When the latest frame was complete, or the connection was accepted.

    friend bool operator==(const PeerIntake &, const PeerIntake &) = default;
};

/// Time without a complete frame after which a connection counts as stalled and gives way to others. Peers send a heartbeat every second or so.
constexpr Duration peerStallTime{10'000};

/// The connection that gives way to a new one while as many as allowed are open: the one that has been without a frame for longest, beginning with those that
/// have never sent one. Nothing if all others are peers that send frames; the new connection is then refused.
std::optional<int> connectionToReplace(const std::vector<PeerIntake> &connections, TimePoint now);

/// The connection to close while all together hold more bytes than allowed. Of those that hold more than an equal share, one that has never sent a frame comes
/// before one that has, a stalled one before one that is not, and among equal ones the one that holds the most bytes. Nothing if the bytes are within the budget.
std::optional<int> connectionOverBudget(const std::vector<PeerIntake> &connections, std::size_t budgetBytes, TimePoint now);

}
