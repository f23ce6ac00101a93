#pragma once

#include "eventsink.h"
#include "httpclient.h"

#include <string>

namespace sequoiastand
{

/// Polls the platform's list of running and leaving hosts. A failed poll is reported and repeated after the period; the last list that was read stays in use.
class HostListClient
{
public:
    HostListClient(EventLoop &loop, HttpClient &http, std::string address, Duration period, EventSink post, ErrorSink reportError);

    void start();

private:
    void poll();
    void finish(const HttpAnswer &answer);

    HttpClient &m_http;
    std::string m_address;
    Duration m_period;
    EventSink m_post;
    ErrorSink m_reportError;
    Timer m_timer;
};

}
