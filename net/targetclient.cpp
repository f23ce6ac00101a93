#include "targetclient.h"

#include "wire/targetjson.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace sequoiastand
{

TargetClient::TargetClient(HttpClient &http, EventSink post, ErrorSink reportError)
    : m_http(http)
    , m_post(std::move(post))
    , m_reportError(std::move(reportError))
{
}

void TargetClient::send(const TargetCall &call)
{
    const auto encoded = encodeTargetCall(call);
    HttpCall http;
    http.address = call.address;
    http.path = encoded.path;
    http.body = encoded.body;
    http.timeout = call.timeout;
    m_http.send(http, [this, call](const HttpAnswer &answer) { finish(call, answer); });
}

void TargetClient::finish(const TargetCall &call, const HttpAnswer &answer)
{
    TargetReply reply;
    reply.id = call.id;
    reply.target = call.target;
    const auto peer = absl::StrCat(call.target.value, " (", call.address, ")");
    if (answer.outcome != HttpOutcome::Answered) {
        reply.outcome = answer.outcome == HttpOutcome::NotSent ? TargetOutcome::NotSent : TargetOutcome::Unknown;
        reply.reason = absl::StrCat("callTarget: ", peer, ": ", answer.error);
        m_post(reply);
        return;
    }
    if (answer.status != 200) {
        // An agent validates a call before it acts, so a 4xx status means that the call had no effect. A 5xx status may come from an
        // intermediary, so the effect is unknown.
        reply.outcome = answer.status >= 400 && answer.status < 500 ? TargetOutcome::Refused : TargetOutcome::Unknown;
        reply.reason = absl::StrCat("callTarget: ", peer, ": status ", answer.status, ": ", answer.body.substr(0, 200));
        m_post(reply);
        return;
    }
    auto decoded = decodeTargetReply(answer.body);
    if (decoded.ok() && (decoded->id != call.id || decoded->target != call.target)) {
        reply.reason = absl::StrCat("callTarget: ", peer, ": the response belongs to call ", decoded->id.value, " of ", decoded->target.value);
    } else if (!decoded.ok()) {
        reply.reason = absl::StrCat("callTarget: ", peer, ": ", decoded.status().message());
    } else {
        m_post(*std::move(decoded));
        return;
    }
    m_reportError("callTarget", peer, reply.reason);
    m_post(reply);
}

}
