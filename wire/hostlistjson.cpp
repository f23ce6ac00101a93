#include "hostlistjson.h"

#include "jsonfields.h"

#include <optional>

namespace sequoiastand
{

namespace
{

std::string_view name(ListedKind kind)
{
    return kind == ListedKind::EntryHost ? "entryHost" : "target";
}

std::optional<ListedKind> listedKindFromName(std::string_view text)
{
    if (text == "entryHost") {
        return ListedKind::EntryHost;
    }
    return text == "target" ? std::optional{ListedKind::Target} : std::nullopt;
}

nlohmann::json toJson(const ListedHost &host)
{
    return {{"kind", name(host.kind)},
            {"id", host.id},
            {"rack", host.rack.value},
            {"availabilityZone", host.availabilityZone.value},
            {"address", host.address},
            {"accelerators", host.acceleratorCount},
            {"milliCpu", host.milliCpu},
            {"memoryMb", host.memoryMb},
            {"leaving", host.isLeaving}};
}

absl::StatusOr<ListedHost> listedHostFromJson(const nlohmann::json &value, const std::string &path)
{
    ListedHost host;
    auto reader = makeFieldReader(value, path);
    requireField(reader, "kind");
    requireField(reader, "id");
    requireField(reader, "address");
    readEnum(reader, "kind", host.kind, listedKindFromName);
    readField(reader, "id", host.id);
    readField(reader, "rack", host.rack);
    readField(reader, "availabilityZone", host.availabilityZone);
    readField(reader, "address", host.address);
    readField(reader, "accelerators", host.acceleratorCount);
    readField(reader, "milliCpu", host.milliCpu);
    readField(reader, "memoryMb", host.memoryMb);
    readField(reader, "leaving", host.isLeaving);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return host;
}

}

nlohmann::json hostListToJson(const std::vector<ListedHost> &hosts)
{
    auto list = nlohmann::json::array();
    for (const auto &host : hosts) {
        list.push_back(toJson(host));
    }
    return {{"hosts", std::move(list)}};
}

absl::StatusOr<std::vector<ListedHost>> hostListFromJson(const nlohmann::json &value, const std::string &path)
{
    std::vector<ListedHost> hosts;
    auto reader = makeFieldReader(value, path);
    requireField(reader, "hosts");
    readArray(reader, "hosts", hosts, listedHostFromJson);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return hosts;
}

}
