#include "review.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr double millisecondsPerHour = 3'600'000.0;

bool isInScope(const Job &job, const ReviewScope &scope)
{
    const auto &specification = job.specification;
    return (!scope.organisation || *scope.organisation == specification.id.organisation) && (!scope.team || *scope.team == specification.team)
           && (!scope.jobClass || *scope.jobClass == specification.jobClass) && (!scope.availabilityZone || *scope.availabilityZone == job.availabilityZone);
}

bool isWithin(WallTime time, const ReviewScope &scope)
{
    return time >= scope.from && time < scope.until;
}

/// Accelerator-hours of the part of the interval that lies between the two times.
double hoursBetween(const HeldInterval &interval, WallTime from, WallTime until)
{
    const Duration held = std::min(interval.until, until) - std::max(interval.from, from);
    return held > Duration{0} ? static_cast<double>(held.count()) * interval.accelerators / millisecondsPerHour : 0;
}

bool hasMissedDeadline(const Job &job, WallTime now)
{
    const auto &deadline = job.specification.deadline;
    if (!deadline) {
        return false;
    }
    return job.state == JobState::Finished ? job.finishedAt.value_or(now) > *deadline : isTerminal(job.state) || now > *deadline;
}

struct OutcomeSamples
{
    OutcomeFigures figures;
    std::vector<Duration> completions;
    std::vector<Duration> waits;
};

long long &counterOf(OutcomeFigures &figures, JobState state)
{
    switch (state) {
    case JobState::Waiting:
        return figures.waiting;
    case JobState::Finished:
        return figures.finished;
    case JobState::Failed:
        return figures.failed;
    case JobState::Cancelled:
        return figures.cancelled;
    case JobState::Refused:
        return figures.refused;
    case JobState::Unknown:
        return figures.unknown;
    default:
        return figures.running;
    }
}

void addOutcome(OutcomeSamples &samples, const Job &job, WallTime now)
{
    auto &figures = samples.figures;
    ++figures.accepted;
    ++counterOf(figures, job.state);
    figures.deadlines += job.specification.deadline ? 1 : 0;
    figures.missedDeadlines += hasMissedDeadline(job, now) ? 1 : 0;
    if (job.state == JobState::Finished && job.finishedAt) {
        samples.completions.push_back(*job.finishedAt - job.acceptedAt);
    }
    if (job.startedAt) {
        samples.waits.push_back(*job.startedAt - job.acceptedAt);
    }
}

OutcomeFigures summarised(OutcomeSamples samples, const std::string &group)
{
    samples.figures.group = group;
    samples.figures.completion = figuresOf(std::move(samples.completions));
    samples.figures.wait = figuresOf(std::move(samples.waits));
    return samples.figures;
}

std::vector<OutcomeFigures> summarised(std::map<std::string, OutcomeSamples> groups)
{
    std::vector<OutcomeFigures> list;
    std::ranges::transform(groups, std::back_inserter(list), [](const auto &row) { return summarised(row.second, row.first); });
    return list;
}

/// Finds the refusal reason of a job by the reason's name, with which the explanation of a refused job starts.
std::string refusalReason(const Job &job)
{
    for (int number = 0; number <= static_cast<int>(RefusalReason::Internal); ++number) {
        std::string reason{name(static_cast<RefusalReason>(number))};
        if (job.explanation.starts_with(reason + ":")) {
            return reason;
        }
    }
    return "no reason recorded";
}

void addOutcomes(Review &review, const ReviewInput &input)
{
    OutcomeSamples total;
    std::map<std::string, OutcomeSamples> organisations;
    std::map<std::string, OutcomeSamples> classes;
    for (const auto &[id, job] : input.jobs) {
        if (!isInScope(job, input.scope) || !isWithin(job.acceptedAt, input.scope)) {
            continue;
        }
        addOutcome(total, job, input.now);
        addOutcome(organisations[id.organisation.value], job, input.now);
        addOutcome(classes[std::string(name(job.specification.jobClass))], job, input.now);
        if (job.state == JobState::Refused) {
            ++review.refusals[refusalReason(job)];
        }
        if (job.state == JobState::Unknown) {
            review.inDoubt.push_back({id, job.finishedAt, job.explanation});
        }
    }
    review.total = summarised(std::move(total), "all");
    review.byOrganisation = summarised(std::move(organisations));
    review.byClass = summarised(std::move(classes));
}

/// All intervals of a job, including the open interval of its running attempt.
std::vector<HeldInterval> intervalsOf(const Job &job, const ReviewInput &input)
{
    std::vector<HeldInterval> intervals = job.held;
    if (const auto found = input.openIntervals.find(job.specification.id); found != input.openIntervals.end()) {
        intervals.push_back(found->second);
    }
    return intervals;
}

using ZoneOfOrganisation = std::pair<AvailabilityZoneId, OrganisationId>;

struct ZoneHours
{
    double used = 0;     ///< Hours held within guarantees.
    double borrowed = 0; ///< Hours held outside guarantees.
};

/// Counts the unused guaranteed hours of a zone as lent, up to the hours borrowed in the zone, and divides the lent hours among the organisations in proportion
/// to their unused guarantees.
void addLent(std::map<std::string, CapacityFigures> &figures,
             const std::map<ZoneOfOrganisation, double> &guaranteed,
             const std::map<ZoneOfOrganisation, ZoneHours> &hours)
{
    std::map<AvailabilityZoneId, double> unused;
    std::map<AvailabilityZoneId, double> borrowed;
    const auto unusedOf = [&hours](const auto &row) {
        const auto used = hours.find(row.first);
        return std::max(0.0, row.second - (used == hours.end() ? 0.0 : used->second.used));
    };
    for (const auto &row : guaranteed) {
        unused[row.first.first] += unusedOf(row);
    }
    for (const auto &[key, zone] : hours) {
        borrowed[key.first] += zone.borrowed;
    }
    for (const auto &row : guaranteed) {
        const auto &zone = row.first.first;
        if (unused[zone] > 0) {
            figures[row.first.second.value].lent += unusedOf(row) * std::min(1.0, borrowed[zone] / unused[zone]);
        }
    }
}

double rangeHours(const ReviewInput &input)
{
    const Duration range = std::min(input.scope.until, input.now) - input.scope.from;
    return std::max(0.0, static_cast<double>(range.count()) / millisecondsPerHour);
}

void addCapacity(Review &review, const ReviewInput &input)
{
    std::map<std::string, CapacityFigures> figures;
    std::map<ZoneOfOrganisation, double> guaranteed;
    std::map<ZoneOfOrganisation, ZoneHours> hours;
    const auto &scope = input.scope;
    for (const auto &[id, guarantee] : input.configuration.guarantees) {
        const auto &shape = guarantee.shape;
        const bool isCounted = !scope.availabilityZone || *scope.availabilityZone == guarantee.availabilityZone;
        const double size = 1.0 * shape.acceleratorsPerWorker * shape.workersPerRack * shape.racks * shape.count;
        guaranteed[{guarantee.availabilityZone, guarantee.organisation}] += isCounted ? size * rangeHours(input) : 0.0;
    }
    for (const auto &[id, job] : input.jobs) {
        for (const auto &interval : intervalsOf(job, input)) {
            const double held = hoursBetween(interval, scope.from, scope.until);
            auto &zone = hours[{job.availabilityZone, id.organisation}];
            (interval.isBorrowed ? zone.borrowed : zone.used) += held;
            if (!isInScope(job, scope)) {
                continue;
            }
            auto &organisationFigures = figures[id.organisation.value];
            organisationFigures.held += held;
            organisationFigures.borrowed += interval.isBorrowed ? held : 0;
            if (interval.isBorrowed && interval.end == HoldEnd::Preempted && isWithin(interval.until, scope)) {
                ++organisationFigures.reclaimedCount;
                organisationFigures.reclaimed += held;
            }
        }
    }
    for (const auto &[key, size] : guaranteed) {
        figures[key.second.value].guaranteed += size;
    }
    addLent(figures, guaranteed, hours);
    for (auto &[organisation, organisationFigures] : figures) {
        organisationFigures.organisation = organisation;
        if (scope.organisation && scope.organisation->value != organisation) {
            continue;
        }
        auto &total = review.capacityTotal;
        total.held += organisationFigures.held;
        total.borrowed += organisationFigures.borrowed;
        total.guaranteed += organisationFigures.guaranteed;
        total.lent += organisationFigures.lent;
        total.reclaimedCount += organisationFigures.reclaimedCount;
        total.reclaimed += organisationFigures.reclaimed;
        review.capacity.push_back(organisationFigures);
    }
    review.capacityTotal.organisation = "all";
}

void addLosses(Review &review, const ReviewInput &input)
{
    std::map<std::string, LossFigures> losses;
    for (const auto &[id, job] : input.jobs) {
        if (!isInScope(job, input.scope)) {
            continue;
        }
        for (const auto &interval : job.held) {
            if (interval.lostWork > Duration{0} && isWithin(interval.until, input.scope)) {
                const std::string cause = interval.end == HoldEnd::Unrecorded ? "cause not recorded" : std::string(name(interval.end));
                auto &loss = losses.try_emplace(cause, LossFigures{cause}).first->second;
                ++loss.attempts;
                loss.acceleratorHours += static_cast<double>(interval.lostWork.count()) * interval.accelerators / millisecondsPerHour;
            }
        }
    }
    std::ranges::copy(losses | std::views::values, std::back_inserter(review.losses));
}

void addDays(Review &review, const ReviewInput &input)
{
    const auto &scope = input.scope;
    const WallTime end = std::min(scope.until, input.now);
    for (WallTime day = std::chrono::floor<std::chrono::days>(scope.from); day < end; day += std::chrono::days{1}) {
        review.days.push_back({day});
    }
    const WallTime first = std::chrono::floor<std::chrono::days>(scope.from);
    const auto dayOf = [&](WallTime time) { return static_cast<std::size_t>((time - first) / std::chrono::days{1}); };
    for (const auto &[id, job] : input.jobs) {
        if (!isInScope(job, scope)) {
            continue;
        }
        if (job.finishedAt && isTerminal(job.state) && isWithin(*job.finishedAt, scope) && *job.finishedAt < end) {
            auto &day = review.days[dayOf(*job.finishedAt)];
            ++(job.state == JobState::Finished ? day.finished : day.notFinished);
        }
        for (const auto &interval : intervalsOf(job, input)) {
            for (WallTime from = std::max(scope.from, interval.from); from < std::min(end, interval.until);) {
                const WallTime midnight = std::chrono::floor<std::chrono::days>(from) + std::chrono::days{1};
                const WallTime until = std::min({midnight, interval.until, end});
                const double held = hoursBetween(interval, from, until);
                review.days[dayOf(from)].held += held;
                review.days[dayOf(from)].borrowed += interval.isBorrowed ? held : 0;
                from = until;
            }
        }
    }
}

}

std::map<JobId, Job> mergeRecords(const std::vector<Job> &ledger, const std::vector<Job> &board)
{
    std::map<JobId, Job> merged;
    for (const auto *list : {&ledger, &board}) {
        for (const auto &job : *list) {
            const auto [row, isNew] = merged.try_emplace(job.specification.id, job);
            if (!isNew && (isTerminal(job.state) || !isTerminal(row->second.state))) {
                row->second = job;
            }
        }
    }
    return merged;
}

DurationFigures figuresOf(std::vector<Duration> durations)
{
    DurationFigures figures;
    if (durations.empty()) {
        return figures;
    }
    std::ranges::sort(durations);
    const auto rank = [&durations](std::size_t percent) { return durations[(durations.size() * percent + 99) / 100 - 1]; };
    figures.count = static_cast<long long>(durations.size());
    figures.mean = std::accumulate(durations.begin(), durations.end(), Duration{0}) / figures.count;
    figures.p50 = rank(50);
    figures.p90 = rank(90);
    figures.p99 = rank(99);
    return figures;
}

Review makeReview(const ReviewInput &input)
{
    Review review;
    review.scope = input.scope;
    review.createdAt = input.now;
    review.gaps = input.gaps;
    addOutcomes(review, input);
    addCapacity(review, input);
    addLosses(review, input);
    addDays(review, input);
    return review;
}

}
