#pragma once

#include "core/message.h"
#include "eventsink.h"
#include "httpclient.h"

namespace sequoiastand
{

/// Sends calls to the agents of targets. Exactly one TargetReply is posted for each call, also if it fails.
class TargetClient
{
public:
    TargetClient(HttpClient &http, EventSink post, ErrorSink reportError);

    void send(const TargetCall &call);

private:
    void finish(const TargetCall &call, const HttpAnswer &answer);

    HttpClient &m_http;
    EventSink m_post;
    ErrorSink m_reportError;
};

}
