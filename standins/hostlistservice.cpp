#include "hostlistservice.h"

#include "wire/hostlistjson.h"
#include "wire/jsonfields.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

/// The list in its state `service.lag` ago. Removes older states.
const std::vector<ListedHost> &shownList(HostListService &service)
{
    const auto shownUntil = EventLoop::now() - service.lag;
    while (service.lists.size() > 1 && service.lists.at(1).first <= shownUntil) {
        service.lists.pop_front();
    }
    return service.lists.front().second;
}

absl::StatusOr<std::string> nameFromJson(const nlohmann::json &value, const std::string &path)
{
    return value.is_string() ? absl::StatusOr<std::string>{value.get<std::string>()} : absl::InvalidArgumentError(path + ": must be a string");
}

/// Applies the faults in the request body. Settings that are absent keep their values; listed names are those of hosts, racks or zones.
absl::Status switchFaults(HostListService &service, const nlohmann::json &body, ExchangeId exchange)
{
    std::vector<std::string> leaving;
    std::vector<std::string> staying;
    std::vector<std::string> gone;
    std::vector<std::string> back;
    bool isSilencing = false;
    auto isOut = service.isOut;
    auto delay = service.delay;
    auto lag = service.lag;
    auto reader = makeFieldReader(body, "fault");
    readArray(reader, "leaving", leaving, nameFromJson);
    readArray(reader, "staying", staying, nameFromJson);
    readArray(reader, "gone", gone, nameFromJson);
    readArray(reader, "back", back, nameFromJson);
    readField(reader, "silentConnections", isSilencing);
    readField(reader, "outage", isOut);
    readField(reader, "delayMs", delay);
    readField(reader, "lagMs", lag);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    service.isOut = isOut;
    service.delay = delay;
    service.lag = lag;
    if (isSilencing) {
        silenceConnections(service.server, exchange);
    }
    const auto isNamed = [](const std::vector<std::string> &names, const ListedHost &host) {
        return std::ranges::any_of(
            names, [&host](const std::string &name) { return name == host.id || name == host.rack.value || name == host.availabilityZone.value; });
    };
    auto list = service.lists.back().second;
    for (auto &host : service.hosts) {
        host.isLeaving = (host.isLeaving || isNamed(leaving, host)) && !isNamed(staying, host);
        const auto listed = std::ranges::find(list, host.id, &ListedHost::id);
        if (listed != list.end() && isNamed(gone, host)) {
            list.erase(listed);
        } else if (listed != list.end()) {
            *listed = host;
        } else if (isNamed(back, host)) {
            list.push_back(host);
        }
    }
    if (list != service.lists.back().second) {
        service.lists.emplace_back(EventLoop::now(), std::move(list));
    }
    return absl::OkStatus();
}

nlohmann::json statusToJson(HostListService &service)
{
    return {{"outage", service.isOut},
            {"delayMs", service.delay.count()},
            {"lagMs", service.lag.count()},
            {"reads", service.reads},
            {"hosts", service.hosts.size()},
            {"listed", shownList(service).size()}};
}

void onRequest(HostListService &service, const StandInRequest &request)
{
    if (request.path == "/fault") {
        const auto body = parseJson(request.method == "GET" ? "{}" : request.body, "fault");
        const auto status = body.ok() ? switchFaults(service, *body, request.id) : body.status();
        if (status.ok()) {
            respond(service.server, request.id, {200, toText(statusToJson(service)) + "\n"});
        } else {
            respond(service.server, request.id, {400, toText({{"error", std::string{status.message()}}})});
        }
    } else if (service.isOut) {
        drop(service.server, request.id);
    } else if (request.path == "/v1/hosts" && request.method == "GET") {
        ++service.reads;
        respondLater(service.server, request.id, {200, toText(hostListToJson(shownList(service)))}, service.delay);
    } else {
        respond(service.server, request.id, {404, R"({"error": "not found"})"});
    }
}

}

absl::Status startHostListService(HostListService &service, int port, std::vector<ListedHost> hosts)
{
    service.hosts = std::move(hosts);
    service.lists.emplace_back(EventLoop::now(), service.hosts);
    service.server.onRequest = [&service](const StandInRequest &request) { onRequest(service, request); };
    return startServer(service.server, port);
}

void stopHostListService(HostListService &service)
{
    stopServer(service.server);
}

}
