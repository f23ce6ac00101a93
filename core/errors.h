#pragma once

#include <absl/status/status.h>

#include <string_view>

namespace sequoiastand
{

/// Makes a status whose message names the step and the peer, for example "renewLease: 127.0.0.1:7443: lease 4f12 expired 210 ms ago".
absl::Status errorAt(absl::StatusCode code, std::string_view step, std::string_view peer, std::string_view message);

}
