#include "admission.h"

#include "jobrecord.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

constexpr Duration zoneOutRetryDelay{5'000};

/// Size of a zone according to the platform's host list. The counts include targets that are busy or unresponsive.
struct ZoneSize
{
    int accelerators = 0;
    int freeAccelerators = 0;
    int largestTarget = 0;
    int largestMilliCpu = 0;
    int largestMemoryMb = 0;
};

std::map<AvailabilityZoneId, ZoneSize> sizesOf(const Blackboard &board)
{
    std::map<AvailabilityZoneId, ZoneSize> sizes;
    for (const auto &[id, target] : board.targets.rows()) {
        ZoneSize &size = sizes[target.availabilityZone];
        size.accelerators += target.acceleratorCount;
        size.freeAccelerators += target.acceleratorCount;
        size.largestTarget = std::max(size.largestTarget, target.acceleratorCount);
        size.largestMilliCpu = std::max(size.largestMilliCpu, target.milliCpu);
        size.largestMemoryMb = std::max(size.largestMemoryMb, target.memoryMb);
    }
    if (const auto ownSize = sizes.find(board.self.availabilityZone); ownSize != sizes.end()) {
        for (const auto &[id, attempt] : board.attempts.rows()) {
            if (const Job *job = board.jobs.find(id.job)) {
                ownSize->second.freeAccelerators -= acceleratorCount(job->specification);
            }
        }
    }
    for (const auto &[zone, capacity] : board.zoneCapacities) {
        if (zone != board.self.availabilityZone) {
            sizes[zone].freeAccelerators = capacity.freeAccelerators;
        }
    }
    return sizes;
}

bool fits(const ZoneSize &size, const JobSpecification &specification)
{
    return acceleratorCount(specification) <= size.accelerators && specification.acceleratorsPerTask <= size.largestTarget
           && specification.milliCpuPerTask <= size.largestMilliCpu && specification.memoryMbPerTask <= size.largestMemoryMb;
}

Refusal neverFitsRefusal(const JobSpecification &specification)
{
    return {RefusalReason::NeverFits,
            RequestEffect::NotRun,
            Duration{0},
            "no availability zone has " + std::to_string(specification.taskCount) + " x " + std::to_string(specification.acceleratorsPerTask)
                + " accelerators with the requested processors and memory"};
}

}

std::optional<HostId> ownerOf(const Blackboard &board, const AvailabilityZoneId &zone)
{
    if (zone == board.self.availabilityZone && isZoneScheduler(board)) {
        return board.self.id;
    }
    std::optional<HostId> owner;
    Epoch epoch = 0;
    for (const auto &[id, peer] : board.peers.rows()) {
        if (peer.availabilityZone == zone && peer.state == PeerState::Alive && peer.ownedEpoch > epoch) {
            owner = id;
            epoch = peer.ownedEpoch;
        }
    }
    return owner;
}

ZoneChoice chooseZone(Blackboard &board, const JobSpecification &specification)
{
    const std::map<AvailabilityZoneId, ZoneSize> sizes = sizesOf(board);
    std::vector<AvailabilityZoneId> inService;
    for (const auto &[id, zone] : board.configuration.availabilityZones) {
        if (!zone.isOut) {
            inService.push_back(id);
        }
    }
    if (inService.empty()) {
        return {{}, Refusal{RefusalReason::ZoneOut, RequestEffect::NotRun, zoneOutRetryDelay, "every availability zone is out of service"}};
    }
    // Until the platform's host list has been read, the sizes are unknown and every zone in service is a candidate.
    std::vector<AvailabilityZoneId> fittingZones = inService;
    if (!sizes.empty()) {
        std::erase_if(fittingZones, [&](const AvailabilityZoneId &zone) {
            const auto size = sizes.find(zone);
            return size == sizes.end() || !fits(size->second, specification);
        });
        if (fittingZones.empty()) {
            const bool fitsSomewhere = std::ranges::any_of(sizes, [&](const auto &entry) { return fits(entry.second, specification); });
            if (fitsSomewhere) {
                return {
                    {},
                    Refusal{
                        RefusalReason::ZoneOut, RequestEffect::NotRun, zoneOutRetryDelay, "the availability zones that could run the job are out of service"}};
            }
            return {{}, neverFitsRefusal(specification)};
        }
    }
    std::vector<AvailabilityZoneId> ownedZones = fittingZones;
    std::erase_if(ownedZones, [&](const AvailabilityZoneId &zone) { return !ownerOf(board, zone); });
    if (ownedZones.empty()) {
        const bool ownFits = std::ranges::find(fittingZones, board.self.availabilityZone) != fittingZones.end();
        return {ownFits ? board.self.availabilityZone : fittingZones.front(), std::nullopt};
    }
    const auto freeIn = [&sizes](const AvailabilityZoneId &zone) {
        const auto size = sizes.find(zone);
        return size == sizes.end() ? 0 : size->second.freeAccelerators;
    };
    const AvailabilityZoneId &firstZone = ownedZones[takeRandom(board) % ownedZones.size()];
    const AvailabilityZoneId &secondZone = ownedZones[takeRandom(board) % ownedZones.size()];
    return {freeIn(firstZone) >= freeIn(secondZone) ? firstZone : secondZone, std::nullopt};
}

}
