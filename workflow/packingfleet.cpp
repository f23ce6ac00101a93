#include "packingfleet.h"

#include "packing.h"

namespace sequoiastand
{

namespace
{

std::vector<RackTargets> findEligible(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting)
{
    std::map<RackId, TargetNumbers> racks;
    auto rack = racks.end();
    for (std::size_t number = 0; number < targets.size(); ++number) {
        if (!isEligible(waiting, targets[number])) {
            continue;
        }
        if (rack == racks.end() || rack->first != targets[number].rack) {
            rack = racks.try_emplace(targets[number].rack).first;
        }
        rack->second.push_back(number);
    }
    std::vector<RackTargets> eligible;
    eligible.reserve(racks.size());
    for (auto &[id, numbers] : racks) {
        eligible.push_back({id, std::move(numbers)});
    }
    return eligible;
}

}

PackingFleet makePackingFleet(std::vector<PlacementTarget> targets)
{
    PackingFleet fleet;
    fleet.targets = std::move(targets);
    for (std::size_t number = 0; number < fleet.targets.size(); ++number) {
        // Targets are usually sorted by id, so each one belongs behind the last.
        fleet.numbers.emplace_hint(fleet.numbers.end(), fleet.targets[number].id, number);
    }
    return fleet;
}

const std::vector<RackTargets> &eligibleTargets(PackingFleet &fleet, const WaitingStep &waiting)
{
    const auto [row, isNew] = fleet.eligible.try_emplace({waiting.service, waiting.specification.requiredLabel});
    if (isNew) {
        row->second = findEligible(fleet.targets, waiting);
    }
    return row->second;
}

std::optional<std::size_t> numberOf(const PackingFleet &fleet, const TargetId &target)
{
    const auto found = fleet.numbers.find(target);
    return found == fleet.numbers.end() ? std::nullopt : std::optional(found->second);
}

}
