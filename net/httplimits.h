#pragma once

#include "httpmessage.h"

#include <microhttpd.h>

#include <cstddef>
#include <string_view>

namespace sequoiastand
{

struct HttpServerLimits
{
    std::size_t maxBodyBytes = std::size_t{1024} * 1024;
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    unsigned maxConnections = 1'500;    ///< With 3,000 connections and two of six hosts down, each host has 750 on average; this is twice as many.
    std::size_t receiveBudgetBytes = 0; ///< Bytes of all bodies that are being received or answered; zero derives it from `maxConnections`.
    Duration requestTimeout{10'000};    ///< Time limit from the first line of a request to its last byte.
    Duration responseTimeout{30'000};   ///< Time limit for sending a response to a slow client.
    Duration idleTimeout{75'000};       ///< Time after which a connection without a request is closed.

    friend bool operator==(const HttpServerLimits &, const HttpServerLimits &) = default;
};

/// A limit that the server enforces before a request reaches the handler.
enum class HttpLimit
{
    BodyTooLarge,
    HeaderTooLarge,
    TooManyConnections,
    ReceiveBudget, ///< The bodies of all requests together take more memory than allowed.
};

std::string_view name(HttpLimit limit);

/// The memory for the bodies of all requests. It suffices for at least two bodies of the largest size.
std::size_t receiveBudget(const HttpServerLimits &limits);

/// The response to a request over a limit if no other is set.
HttpResponse defaultLimitResponse(HttpLimit limit);

/// Size of libmicrohttpd's memory pool of a connection. The pool holds the header of a request and that of its response.
std::size_t connectionPoolBytes(const HttpServerLimits &limits);

/// True if the query parameters of a request target fit into the connection's pool. libmicrohttpd closes the connection without a response if they do not.
bool isTargetWithinLimits(std::string_view target, const HttpServerLimits &limits);

/// True if the header and the trailers of the request are within the limit and leave room in the connection's pool for the header of the response.
/// libmicrohttpd closes the connection without a response if there is no room.
bool isHeaderWithinLimits(MHD_Connection *connection, const HttpServerLimits &limits);

}
