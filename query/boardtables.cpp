#include "boardtables.h"

#include "core/configuration.h"
#include "wire/jsonfields.h"
#include "wire/recordjson.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <bit>
#include <iterator>
#include <map>
#include <ranges>

namespace sequoiastand
{

namespace
{

constexpr std::array<std::string_view, 12>
    subjectNames{"jobs", "organisations", "guarantees", "zones", "teams", "operators", "drains", "targets", "hosts", "configuration", "history", "counters"};

ResultCell ageOf(const Blackboard &board, const std::optional<TimePoint> &heard)
{
    return heard ? ResultCell{Duration{board.now - *heard}} : ResultCell{};
}

ResultCell cellOf(const std::optional<WallTime> &time)
{
    return time ? ResultCell{*time} : ResultCell{};
}

ResultCell number(long long value)
{
    return value;
}

ResultCell waitOf(const Job &job, WallTime now)
{
    if (job.startedAt) {
        return Duration{*job.startedAt - job.acceptedAt};
    }
    return Duration{job.finishedAt.value_or(now) - job.acceptedAt};
}

ResultCell runOf(const Job &job, WallTime now)
{
    return job.startedAt ? ResultCell{Duration{job.finishedAt.value_or(now) - *job.startedAt}} : ResultCell{};
}

StatementResult jobRows(const Blackboard &board)
{
    ResultTable table{"jobs",
                      {"job",
                       "organisation",
                       "team",
                       "class",
                       "state",
                       "zone",
                       "tasks",
                       "accelerators",
                       "attempts",
                       "accepted",
                       "started",
                       "finished",
                       "wait",
                       "run",
                       "deadline",
                       "explanation"},
                      {}};
    for (const auto &[id, job] : board.jobs.rows()) {
        const auto &specification = job.specification;
        table.rows.push_back({toString(id),
                              id.organisation.value,
                              specification.team.value,
                              std::string(name(specification.jobClass)),
                              std::string(name(job.state)),
                              job.availabilityZone.value,
                              number(specification.taskCount),
                              number(acceleratorCount(specification)),
                              number(job.attemptCount),
                              job.acceptedAt,
                              cellOf(job.startedAt),
                              cellOf(job.finishedAt),
                              waitOf(job, board.wallNow),
                              runOf(job, board.wallNow),
                              cellOf(specification.deadline),
                              job.explanation});
    }
    return {{table}, {}, {}};
}

/// What one organisation or team has going.
struct Load
{
    long long waiting = 0;
    long long running = 0;
    long long accelerators = 0;
};

template<typename KeyOf>
auto loadBy(const Blackboard &board, const KeyOf &keyOf)
{
    std::map<std::decay_t<decltype(keyOf(std::declval<Job>()))>, Load> loads;
    for (const auto &[id, job] : board.jobs.rows()) {
        auto &load = loads[keyOf(job)];
        load.waiting += job.state == JobState::Waiting ? 1 : 0;
        if (holdsAccelerators(job)) {
            ++load.running;
            load.accelerators += acceleratorCount(job.specification);
        }
    }
    return loads;
}

StatementResult organisationRows(const Blackboard &board)
{
    ResultTable table{"organisations", {"organisation", "max_waiting", "waiting", "running", "accelerators", "guaranteed", "has_token"}, {}};
    auto loads = loadBy(board, [](const Job &job) { return job.specification.id.organisation; });
    for (const auto &[id, organisation] : board.configuration.organisations) {
        long long guaranteed = 0;
        for (const auto &[key, guarantee] : board.configuration.guarantees) {
            const auto &shape = guarantee.shape;
            guaranteed += guarantee.organisation == id ? 1LL * shape.acceleratorsPerWorker * shape.workersPerRack * shape.racks * shape.count : 0;
        }
        const auto &load = loads[id];
        table.rows.push_back(
            {id.value, number(organisation.maxWaitingJobs), load.waiting, load.running, load.accelerators, guaranteed, !organisation.tokenHash.empty()});
    }
    return {{table}, {}, {}};
}

StatementResult teamRows(const Blackboard &board)
{
    ResultTable table{"teams", {"team", "organisation", "quota", "waiting", "running", "accelerators"}, {}};
    auto loads = loadBy(board, [](const Job &job) { return std::pair(job.specification.id.organisation, job.specification.team); });
    for (const auto &[id, team] : board.configuration.teams) {
        const auto &load = loads[{team.organisation, id}];
        table.rows.push_back({id.value, team.organisation.value, number(team.acceleratorQuota), load.waiting, load.running, load.accelerators});
    }
    return {{table}, {}, {}};
}

StatementResult zoneRows(const Blackboard &board)
{
    ResultTable table{"zones", {"zone", "region", "state", "notice", "isolated_starts", "owner", "epoch", "free", "usable", "last_heard"}, {}};
    StatementResult result;
    for (const auto &[id, zone] : board.configuration.availabilityZones) {
        const bool isOwn = id == board.self.availabilityZone;
        std::string owner = isOwn && board.epoch > 0 ? board.self.id.value : "";
        Epoch epoch = isOwn ? board.epoch : 0;
        std::optional<TimePoint> heard = isOwn ? std::optional(board.now) : std::nullopt;
        for (const auto &[host, peer] : board.peers.rows()) {
            if (peer.availabilityZone != id) {
                continue;
            }
            heard = std::max(heard, peer.lastContact);
            if (peer.ownedEpoch > epoch && peer.state != PeerState::Gone) {
                owner = host.value;
                epoch = peer.ownedEpoch;
            }
        }
        const auto capacity = board.zoneCapacities.find(id);
        const bool isKnown = capacity != board.zoneCapacities.end();
        table.rows.push_back({id.value,
                              zone.region,
                              std::string(zone.isDeclaredDead ? "dead"
                                          : zone.isOut        ? "out"
                                                              : "in service"),
                              zone.leaveNotice,
                              zone.isolatedStartPeriod,
                              owner,
                              epoch > 0 ? ResultCell{epoch} : ResultCell{},
                              isKnown ? number(capacity->second.freeAccelerators) : ResultCell{},
                              isKnown ? number(capacity->second.usableAccelerators) : ResultCell{},
                              ageOf(board, heard)});
        if (!heard) {
            result.notices.push_back("zone " + id.value + " has not been heard from by this host");
        }
    }
    result.tables.push_back(std::move(table));
    return result;
}

StatementResult operatorRows(const Blackboard &board)
{
    ResultTable table{"operators", {"operator", "role"}, {}};
    for (const auto &[id, account] : board.configuration.operators) {
        table.rows.push_back({id.value, std::string(name(account.role))});
    }
    return {{table}, {}, {}};
}

StatementResult drainRows(const Blackboard &board)
{
    ResultTable table{"drains", {"scope", "name"}, {}};
    for (const auto &[id, zone] : board.configuration.availabilityZones) {
        if (zone.isOut) {
            table.rows.push_back({std::string("zone"), id.value});
        }
    }
    for (const auto &[key, drain] : board.configuration.drains) {
        table.rows.push_back({std::string(drain.scope == DrainScope::Rack ? "rack" : "target"), drain.name});
    }
    return {{table}, {}, {}};
}

std::string_view name(TargetHealth health)
{
    constexpr std::array<std::string_view, 4> names{"unknown", "healthy", "silent", "quarantined"};
    return names.at(static_cast<std::size_t>(health));
}

std::string_view name(LeaseState state)
{
    constexpr std::array<std::string_view, 4> names{"acquiring", "held", "releasing", "refused"};
    return names.at(static_cast<std::size_t>(state));
}

std::string_view name(PeerState state)
{
    constexpr std::array<std::string_view, 3> names{"alive", "suspect", "gone"};
    return names.at(static_cast<std::size_t>(state));
}

StatementResult targetRows(const Blackboard &board)
{
    ResultTable table{
        "targets", {"target", "rack", "zone", "accelerators", "used", "tasks", "health", "leaving", "drained", "failures", "lease", "epoch", "last_heard"}, {}};
    for (const auto &[id, target] : board.targets.rows()) {
        AcceleratorMask used = 0;
        for (const auto &task : target.tasks) {
            const bool isHolding = task.state == TaskState::Reserved || task.state == TaskState::Running;
            used |= isHolding ? task.accelerators : 0;
        }
        const auto *lease = board.leases.find(id);
        table.rows.push_back({id.value,
                              target.rack.value,
                              target.availabilityZone.value,
                              number(target.acceleratorCount),
                              number(std::popcount(used)),
                              number(static_cast<long long>(target.tasks.size())),
                              std::string(name(target.health)),
                              target.isLeaving,
                              isDrained(board.configuration, target.rack, id) || isZoneOut(board.configuration, target.availabilityZone),
                              number(target.consecutiveFailures),
                              lease == nullptr ? ResultCell{} : ResultCell{std::string(name(lease->state))},
                              lease == nullptr ? ResultCell{} : ResultCell{lease->epoch},
                              ageOf(board, target.lastContact)});
    }
    return {{table}, {"use and tasks of targets are as their reports to this host; a host that does not own a zone has no reports from it"}, {}};
}

StatementResult hostRows(const Blackboard &board)
{
    ResultTable table{"hosts", {"host", "zone", "state", "incarnation", "version", "epoch", "leaving", "store_read_age", "last_heard"}, {}};
    const auto &self = board.self;
    const auto lastRead = board.store.lastReadSent;
    table.rows.push_back({self.id.value,
                          self.availabilityZone.value,
                          std::string("this host"),
                          self.incarnation,
                          board.configuration.version,
                          board.epoch > 0 ? ResultCell{board.epoch} : ResultCell{},
                          board.isStopping,
                          ageOf(board, lastRead),
                          Duration{0}});
    for (const auto &[id, peer] : board.peers.rows()) {
        table.rows.push_back({id.value,
                              peer.availabilityZone.value,
                              std::string(name(peer.state)),
                              peer.incarnation,
                              peer.configurationVersion,
                              peer.ownedEpoch > 0 ? ResultCell{peer.ownedEpoch} : ResultCell{},
                              peer.isLeaving,
                              peer.storeReadAge ? ResultCell{*peer.storeReadAge} : ResultCell{},
                              ageOf(board, peer.lastContact)});
    }
    StatementResult result{{table}, {}, {}};
    if (board.permit.isHeldLocally) {
        result.notices.emplace_back("starts on this host are held by an operator");
    }
    return result;
}

/// Token hashes are no business of those who read the configuration.
StatementResult configurationRows(const Blackboard &board)
{
    ResultTable table{"configuration", {"item", "value"}, {}};
    for (const auto &item : itemsOf(board.configuration)) {
        auto json = toJson(item);
        json.erase("tokenHash");
        table.rows.push_back({itemPath(item), toText(json)});
    }
    return {{table}, {absl::StrCat("version ", board.configuration.version)}, {}};
}

StatementResult counterRows(const Blackboard &board)
{
    ResultTable table{"counters", {"counter", "label", "value"}, {}};
    for (const auto &[key, value] : board.counters.values) {
        table.rows.push_back({key.name, key.label, value});
    }
    return {{table}, {"counters of host " + board.self.id.value + " since it started"}, {}};
}

StatementResult historyRows(const Blackboard &board)
{
    std::vector<ConfigurationChange> changes;
    std::ranges::copy(board.recentChanges | std::views::values, std::back_inserter(changes));
    return {{historyTable(changes)}, {}, {}};
}

}

bool holdsAccelerators(const Job &job)
{
    return job.state == JobState::Starting || job.state == JobState::Running || job.state == JobState::Stopping;
}

std::string_view name(QuerySubject subject)
{
    return subjectNames.at(static_cast<std::size_t>(subject));
}

std::string timeColumn(QuerySubject subject)
{
    if (subject == QuerySubject::Jobs) {
        return "accepted";
    }
    return subject == QuerySubject::History ? "changed" : "";
}

ResultTable historyTable(const std::vector<ConfigurationChange> &changes)
{
    ResultTable table{"history", {"version", "changed", "operator", "command", "statement"}, {}};
    for (const auto &change : changes) {
        table.rows.push_back({change.version, change.changedAt, change.changedBy.value, change.command.value, change.statement});
    }
    return table;
}

StatementResult rowsOf(const Blackboard &board, QuerySubject subject)
{
    switch (subject) {
    case QuerySubject::Jobs:
        return jobRows(board);
    case QuerySubject::Organisations:
        return organisationRows(board);
    case QuerySubject::Guarantees:
        return guaranteeRows(board);
    case QuerySubject::Zones:
        return zoneRows(board);
    case QuerySubject::Teams:
        return teamRows(board);
    case QuerySubject::Operators:
        return operatorRows(board);
    case QuerySubject::Drains:
        return drainRows(board);
    case QuerySubject::Targets:
        return targetRows(board);
    case QuerySubject::Hosts:
        return hostRows(board);
    case QuerySubject::Configuration:
        return configurationRows(board);
    case QuerySubject::History:
        return historyRows(board);
    case QuerySubject::Counters:
        break;
    }
    return counterRows(board);
}

}
