#include "configurationcheck.h"

#include "guarantees.h"

#include <algorithm>
#include <string>
#include <type_traits>

namespace sequoiastand
{

namespace
{

using ValidationError = std::optional<std::string>;

ValidationError checkItem(const Configuration &, const Organisation &organisation, const Table<TargetId, Target> &)
{
    if (organisation.maxWaitingJobs <= 0) {
        return "the limit of waiting jobs must be positive";
    }
    return std::nullopt;
}

ValidationError checkItem(const Configuration &configuration, const Guarantee &guarantee, const Table<TargetId, Target> &)
{
    const Shape &shape = guarantee.shape;
    if (std::min({shape.acceleratorsPerWorker, shape.workersPerRack, shape.racks, shape.count}) <= 0) {
        return "every size of a guaranteed shape must be positive";
    }
    if (!configuration.organisations.contains(guarantee.organisation)) {
        return "organisation \"" + guarantee.organisation.value + "\" does not exist";
    }
    if (!configuration.availabilityZones.contains(guarantee.availabilityZone)) {
        return "availability zone \"" + guarantee.availabilityZone.value + "\" does not exist";
    }
    return std::nullopt;
}

ValidationError checkItem(const Configuration &, const AvailabilityZone &zone, const Table<TargetId, Target> &)
{
    if (zone.leaveNotice < Duration{0} || zone.isolatedStartPeriod < Duration{0}) {
        return "periods must not be negative";
    }
    return std::nullopt;
}

ValidationError checkItem(const Configuration &configuration, const Team &team, const Table<TargetId, Target> &)
{
    if (team.acceleratorQuota < 0) {
        return "the quota must not be negative";
    }
    if (!configuration.organisations.contains(team.organisation)) {
        return "organisation \"" + team.organisation.value + "\" does not exist";
    }
    return std::nullopt;
}

/// The name of the drained rack or worker is not checked, because this host may not know that rack or worker.
ValidationError checkItem(const Configuration &, const Drain &, const Table<TargetId, Target> &)
{
    return std::nullopt;
}

ValidationError checkItem(const Configuration &, const OperatorAccount &, const Table<TargetId, Target> &)
{
    return std::nullopt;
}

ValidationError checkName(const std::string &path)
{
    const auto slash = path.rfind('/');
    if (slash + 1 == path.size()) {
        return "the name is empty";
    }
    return std::nullopt;
}

/// Returns an error if an item refers to an organisation or zone that does not exist, for example because an edit removed it.
ValidationError checkReferences(const Configuration &editedConfiguration)
{
    for (const auto &[id, guarantee] : editedConfiguration.guarantees) {
        if (!editedConfiguration.organisations.contains(guarantee.organisation)
            || !editedConfiguration.availabilityZones.contains(guarantee.availabilityZone)) {
            return "guarantee \"" + id + "\" refers to it";
        }
    }
    for (const auto &[id, team] : editedConfiguration.teams) {
        if (!editedConfiguration.organisations.contains(team.organisation)) {
            return "team \"" + id.value + "\" refers to it";
        }
    }
    return std::nullopt;
}

ValidationError checkEdit(const Configuration &currentConfiguration,
                          const Configuration &editedConfiguration,
                          const ConfigurationEdit &edit,
                          const Table<TargetId, Target> &targets)
{
    if (!edit.item) {
        if (!itemAt(currentConfiguration, edit.removedPath)) {
            return "it does not exist";
        }
        return checkReferences(editedConfiguration);
    }
    if (auto error = checkName(itemPath(*edit.item))) {
        return error;
    }
    return std::visit([&](const auto &item) { return checkItem(editedConfiguration, item, targets); }, *edit.item);
}

/// A new or changed guarantee must fit its zone together with the zone's other guarantees. A zone without known targets is not checked, because its
/// targets may not have been listed yet.
std::optional<Refusal>
checkShapes(const Configuration &editedConfiguration, const std::vector<ConfigurationEdit> &edits, const Table<TargetId, Target> &targets)
{
    for (const auto &edit : edits) {
        const auto *guarantee = edit.item ? std::get_if<Guarantee>(&*edit.item) : nullptr;
        if (guarantee == nullptr) {
            continue;
        }
        const AvailabilityZoneId &zone = guarantee->availabilityZone;
        const bool isKnown = std::ranges::any_of(targets.rows(), [&zone](const auto &row) { return row.second.availabilityZone == zone; });
        if (!isKnown) {
            continue;
        }
        Configuration ofZone = editedConfiguration;
        std::erase_if(ofZone.guarantees, [&zone](const auto &row) { return row.second.availabilityZone != zone; });
        ofZone.availabilityZones.at(zone).isOut = false;
        if (const auto status = validateGuarantees(ofZone, targets); !status.ok()) {
            return Refusal{RefusalReason::NeverFits, RequestEffect::NotRun, Duration{0}, std::string(status.message())};
        }
    }
    return std::nullopt;
}

}

Configuration withEdits(Configuration configuration, const std::vector<ConfigurationEdit> &edits)
{
    for (const auto &edit : edits) {
        configuration = edit.item ? withItem(std::move(configuration), *edit.item) : withoutItem(std::move(configuration), edit.removedPath);
    }
    return configuration;
}

std::optional<Refusal> validateEdits(const Configuration &configuration, const std::vector<ConfigurationEdit> &edits, const Table<TargetId, Target> &targets)
{
    if (edits.empty()) {
        return Refusal{RefusalReason::BadRequest, RequestEffect::NotRun, Duration{0}, "the command changes nothing"};
    }
    const Configuration editedConfiguration = withEdits(configuration, edits);
    for (const auto &edit : edits) {
        if (const auto error = checkEdit(configuration, editedConfiguration, edit, targets)) {
            const std::string path = edit.item ? itemPath(*edit.item) : edit.removedPath;
            return Refusal{RefusalReason::BadRequest, RequestEffect::NotRun, Duration{0}, path + ": " + *error};
        }
    }
    return checkShapes(editedConfiguration, edits, targets);
}

}
