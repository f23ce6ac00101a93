#include "httplimits.h"

#include "receivebudget.h"

#include <algorithm>
#include <array>

namespace sequoiastand
{

namespace
{

// Memory of a connection's pool beside the bytes of a request's header: the records of its lines, a copy of its cookies, and the header of the response.
// libmicrohttpd clears the whole pool after each request, so each byte of it is resident memory on every connection.
constexpr std::size_t poolOverheadBytes = std::size_t{4} * 1024;

constexpr std::size_t responseHeaderBytes = 1024;

// libmicrohttpd keeps a record of 56 bytes for each header line, query parameter, cookie and trailer.
constexpr std::size_t recordBytes = 64;

// libmicrohttpd extends its read buffer by this much when the pool is nearly full. The rest of the buffer may hold bytes of the next request.
constexpr std::size_t readBufferIncrement = 128;

// Ordinary bodies have less than 5,000 bytes. With 1,500 connections this is 12 MB beside 31 MB for their headers.
constexpr std::size_t receiveBudgetPerConnection = std::size_t{8} * 1024;

bool isWithinPool(std::size_t readBytes, std::size_t records, const HttpServerLimits &limits)
{
    const auto poolBytes = connectionPoolBytes(limits);
    return std::max(readBytes + readBufferIncrement, poolBytes / 2) + records * recordBytes + responseHeaderBytes <= poolBytes;
}

}

std::string_view name(HttpLimit limit)
{
    static constexpr std::array<std::string_view, 4> names{"bodyTooLarge", "headerTooLarge", "tooManyConnections", "receiveBudget"};
    return names.at(static_cast<std::size_t>(limit));
}

std::size_t receiveBudget(const HttpServerLimits &limits)
{
    const auto budget = limits.receiveBudgetBytes > 0 ? limits.receiveBudgetBytes : limits.maxConnections * receiveBudgetPerConnection;
    return std::max(budget, 2 * (limits.maxBodyBytes + maxBodyBlockBytes));
}

HttpResponse defaultLimitResponse(HttpLimit limit)
{
    switch (limit) {
    case HttpLimit::BodyTooLarge:
        return {.status = MHD_HTTP_CONTENT_TOO_LARGE, .contentType = "text/plain", .body = "body too large\n"};
    case HttpLimit::HeaderTooLarge:
        return {.status = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, .contentType = "text/plain", .body = "header too large\n"};
    case HttpLimit::ReceiveBudget:
        return {.status = MHD_HTTP_SERVICE_UNAVAILABLE, .contentType = "text/plain", .body = "too many large requests\n", .retryAfter = Duration{1'000}};
    case HttpLimit::TooManyConnections:
        break;
    }
    return {.status = MHD_HTTP_SERVICE_UNAVAILABLE, .contentType = "text/plain", .body = "too many connections\n"};
}

std::size_t connectionPoolBytes(const HttpServerLimits &limits)
{
    return limits.maxHeaderBytes + poolOverheadBytes;
}

bool isTargetWithinLimits(std::string_view target, const HttpServerLimits &limits)
{
    return isWithinPool(target.size(), static_cast<std::size_t>(std::ranges::count(target, '&')) + 1, limits);
}

bool isHeaderWithinLimits(MHD_Connection *connection, const HttpServerLimits &limits)
{
    const auto headerBytes = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)->header_size;
    if (headerBytes > limits.maxHeaderBytes) {
        return false;
    }
    const auto kinds = static_cast<MHD_ValueKind>(MHD_HEADER_KIND | MHD_GET_ARGUMENT_KIND | MHD_COOKIE_KIND | MHD_FOOTER_KIND);
    const auto records = static_cast<std::size_t>(std::max(0, MHD_get_connection_values(connection, kinds, nullptr, nullptr)));
    std::size_t trailerBytes = 0;
    MHD_get_connection_values_n(
        connection,
        MHD_FOOTER_KIND,
        [](void *bytes, MHD_ValueKind, const char *, size_t keySize, const char *, size_t valueSize) {
            constexpr std::size_t separatorBytes = 4;
            *static_cast<std::size_t *>(bytes) += keySize + valueSize + separatorBytes;
            return MHD_YES;
        },
        &trailerBytes);
    const char *cookies = nullptr;
    std::size_t cookieBytes = 0;
    MHD_lookup_connection_value_n(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_COOKIE, sizeof MHD_HTTP_HEADER_COOKIE - 1, &cookies, &cookieBytes);
    return isWithinPool(headerBytes + trailerBytes + cookieBytes, records, limits);
}

}
