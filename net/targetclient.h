#pragma once

#include "core/message.h"
#include "eventsink.h"
#include "httpclient.h"

namespace sequoiastand
{

/// Sends calls to the targets' agents and posts a TargetReply for each, whatever happens.
class TargetClient
{
public:
    TargetClient(HttpClient &http, EventSink post, ErrorSink fault);

    void send(const TargetCall &call);

private:
    void finish(const TargetCall &call, const HttpAnswer &answer);

    HttpClient &m_http;
    EventSink m_post;
    ErrorSink m_reportError;
};

}
