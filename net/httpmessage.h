#pragma once

#include "core/time.h"

#include <map>
#include <string>

namespace sequoiastand
{

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string bearerToken;
    std::string body;
    std::map<std::string, std::string> headers; ///< Values of the request headers named in setReadHeaders(), by header name.

    friend bool operator==(const HttpRequest &, const HttpRequest &) = default;
};

struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    bool closesConnection = false;
    Duration retryAfter{0}; ///< Sent as Retry-After in whole seconds, rounded up; less than 100 ms is sent as 0, and zero is not sent.

    friend bool operator==(const HttpResponse &, const HttpResponse &) = default;
};

/// Value of the Retry-After header for a delay.
std::string retryAfterText(Duration delay);

/// The bytes of a response that closes its connection. The response to a HEAD request has no body.
std::string closingResponseText(const HttpResponse &response, bool isHead);

}
