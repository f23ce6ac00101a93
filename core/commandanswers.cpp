#include "commandanswers.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <chrono>
#include <set>

namespace sequoiastand
{

namespace
{

/// Margin for the time between a host's check of its permit and the start call that follows.
constexpr Duration permitExpiryMargin{500};
/// Time for which a repeated command is answered from memory. After this time, the command's record in the store still shows that the command was applied.
constexpr Duration answerRetention{600'000};
constexpr std::size_t maxListedChanges = 5;

/// Zones that the edits affect; empty means all zones.
std::set<AvailabilityZoneId> affectedZones(const CommandProgress &progress)
{
    std::set<AvailabilityZoneId> zones;
    for (const auto &edit : progress.request.edits) {
        const auto *zone = edit.item ? std::get_if<AvailabilityZone>(&*edit.item) : nullptr;
        const auto *guarantee = edit.item ? std::get_if<Guarantee>(&*edit.item) : nullptr;
        if (zone != nullptr) {
            zones.insert(zone->id);
        } else if (guarantee != nullptr) {
            zones.insert(guarantee->availabilityZone);
        } else {
            return {};
        }
    }
    return zones;
}

std::vector<HostId> unconfirmedHosts(const Blackboard &board, const CommandProgress &progress)
{
    if (board.now >= progress.inForceAt) {
        return {};
    }
    const auto zones = affectedZones(progress);
    const auto isAffected = [&zones](const AvailabilityZoneId &zone) { return zones.empty() || zones.contains(zone); };
    std::vector<HostId> hosts;
    if (board.configuration.version < progress.version) {
        hosts.push_back(board.self.id);
    }
    for (const auto &[id, peer] : board.peers.rows()) {
        const bool neverRan = peer.state == PeerState::Gone && !peer.lastContact;
        if (isAffected(peer.availabilityZone) && !neverRan && peer.configurationVersion < progress.version) {
            hosts.push_back(id);
        }
    }
    return hosts;
}

std::string contactText(const Blackboard &board, std::optional<TimePoint> contact)
{
    if (!contact) {
        return "no contact so far";
    }
    return absl::StrCat("last contact ", std::chrono::floor<std::chrono::seconds>(board.now - *contact).count(), " s ago");
}

std::string pendingText(const Blackboard &board, const CommandProgress &progress)
{
    std::map<AvailabilityZoneId, std::optional<TimePoint>> contactByZone;
    for (const auto &id : progress.unconfirmed) {
        const auto *peer = board.peers.find(id);
        const auto zone = peer == nullptr ? board.self.availabilityZone : peer->availabilityZone;
        const auto contact = peer == nullptr ? std::optional(board.now) : peer->lastContact;
        const auto [row, isNew] = contactByZone.try_emplace(zone, contact);
        row->second = isNew ? contact : std::min(row->second, contact);
    }
    const auto describe = [&board](std::string *out, const auto &row) {
        absl::StrAppend(out, "zone ", row.first.value, " has not confirmed, ", contactText(board, row.second));
    };
    const WallTime latest = std::chrono::ceil<std::chrono::seconds>(board.wallNow + (progress.inForceAt - board.now));
    const std::chrono::hh_mm_ss clock{latest - std::chrono::floor<std::chrono::days>(latest)};
    return absl::StrFormat("pending: version %d: %s, in force at the latest at %02d:%02d:%02d UTC",
                           progress.version,
                           absl::StrJoin(contactByZone, "; ", describe),
                           clock.hours().count(),
                           clock.minutes().count(),
                           clock.seconds().count());
}

/// Warnings for the operator about an accepted change.
std::string warnings(const Blackboard &board, const CommandProgress &progress)
{
    std::string text;
    for (const auto &edit : progress.request.edits) {
        const auto *zone = edit.item ? std::get_if<AvailabilityZone>(&*edit.item) : nullptr;
        if (zone != nullptr && zone->isolatedStartPeriod > board.self.limits.permitPeriod) {
            const auto seconds = std::chrono::ceil<std::chrono::seconds>(zone->isolatedStartPeriod).count();
            absl::StrAppend(&text, "; while zone ", zone->id.value, " is isolated, a drain of it may be pending for ", seconds, " s");
        }
        const auto *drain = edit.item ? std::get_if<Drain>(&*edit.item) : nullptr;
        const auto isNamed = [drain](const auto &row) {
            return drain->scope == DrainScope::Rack ? row.second.rack.value == drain->name : row.first.value == drain->name;
        };
        if (drain != nullptr && std::ranges::none_of(board.targets.rows(), isNamed)) {
            absl::StrAppend(&text, "; this host knows no ", drain->scope == DrainScope::Rack ? "rack" : "target", " named ", drain->name);
        }
    }
    return text;
}

void answer(Blackboard &board, const CommandProgress &progress, CallId id, bool isInForce)
{
    CallerReply reply;
    reply.id = id;
    reply.isInForce = isInForce;
    reply.text = (isInForce ? absl::StrCat("in force: version ", progress.version) : pendingText(board, progress)) + warnings(board, progress);
    board.outbox.emplace_back(std::move(reply));
}

CommandProgress confirmed(Blackboard &board, CommandProgress progress)
{
    progress.unconfirmed = unconfirmedHosts(board, progress);
    const bool isInForce = progress.unconfirmed.empty();
    if (isInForce && progress.step == CommandStep::Confirming) {
        progress.step = CommandStep::Answered;
        addSample(board.counters, "configurationInForceMs", static_cast<double>((board.now - progress.receivedAt).count()));
    }
    std::erase_if(progress.waiters, [&](const CommandWaiter &waiter) {
        const bool isAnswered = isInForce || board.now >= waiter.answerBy;
        if (isAnswered) {
            answer(board, progress, waiter.id, isInForce);
        }
        return isAnswered;
    });
    for (const auto &waiter : progress.waiters) {
        subscribeNoLaterThan(board.timers, "commands", std::min(waiter.answerBy, progress.inForceAt));
    }
    return progress;
}

}

void refuseCaller(Blackboard &board, CallId id, const Refusal &refusal)
{
    CallerReply reply;
    reply.id = id;
    reply.refusal = refusal;
    board.outbox.emplace_back(std::move(reply));
    count(board.counters, "commandRefusals", std::string(name(refusal.reason)));
}

void refuseCommand(Blackboard &board, const CommandId &id, const Refusal &refusal)
{
    const auto *progress = board.commands.find(id);
    for (const auto &waiter : progress->waiters) {
        refuseCaller(board, waiter.id, refusal);
    }
    board.commands.erase(id);
}

Refusal versionConflict(const Blackboard &board, long long expected)
{
    const long long present = std::max(board.configuration.version, board.recentChanges.empty() ? 0 : board.recentChanges.rbegin()->first);
    std::vector<std::string> changes;
    for (auto change = board.recentChanges.upper_bound(expected); change != board.recentChanges.end() && changes.size() < maxListedChanges; ++change) {
        changes.push_back(absl::StrCat("version ", change->first, " by ", change->second.changedBy.value, ": ", change->second.statement));
    }
    std::string message = absl::StrCat("expected version ", expected, ", present version ", present);
    if (!changes.empty()) {
        absl::StrAppend(&message, "; ", absl::StrJoin(changes, "; "));
    }
    return {RefusalReason::VersionConflict, RequestEffect::NotRun, Duration{0}, message};
}

TimePoint latestInForceTime(const Blackboard &board, const CommandProgress &progress)
{
    const auto zones = affectedZones(progress);
    TimePoint latest = board.now + board.self.limits.permitPeriod;
    const auto isAffected = [&zones](const AvailabilityZoneId &zone) { return zones.empty() || zones.contains(zone); };
    for (const auto &[id, zone] : board.configuration.availabilityZones) {
        if (isAffected(id)) {
            latest = std::max(latest, board.now + zone.isolatedStartPeriod);
        }
    }
    for (const auto &[id, until] : board.isolatedStartsUntil) {
        if (isAffected(id)) {
            latest = std::max(latest, until);
        }
    }
    return latest + permitExpiryMargin;
}

void confirmCommands(Blackboard &board)
{
    const auto rows = board.commands.rows();
    for (const auto &[id, progress] : rows) {
        if (progress.step == CommandStep::Answered && progress.waiters.empty()) {
            if (board.now >= progress.acceptedAt + answerRetention) {
                board.commands.erase(id);
            }
        } else if (progress.step == CommandStep::Confirming || progress.step == CommandStep::Answered) {
            board.commands.put(id, confirmed(board, progress));
        }
    }
}

}
