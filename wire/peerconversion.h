#pragma once

#include "wire/peer_types.h"
#include "wire/peerframe.h"

#include <absl/status/statusor.h>

#include <string_view>

namespace sequoiastand
{

peerwire::Frame toWire(const PeerFrame &frame);

/// Fails if a part that the message needs is missing or unreadable; the status names the peer.
absl::StatusOr<PeerFrame> fromWire(const peerwire::Frame &frame, std::string_view peer);

}
