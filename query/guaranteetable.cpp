#include "boardtables.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Numbers of accelerators of a zone by their use, as known to the zone's owner.
struct ZoneUse
{
    std::map<OrganisationId, long long> held; ///< Held within the organisation's own guarantees.
    long long borrowed = 0;
    long long preemptible = 0; ///< Part of `borrowed` that preemptible jobs hold.
    long long free = 0;
};

ZoneUse useOfOwnZone(const Blackboard &board)
{
    ZoneUse use;
    long long total = 0;
    for (const auto &[id, target] : board.targets.rows()) {
        const bool isUsable = target.availabilityZone == board.self.availabilityZone && target.health != TargetHealth::Unresponsive
                              && target.health != TargetHealth::Quarantined && !target.isLeaving && !isDrained(board.configuration, target.rack, id);
        total += isUsable ? target.acceleratorCount : 0;
    }
    for (const auto &[id, attempt] : board.attempts.rows()) {
        const auto *job = board.jobs.find(id.job);
        if (attempt.step == AttemptStep::Ended || job == nullptr) {
            continue;
        }
        const long long accelerators = acceleratorCount(job->specification);
        total -= accelerators;
        if (attempt.isBorrowed) {
            use.borrowed += accelerators;
            use.preemptible += isPreemptible(job->specification) ? accelerators : 0;
        } else {
            use.held[id.job.organisation] += accelerators;
        }
    }
    use.free = std::max(0LL, total);
    return use;
}

long long sizeOf(const Shape &shape)
{
    return 1LL * shape.acceleratorsPerWorker * shape.workersPerRack * shape.racks * shape.count;
}

}

StatementResult guaranteeRows(const Blackboard &board)
{
    ResultTable table{"guarantees",
                      {"guarantee", "organisation", "zone", "accelerators", "workers", "racks", "count", "total", "held", "lent", "reclaimable", "missing"},
                      {}};
    StatementResult result;
    ZoneUse use = useOfOwnZone(board);
    for (const auto &[id, guarantee] : board.configuration.guarantees) {
        const auto &shape = guarantee.shape;
        const long long total = sizeOf(shape);
        std::vector<ResultCell> row{id,
                                    guarantee.organisation.value,
                                    guarantee.availabilityZone.value,
                                    1LL * shape.acceleratorsPerWorker,
                                    1LL * shape.workersPerRack,
                                    1LL * shape.racks,
                                    1LL * shape.count,
                                    total};
        const bool isKnown = board.epoch > 0 && guarantee.availabilityZone == board.self.availabilityZone;
        if (!isKnown) {
            row.insert(row.end(), 4, ResultCell{});
            result.notices.push_back("guarantee " + id + ": held and lent accelerators are known only to the owner of zone "
                                     + guarantee.availabilityZone.value);
            table.rows.push_back(std::move(row));
            continue;
        }
        const long long held = std::min(total, use.held[guarantee.organisation]);
        use.held[guarantee.organisation] -= held;
        const long long fromFree = std::min(total - held, use.free);
        use.free -= fromFree;
        const long long lent = std::min(total - held - fromFree, use.borrowed);
        use.borrowed -= lent;
        const long long preempted = std::min(lent, use.preemptible);
        use.preemptible -= preempted;
        long long missing = 0;
        for (const auto &shortfall : board.plan.shortfalls) {
            missing += shortfall.guarantee == id ? shortfall.missingAccelerators : 0;
        }
        row.insert(row.end(), {held, lent, fromFree + preempted, missing});
        table.rows.push_back(std::move(row));
    }
    result.tables.push_back(std::move(table));
    return result;
}

}
