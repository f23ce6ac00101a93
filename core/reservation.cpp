#include "reservation.h"

#include "candidates.h"
#include "preemption.h"

#include <algorithm>
#include <bit>
#include <span>
#include <tuple>

namespace sequoiastand
{

namespace
{

/// Maximum number of reservations; limits the accelerators that stay idle until all places of a reservation are free.
constexpr std::size_t maxReservations = 4;
constexpr int targetsPerReservation = 16;
constexpr Duration expectedStopDuration = std::chrono::seconds{5};

struct ExpectedEnd
{
    Duration wait{0};
    int work = 0;

    friend auto operator<=>(const ExpectedEnd &, const ExpectedEnd &) = default;
};

std::vector<ExpectedEnd> expectedEnds(const PlacementPass &pass)
{
    std::vector<ExpectedEnd> ends;
    for (int index = 0; index < static_cast<int>(pass.map.work.size()); ++index) {
        const auto &work = pass.map.work[index];
        if (work.specification) {
            ends.push_back({pass.isStopping[index] ? expectedStopDuration : expectedRemaining(pass.model, work), index});
        }
    }
    std::ranges::sort(ends);
    return ends;
}

std::vector<Room>
roomsAfter(const PlacementPass &pass, std::vector<Room> rooms, std::span<const ExpectedEnd> ended, const std::vector<AcceleratorMask> &allowed)
{
    for (const auto &end : ended) {
        const auto &work = pass.map.work[end.work];
        for (const auto &place : work.places) {
            if (!pass.map.targets[place.target].isUsable) {
                continue;
            }
            auto &room = rooms[place.target];
            room.free |= place.accelerators & allowed[place.target];
            room.milliCpu += place.tasks * work.specification->milliCpuPerTask;
            room.memoryMb += place.tasks * work.specification->memoryMbPerTask;
        }
    }
    return rooms;
}

/// Reservation at the earliest expected time at which the gang fits; nothing if it never fits.
std::optional<Reservation> reserve(PlacementPass &pass, const QueuedJob &queued, std::span<const ExpectedEnd> ends)
{
    const auto &specification = queued.job->specification;
    const auto tiers = tiersFor(pass, specification);
    if (tiers.empty()) {
        return std::nullopt;
    }
    const auto rooms = roomsFor(pass, queued, tiers.back());
    auto allowed = allowedAccelerators(pass, specification, tiers.back());
    for (const auto &other : pass.reservations) {
        std::ranges::transform(allowed, other.accelerators, allowed.begin(), [](AcceleratorMask mask, AcceleratorMask kept) { return mask & ~kept; });
    }
    const auto packAfter = [&](std::size_t count) { return packGang(roomsAfter(pass, rooms, ends.first(count), allowed), pass.map.rackCount, specification); };
    auto places = packAfter(ends.size());
    if (!places) {
        return std::nullopt;
    }
    std::size_t enough = ends.size();
    std::size_t low = 0;
    while (low < enough) {
        const auto middle = low + (enough - low) / 2;
        if (auto found = packAfter(middle)) {
            places = std::move(found);
            enough = middle;
        } else {
            low = middle + 1;
        }
    }
    Reservation reservation{specification.id, std::vector<AcceleratorMask>(pass.map.targets.size(), 0), enough == 0 ? Duration{0} : ends[enough - 1].wait};
    for (const auto &place : *places) {
        reservation.accelerators[place.target] |= place.accelerators;
    }
    return reservation;
}

}

bool isLarge(const PlacementPass &pass, const JobSpecification &specification)
{
    int largestWorker = 1;
    for (const auto &target : pass.map.targets) {
        largestWorker = std::max(largestWorker, target.target->acceleratorCount);
    }
    return acceleratorCount(specification) >= largestWorker;
}

void addReservations(PlacementPass &pass, const std::vector<QueuedJob> &queue)
{
    std::vector<const QueuedJob *> large;
    for (const auto &queued : queue) {
        if (queued.priority != Priority::Urgent && isLarge(pass, queued.job->specification)) {
            large.push_back(&queued);
        }
    }
    const auto limit = std::clamp<std::size_t>(pass.map.targets.size() / targetsPerReservation, 1, maxReservations);
    std::ranges::stable_sort(large, {}, [](const QueuedJob *queued) { return std::tuple(queued->priority == Priority::Patient, queued->job->acceptedAt); });
    if (large.empty()) {
        return;
    }
    const auto ends = expectedEnds(pass);
    for (const auto *queued : large) {
        if (pass.reservations.size() >= limit) {
            break;
        }
        if (auto reservation = reserve(pass, *queued, ends)) {
            pass.reservations.push_back(std::move(*reservation));
        }
    }
}

const Reservation *findReservation(const PlacementPass &pass, const JobId &job)
{
    const auto found = std::ranges::find(pass.reservations, job, &Reservation::job);
    return found == pass.reservations.end() ? nullptr : &*found;
}

}
