#pragma once

#include "wire/peer_types.h"
#include "wire/peerframe.h"

#include <absl/status/statusor.h>

#include <string_view>

namespace sequoiastand
{

/// Converts a frame to the generated type.
peerwire::Frame toWire(const PeerFrame &frame);

/// Converts a frame from the generated type. Fails if a required part of the message is missing or cannot be decoded; the status names the peer.
absl::StatusOr<PeerFrame> fromWire(const peerwire::Frame &frame, std::string_view peer);

}
