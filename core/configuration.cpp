#include "configuration.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <type_traits>

namespace sequoiastand
{

namespace
{

const std::string organisationPrefix = "organisation/";
const std::string guaranteePrefix = "guarantee/";
const std::string availabilityZonePrefix = "availabilityZone/";
const std::string teamPrefix = "team/";
const std::string drainPrefix = "drain/";
const std::string operatorPrefix = "operator/";

std::string drainName(const Drain &drain)
{
    return (drain.scope == DrainScope::Rack ? "rack/" : "target/") + drain.name;
}

/// Calls the visitor with the map that holds items of the path's kind, and with the item's key in that map.
template<typename Config, typename Visitor>
void visitPath(Config &configuration, const std::string &path, const Visitor &visitor)
{
    const auto rest = [&path](const std::string &prefix) { return path.substr(prefix.size()); };
    if (path.starts_with(organisationPrefix)) {
        visitor(configuration.organisations, OrganisationId{rest(organisationPrefix)});
    } else if (path.starts_with(guaranteePrefix)) {
        visitor(configuration.guarantees, rest(guaranteePrefix));
    } else if (path.starts_with(availabilityZonePrefix)) {
        visitor(configuration.availabilityZones, AvailabilityZoneId{rest(availabilityZonePrefix)});
    } else if (path.starts_with(teamPrefix)) {
        visitor(configuration.teams, TeamId{rest(teamPrefix)});
    } else if (path.starts_with(drainPrefix)) {
        visitor(configuration.drains, rest(drainPrefix));
    } else if (path.starts_with(operatorPrefix)) {
        visitor(configuration.operators, OperatorId{rest(operatorPrefix)});
    }
}

}

std::string itemPath(const ConfigurationItem &item)
{
    return std::visit(
        [](const auto &value) -> std::string {
            using Item = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Item, Organisation>) {
                return organisationPrefix + value.id.value;
            } else if constexpr (std::is_same_v<Item, Guarantee>) {
                return guaranteePrefix + value.id;
            } else if constexpr (std::is_same_v<Item, AvailabilityZone>) {
                return availabilityZonePrefix + value.id.value;
            } else if constexpr (std::is_same_v<Item, Team>) {
                return teamPrefix + value.id.value;
            } else if constexpr (std::is_same_v<Item, Drain>) {
                return drainPrefix + drainName(value);
            } else {
                return operatorPrefix + value.id.value;
            }
        },
        item);
}

Configuration withItem(Configuration configuration, const ConfigurationItem &item)
{
    visitPath(configuration, itemPath(item), [&item](auto &map, const auto &key) {
        using Item = typename std::decay_t<decltype(map)>::mapped_type;
        map.insert_or_assign(key, std::get<Item>(item));
    });
    return configuration;
}

Configuration withoutItem(Configuration configuration, const std::string &path)
{
    visitPath(configuration, path, [](auto &map, const auto &key) { map.erase(key); });
    return configuration;
}

std::optional<ConfigurationItem> itemAt(const Configuration &configuration, const std::string &path)
{
    std::optional<ConfigurationItem> found;
    visitPath(configuration, path, [&found](const auto &map, const auto &key) {
        if (const auto item = map.find(key); item != map.end()) {
            found = item->second;
        }
    });
    return found;
}

std::vector<ConfigurationItem> itemsOf(const Configuration &configuration)
{
    std::vector<ConfigurationItem> items;
    const auto add = [&items](const auto &map) { std::ranges::copy(map | std::views::values, std::back_inserter(items)); };
    add(configuration.organisations);
    add(configuration.guarantees);
    add(configuration.availabilityZones);
    add(configuration.teams);
    add(configuration.drains);
    add(configuration.operators);
    return items;
}

bool isZoneOut(const Configuration &configuration, const AvailabilityZoneId &zone)
{
    const auto found = configuration.availabilityZones.find(zone);
    return found != configuration.availabilityZones.end() && found->second.isOut;
}

bool isDrained(const Configuration &configuration, const RackId &rack, const TargetId &target)
{
    return configuration.drains.contains("rack/" + rack.value) || configuration.drains.contains("target/" + target.value);
}

}
