#include "hostlistclient.h"

#include "wire/hostlistjson.h"
#include "wire/jsonfields.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace sequoiastand
{

HostListClient::HostListClient(EventLoop &loop, HttpClient &http, std::string address, Duration period, EventSink post, ErrorSink reportError)
    : m_http(http)
    , m_address(std::move(address))
    , m_period(period)
    , m_post(std::move(post))
    , m_reportError(std::move(reportError))
    , m_timer(loop, [this] { poll(); })
{
}

void HostListClient::start()
{
    if (!m_address.empty()) {
        poll();
    }
}

void HostListClient::poll()
{
    HttpCall call;
    call.method = "GET";
    call.address = m_address;
    call.path = "/v1/hosts";
    call.timeout = m_period;
    m_http.send(call, [this](const HttpAnswer &answer) { finish(answer); });
}

void HostListClient::finish(const HttpAnswer &answer)
{
    m_timer.startIn(m_period);
    if (answer.outcome != HttpOutcome::Answered || answer.status != 200) {
        m_reportError("readHostList", m_address, answer.error.empty() ? absl::StrCat("status ", answer.status) : answer.error);
        return;
    }
    const auto json = parseJson(answer.body, "hostList");
    auto hosts = json.ok() ? hostListFromJson(*json) : absl::StatusOr<std::vector<ListedHost>>(json.status());
    if (!hosts.ok()) {
        m_reportError("readHostList", m_address, std::string(hosts.status().message()));
        return;
    }
    m_post(HostListRead{*std::move(hosts)});
}

}
