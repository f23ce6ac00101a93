#include "reviewexecution.h"

#include "rendering.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Number of ledger days read after the end of the range. Jobs that ended after these days are missing from the review, which reports this
/// as a gap.
constexpr std::chrono::days extraLedgerDays{31};

/// The review reports a gap if this host's view of the store is older than this time.
constexpr Duration maxStoreViewAge{5'000};

WallTime dayOf(WallTime time)
{
    return std::chrono::floor<std::chrono::days>(time);
}

std::string ledgerDayPrefix(WallTime day)
{
    const std::string key = ledgerKey(day, {""}, 0).path;
    return key.substr(0, key.find('/', std::string("ledger/").size()) + 1);
}

std::string agoText(Duration age)
{
    return toText(std::chrono::duration_cast<Duration>(std::chrono::floor<std::chrono::seconds>(age))) + " ago";
}

void addLedgerGaps(ReviewInput &input, const std::vector<StoreReadResult> &reads)
{
    for (const auto &read : reads) {
        if (!read.error.empty()) {
            input.gaps.push_back(
                absl::StrCat("missing: ", read.range.key.path, " could not be read (", read.error, "); jobs that ended on that day are not counted"));
        }
        for (const auto &entry : read.entries) {
            if (!std::holds_alternative<LedgerBatch>(entry.record)) {
                input.gaps.push_back(absl::StrCat("missing: ", entry.key.path, " holds no ledger batch"));
            }
        }
    }
    const WallTime lastRead = dayOf(input.scope.until) + extraLedgerDays;
    if (lastRead < dayOf(input.now)) {
        input.gaps.push_back(
            absl::StrCat("missing: ledger days after ", toText(lastRead), " were not read; jobs accepted in the range that ended later are not counted"));
    }
}

void addZoneGaps(ReviewInput &input, const Blackboard &board)
{
    for (const auto &[id, zone] : board.configuration.availabilityZones) {
        if (id == board.self.availabilityZone || (input.scope.availabilityZone && *input.scope.availabilityZone != id)) {
            continue;
        }
        std::optional<TimePoint> lastContact;
        for (const auto &[host, peer] : board.peers.rows()) {
            lastContact = peer.availabilityZone == id ? std::max(lastContact, peer.lastContact) : lastContact;
        }
        if (!lastContact) {
            input.gaps.push_back(
                absl::StrCat("missing: zone ", id.value, " has sent no message to this host; its records that are not in the store are not counted"));
        } else if (board.now - *lastContact > board.self.limits.suspectAfter) {
            input.gaps.push_back(absl::StrCat("missing: zone ",
                                              id.value,
                                              " last sent a message ",
                                              agoText(board.now - *lastContact),
                                              " (",
                                              toText(board.wallNow - (board.now - *lastContact)),
                                              "); its later records that are not in the store are not counted"));
        }
    }
}

void addStoreGaps(ReviewInput &input, const Blackboard &board)
{
    const auto &store = board.store;
    if (!store.isLoaded) {
        input.gaps.emplace_back("missing: this host has not read the job records from the store yet");
    } else if (!store.lastReadSent || board.now - *store.lastReadSent > maxStoreViewAge) {
        const std::string when = store.lastReadSent ? agoText(board.now - *store.lastReadSent) : "never";
        input.gaps.push_back("missing: the last store read of this host: " + when + "; job records changed since are not counted");
    }
    const auto unwritten = std::ranges::count_if(store.writes, [](const PendingWrite &pending) { return pending.write.key.path.starts_with("jobs/"); });
    if (unwritten > 0) {
        input.gaps.push_back(
            absl::StrCat("not yet written to the store: ", unwritten, " job records of this host, as of ", toText(board.wallNow), "; they are counted"));
    }
}

/// Adds the holdings of the job's current attempt. Only the zone's owner knows when the attempt started. For a job in another host's zone, the time
/// of its first start is used if it has no earlier intervals; otherwise nothing is added. Both cases are counted in `uncertain`.
void addOpenInterval(ReviewInput &input, const Blackboard &board, const Job &job, long long &uncertain)
{
    const bool mayHold = job.state == JobState::Running || job.state == JobState::Stopping;
    if (!mayHold || job.specification.acceleratorsPerTask == 0) {
        return;
    }
    HeldInterval interval;
    interval.attempt = job.attemptCount;
    interval.accelerators = acceleratorCount(job.specification);
    interval.until = board.wallNow;
    const auto *attempt = board.attempts.find({job.specification.id, job.attemptCount});
    if (attempt != nullptr && attempt->runningSince) {
        interval.from = board.wallNow - (board.now - *attempt->runningSince);
        interval.isBorrowed = attempt->isBorrowed;
    } else if (job.held.empty() && job.startedAt) {
        interval.from = *job.startedAt;
        ++uncertain;
    } else {
        ++uncertain;
        return;
    }
    input.openIntervals.emplace(job.specification.id, interval);
}

std::string shareText(long long part, long long whole)
{
    return whole == 0 ? "" : absl::StrFormat("%.1f %%", 100.0 * static_cast<double>(part) / static_cast<double>(whole));
}

std::vector<ResultCell> outcomeRow(const OutcomeFigures &figures)
{
    const auto duration = [](const DurationFigures &of, Duration value) { return of.count > 0 ? ResultCell{value} : ResultCell{}; };
    const auto &completion = figures.completion;
    const auto &wait = figures.wait;
    return {figures.group,
            figures.accepted,
            figures.finished,
            figures.failed,
            figures.cancelled,
            figures.refused,
            figures.unknown,
            figures.running,
            figures.waiting,
            shareText(figures.finished, figures.accepted),
            figures.missedDeadlines,
            duration(completion, completion.mean),
            duration(completion, completion.p50),
            duration(completion, completion.p90),
            duration(completion, completion.p99),
            duration(wait, wait.mean),
            duration(wait, wait.p99)};
}

ResultTable outcomeTable(const std::string &title, const std::string &group, const std::vector<OutcomeFigures> &rows)
{
    ResultTable table{title,
                      {group,
                       "accepted",
                       "finished",
                       "failed",
                       "cancelled",
                       "refused",
                       "unknown",
                       "running",
                       "waiting",
                       "finished_share",
                       "missed_deadlines",
                       "completion_mean",
                       "completion_p50",
                       "completion_p90",
                       "completion_p99",
                       "wait_mean",
                       "wait_p99"},
                      {}};
    std::ranges::transform(rows, std::back_inserter(table.rows), outcomeRow);
    return table;
}

}

ReviewScope scopeOf(const ReviewStatement &statement, WallTime now)
{
    const std::chrono::year_month_day today{std::chrono::floor<std::chrono::days>(now)};
    ReviewScope scope;
    scope.from =
        statement.from ? (statement.from->at ? *statement.from->at : now - statement.from->ago) : std::chrono::sys_days{today.year() / today.month() / 1};
    scope.until = statement.until ? (statement.until->at ? *statement.until->at : now - statement.until->ago) : now;
    const auto identifier = [](const auto &text, auto &field) {
        if (text) {
            field.emplace().value = *text;
        }
    };
    identifier(statement.organisation, scope.organisation);
    identifier(statement.team, scope.team);
    identifier(statement.availabilityZone, scope.availabilityZone);
    scope.jobClass = statement.jobClass;
    return scope;
}

StoreReads ledgerReads(const ReviewScope &scope, WallTime now)
{
    StoreReads reads;
    const WallTime last = std::min(dayOf(now), dayOf(scope.until) + extraLedgerDays);
    for (WallTime day = dayOf(scope.from); day <= last; day += std::chrono::days{1}) {
        reads.ranges.push_back({{ledgerDayPrefix(day)}, true});
    }
    return reads;
}

ReviewInput reviewInput(const Blackboard &board, const ReviewScope &scope, const std::vector<StoreReadResult> &reads)
{
    ReviewInput input;
    input.scope = scope;
    input.configuration = board.configuration;
    input.now = board.wallNow;
    std::vector<Job> ledger;
    for (const auto &read : reads) {
        for (const auto &entry : read.entries) {
            if (const auto *batch = std::get_if<LedgerBatch>(&entry.record)) {
                ledger.insert(ledger.end(), batch->jobs.begin(), batch->jobs.end());
            }
        }
    }
    std::vector<Job> boardJobs;
    long long uncertain = 0;
    for (const auto &[id, job] : board.jobs.rows()) {
        boardJobs.push_back(job);
    }
    input.jobs = mergeRecords(ledger, boardJobs);
    for (const auto &[id, job] : input.jobs) {
        addOpenInterval(input, board, job, uncertain);
    }
    addLedgerGaps(input, reads);
    addZoneGaps(input, board);
    addStoreGaps(input, board);
    if (uncertain > 0) {
        input.gaps.push_back(
            absl::StrCat("uncertain: ",
                         uncertain,
                         " jobs run in zones of other hosts; the holdings of their current attempts are estimated or, after earlier attempts, not counted"));
    }
    return input;
}

StatementResult reviewTables(const Review &review)
{
    StatementResult result;
    const std::string range = toText(review.scope.from) + " to " + toText(std::min(review.scope.until, review.createdAt));
    auto byOrganisation = review.byOrganisation;
    byOrganisation.push_back(review.total);
    result.tables.push_back(outcomeTable("How work finished, accepted " + range, "organisation", byOrganisation));
    result.tables.push_back(outcomeTable("How work finished, by class", "class", review.byClass));
    ResultTable refusals{"Refused jobs by reason", {"reason", "jobs"}, {}};
    for (const auto &[reason, jobs] : review.refusals) {
        refusals.rows.push_back({reason, jobs});
    }
    ResultTable capacity{
        "Accelerator-hours by organisation", {"organisation", "held", "borrowed", "guaranteed", "lent", "reclaimed_from", "reclaimed_hours"}, {}};
    auto figures = review.capacity;
    figures.push_back(review.capacityTotal);
    for (const auto &organisationFigures : figures) {
        capacity.rows.push_back({organisationFigures.organisation,
                                 organisationFigures.held,
                                 organisationFigures.borrowed,
                                 organisationFigures.guaranteed,
                                 organisationFigures.lent,
                                 organisationFigures.reclaimedCount,
                                 organisationFigures.reclaimed});
    }
    ResultTable losses{"Lost work by cause", {"cause", "attempts", "accelerator_hours"}, {}};
    for (const auto &loss : review.losses) {
        losses.rows.push_back({loss.cause, loss.attempts, loss.acceleratorHours});
    }
    ResultTable inDoubt{"Jobs in doubt", {"job", "since", "explanation"}, {}};
    for (const auto &job : review.inDoubt) {
        inDoubt.rows.push_back({toString(job.job), job.since ? ResultCell{*job.since} : ResultCell{}, job.explanation});
    }
    for (auto &table : {refusals, capacity, losses, inDoubt}) {
        result.tables.push_back(table);
    }
    result.notices = review.gaps;
    if (!review.capacityTotal.organisation.empty() && review.capacityTotal.guaranteed > 0) {
        result.notices.emplace_back(
            "guaranteed and lent hours follow the configuration in force now; lent hours are allocated in proportion to unused guarantees");
    }
    return result;
}

}
