#include "socketaddress.h"

#include "core/errors.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <array>

namespace sequoiastand
{

absl::StatusOr<sockaddr_in> socketAddressFromText(std::string_view text)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const auto colon = text.rfind(':');
    int port = 0;
    // SimpleAtoi() accepts a sign and spaces.
    const auto isDigits = [](std::string_view digits) { return std::ranges::all_of(digits, absl::ascii_isdigit); };
    if (colon == std::string_view::npos || !isDigits(text.substr(colon + 1)) || !absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) || port > 65'535
        || inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.sin_addr) != 1) {
        return errorAt(absl::StatusCode::kInvalidArgument, "readAddress", text, "not an IPv4 address and port, like 127.0.0.1:7443");
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

std::string toString(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return absl::StrCat(text.data(), ":", ntohs(address.sin_port));
}

}
