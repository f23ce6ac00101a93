#pragma once

#include "core/time.h"

#include <string>
#include <string_view>

namespace sequoiastand
{

/// How the server's part in a request ended.
enum class HttpRequestEnd
{
    Answered,      ///< The whole response was passed to the socket.
    ClientLeft,    ///< The client closed or reset its connection first.
    TimedOut,      ///< The request or the response took longer than the limits allow.
    ServerStopped, ///< The server was stopped first.
    Failed,        ///< The connection was closed for another reason, such as a request over a limit or a response without room for its header.
};

std::string_view name(HttpRequestEnd end);

/// What the server knows of a request when its connection has finished with it.
struct HttpRequestSummary
{
    std::string method; ///< Empty if the header was not read completely.
    std::string path;
    HttpRequestEnd end = HttpRequestEnd::Answered;
    bool isRead = false;   ///< The last byte of the request was read.
    Duration sinceRead{0}; ///< Time since the request was passed to the handler; zero if it was not.

    friend bool operator==(const HttpRequestSummary &, const HttpRequestSummary &) = default;
};

/// True if the request was read completely and its client did not get a complete response although it had not left.
bool isUnanswered(const HttpRequestSummary &summary);

}
