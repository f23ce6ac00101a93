#pragma once

#include "core/peer.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastand
{

/// One frame between entry hosts: a message, or only an acknowledgement.
struct PeerFrame
{
    HostId sender;
    std::optional<PeerMessage> message;          ///< None also for a message of a kind that this version does not know.
    std::optional<long long> acknowledgedFrames; ///< How many frames of this connection the receiver has read.

    friend bool operator==(const PeerFrame &, const PeerFrame &) = default;
};

/// A frame found at the start of received bytes.
struct DecodedPeerFrame
{
    PeerFrame frame;
    std::size_t byteCount = 0; ///< Bytes that the frame took.

    friend bool operator==(const DecodedPeerFrame &, const DecodedPeerFrame &) = default;
};

/// Largest frame without its length: a full read of the store, relayed, is the largest message.
constexpr std::size_t maxPeerFrameBytes = std::size_t{64} * 1024 * 1024;

/// Encodes the frame: 4 bytes of length in network order, a version byte, and a Thrift structure in the compact protocol.
std::string encodePeerFrame(const PeerFrame &frame);

/// Decodes the frame at the start of the bytes; none if it is not there in full yet. The status of a malformed frame names the peer.
absl::StatusOr<std::optional<DecodedPeerFrame>> decodePeerFrame(std::string_view bytes, std::string_view peer);

}
