#pragma once

#include <absl/status/statusor.h>
#include <netinet/in.h>

#include <string>
#include <string_view>

namespace sequoiastand
{

/// Parses an address like "127.0.0.1:7443". Only numeric IPv4 addresses are accepted: a name would need a resolver, which blocks or starts a thread.
absl::StatusOr<sockaddr_in> socketAddressFromText(std::string_view text);

std::string toString(const sockaddr_in &address);

}
