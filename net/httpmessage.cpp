#include "httpmessage.h"

#include <absl/strings/str_cat.h>
#include <microhttpd.h>

#include <array>
#include <chrono>
#include <ctime>

namespace sequoiastand
{

namespace
{

// Retry-After has a resolution of one second. Delays are rounded up, except that a delay below this minimum is sent as 0.
constexpr Duration minRetryAfter{100};

std::string dateText()
{
    const auto now = std::time(nullptr);
    std::tm utc{};
    gmtime_r(&now, &utc);
    std::array<char, 64> text{};
    const auto size = std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &utc);
    return {text.data(), size};
}

}

std::string retryAfterText(Duration delay)
{
    return std::to_string(delay < minRetryAfter ? 0 : std::chrono::ceil<std::chrono::seconds>(delay).count());
}

std::string closingResponseText(const HttpResponse &response, bool isHead)
{
    auto text = absl::StrCat("HTTP/1.1 ", response.status, " ", MHD_get_reason_phrase_for(static_cast<unsigned>(response.status)), "\r\n");
    absl::StrAppend(&text, "Date: ", dateText(), "\r\nConnection: close\r\nContent-Type: ", response.contentType, "\r\n");
    if (response.retryAfter > Duration{0}) {
        absl::StrAppend(&text, "Retry-After: ", retryAfterText(response.retryAfter), "\r\n");
    }
    absl::StrAppend(&text, "Content-Length: ", response.body.size(), "\r\n\r\n");
    return isHead ? text : text + response.body;
}

}
