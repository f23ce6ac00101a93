#pragma once

#include "core/peer.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastand
{

/// One frame between entry hosts. It holds a message, or only an acknowledgement.
struct PeerFrame
{
    HostId sender;
    std::optional<PeerMessage> message;          ///< Empty if the frame has no message, or one of a kind that this version does not know.
    std::optional<long long> acknowledgedFrames; ///< Number of frames that the sender has received on this connection.

    friend bool operator==(const PeerFrame &, const PeerFrame &) = default;
};

/// A frame that was decoded from the start of received bytes.
struct DecodedPeerFrame
{
    PeerFrame frame;
    std::size_t byteCount = 0; ///< Size of the encoded frame.

    friend bool operator==(const DecodedPeerFrame &, const DecodedPeerFrame &) = default;
};

/// Maximum size of a frame without its length field. The largest message is a relayed full read of the store.
constexpr std::size_t maxPeerFrameBytes = std::size_t{64} * 1024 * 1024;

/// Encodes the frame as a length of 4 bytes in network byte order, a version byte, and a Thrift structure in the compact protocol.
std::string encodePeerFrame(const PeerFrame &frame);

/// The size of the encoded frame at the start of the bytes, as its length field gives it. Nothing if the field is incomplete.
std::optional<std::size_t> announcedPeerFrameBytes(std::string_view bytes);

/// Decodes the frame at the start of the bytes. Returns nothing if the frame is incomplete; the status of a malformed frame names the peer.
absl::StatusOr<std::optional<DecodedPeerFrame>> decodePeerFrame(std::string_view bytes, std::string_view peer);

}
