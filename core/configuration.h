#pragma once

#include "identifier.h"
#include "time.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// Adjacent capacity that an organisation can reclaim: `count` instances of `racks` racks with `workersPerRack` workers each, and
/// `acceleratorsPerWorker` accelerators on each worker.
struct Shape
{
    int acceleratorsPerWorker = 1;
    int workersPerRack = 1;
    int racks = 1;
    int count = 1;

    friend auto operator<=>(const Shape &, const Shape &) = default;
};

struct Organisation
{
    OrganisationId id;
    int maxWaitingJobs = 2000;
    std::string tokenHash; ///< Lower-case hexadecimal SHA-256 hash of the caller's token.

    friend bool operator==(const Organisation &, const Organisation &) = default;
};

struct Guarantee
{
    std::string id;
    OrganisationId organisation;
    AvailabilityZoneId availabilityZone;
    Shape shape;

    friend bool operator==(const Guarantee &, const Guarantee &) = default;
};

struct AvailabilityZone
{
    AvailabilityZoneId id;
    std::string region;
    bool isOut = false;
    Duration leaveNotice{0};         ///< Time for running work to end after the zone is taken out of service.
    Duration isolatedStartPeriod{0}; ///< Time for which an isolated zone, whose hosts reach neither the store nor other zones, may still start work.
    bool isDeclaredDead = false;     ///< An operator has confirmed that nothing runs in the zone any more, so its work may be taken over.

    friend bool operator==(const AvailabilityZone &, const AvailabilityZone &) = default;
};

struct Team
{
    TeamId id;
    OrganisationId organisation;
    int acceleratorQuota = 0; ///< Maximum number of accelerators held at a time; zero means no limit.

    friend bool operator==(const Team &, const Team &) = default;
};

enum class DrainScope
{
    Rack,
    Target,
};

struct Drain
{
    DrainScope scope = DrainScope::Target;
    std::string name;

    friend auto operator<=>(const Drain &, const Drain &) = default;
};

enum class OperatorRole
{
    Viewer,
    Submitter,
    Administrator,
};

struct OperatorAccount
{
    OperatorId id;
    OperatorRole role = OperatorRole::Viewer;
    std::string tokenHash;

    friend bool operator==(const OperatorAccount &, const OperatorAccount &) = default;
};

using ConfigurationItem = std::variant<Organisation, Guarantee, AvailabilityZone, Team, Drain, OperatorAccount>;

/// Everything that operators configure. `version` increases by one with every accepted change.
struct Configuration
{
    long long version = 0;
    std::map<OrganisationId, Organisation> organisations;
    std::map<std::string, Guarantee> guarantees;
    std::map<AvailabilityZoneId, AvailabilityZone> availabilityZones;
    std::map<TeamId, Team> teams;
    std::map<std::string, Drain> drains;
    std::map<OperatorId, OperatorAccount> operators;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

/// Path of the item, for example "organisation/kask"; also the last part of the item's key in the store.
std::string itemPath(const ConfigurationItem &item);

/// Returns the configuration with the item added or replaced, and with the same version.
Configuration withItem(Configuration configuration, const ConfigurationItem &item);

/// Returns the configuration without the item at that path, and with the same version.
Configuration withoutItem(Configuration configuration, const std::string &path);

/// The item at that path, if there is one.
std::optional<ConfigurationItem> itemAt(const Configuration &configuration, const std::string &path);

/// All items, grouped by kind.
std::vector<ConfigurationItem> itemsOf(const Configuration &configuration);

bool isZoneOut(const Configuration &configuration, const AvailabilityZoneId &zone);

bool isDrained(const Configuration &configuration, const RackId &rack, const TargetId &target);

}
