#include "placementload.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr Duration passPeriod{20};
constexpr double coresPerAccelerator = 8;
constexpr double milliPerCore = 1'000;
constexpr double lateFactor = 3;
constexpr double maxWorthFactor = 4;
constexpr Duration settleTime{30'000}; ///< Time after the last arrival in which work may still end.

/// A unit that runs or waits as a whole: a gang, or one task of a batch.
struct Unit
{
    std::vector<int> tasks;
    Duration done{0}; ///< Saved progress, as run time on a target of normal speed.
    bool isFinished = false;
    std::map<int, std::size_t> places; ///< Target of each task while the unit runs.
    Duration startedAt{0};
    Duration endsAt{0};
    double rate = 1;                ///< Progress for each unit of time.
    std::optional<Duration> freeAt; ///< When the room of a stopped unit becomes free.
};

struct Job
{
    const WorkKind *kind = nullptr;
    StepId id;
    Duration arrivedAt{0};
    Duration work{0};
    Duration estimate{0};
    int tasks = 0;
    int accelerators = 1;
    bool needsOneRack = false;
    bool isCheckpointable = false;
    std::vector<Unit> units;
    std::optional<Duration> firstStart;
    std::optional<Duration> endedAt;
    int preempted = 0;
};

double coresOf(const Job &job)
{
    return job.kind->milliCpu / milliPerCore + coresPerAccelerator * job.accelerators;
}

int drawCount(std::mt19937 &random, double mean, double spread, int most)
{
    // A log-normal distribution with the given mean and relative standard deviation.
    const double sigma = std::sqrt(std::log1p(spread * spread));
    std::lognormal_distribution<double> draw(std::log(mean) - sigma * sigma / 2, sigma);
    return std::clamp(static_cast<int>(std::lround(draw(random))), 1, most);
}

Duration drawTime(std::mt19937 &random, double mean, double spread)
{
    const double sigma = std::sqrt(std::log1p(spread * spread));
    std::lognormal_distribution<double> draw(std::log(mean) - sigma * sigma / 2, sigma);
    return Duration{static_cast<Duration::rep>(1'000 * draw(random))};
}

double rateAt(const PlacementLoad &load, const WorkKind &kind, Duration at)
{
    double rate = kind.perSecond;
    for (const auto &burst : load.bursts) {
        rate *= burst.kind == kind.name && at >= burst.from && at < burst.from + burst.length ? burst.factor : 1;
    }
    return rate;
}

std::vector<Job> drawJobs(const PlacementLoad &load, std::mt19937 &random)
{
    std::vector<Job> jobs;
    for (const auto &kind : load.kinds) {
        for (Duration at{0}; at < load.length; at += passPeriod) {
            std::poisson_distribution<int> arrivals(rateAt(load, kind, at) * std::chrono::duration<double>(passPeriod).count());
            for (int left = arrivals(random); left > 0; --left) {
                Job job;
                job.kind = &kind;
                job.id = {{kind.name + "-" + std::to_string(jobs.size())}, 0, 0};
                job.arrivedAt = at;
                job.work = drawTime(random, kind.meanSeconds, kind.timeSpread);
                job.estimate = std::chrono::duration_cast<Duration>(
                    job.work * (1 + std::uniform_real_distribution<double>(-kind.estimateError / 2, kind.estimateError)(random)));
                job.tasks = drawCount(random, kind.meanTasks, kind.taskSpread, kind.maxTasks);
                job.accelerators = kind.accelerators[std::uniform_int_distribution<std::size_t>(0, kind.accelerators.size() - 1)(random)];
                job.needsOneRack = std::bernoulli_distribution(kind.oneRackShare)(random);
                job.isCheckpointable = std::bernoulli_distribution(kind.checkpointShare)(random);
                const int units = kind.isGang ? 1 : job.tasks;
                job.units.resize(static_cast<std::size_t>(units));
                for (int task = 0; task < job.tasks; ++task) {
                    job.units[kind.isGang ? 0 : static_cast<std::size_t>(task)].tasks.push_back(task);
                }
                jobs.push_back(std::move(job));
            }
        }
    }
    std::ranges::stable_sort(jobs, {}, &Job::arrivedAt);
    return jobs;
}

Duration objectiveOf(const Job &job)
{
    return std::chrono::duration_cast<Duration>(job.work * job.kind->stretch) + job.kind->latencyTarget;
}

class LoadWorld
{
public:
    explicit LoadWorld(const PlacementLoad &load)
        : m_load(load)
        , m_random(load.seed)
        , m_jobs(drawJobs(load, m_random))
    {
        for (int number = 0; number < load.targets; ++number) {
            PlacementTarget target;
            target.id = {"t" + std::to_string(10'000 + number)};
            target.service = {"press"};
            target.rack = {"r" + std::to_string(1'000 + number / load.targetsPerRack)};
            target.labels = {"kind", target.rack.value};
            target.capacity = load.capacity;
            target.free = load.capacity;
            target.freeAfterStops = load.capacity;
            target.acceptsWork = true;
            m_numbers.emplace(target.id, m_targets.size());
            m_targets.push_back(std::move(target));
            m_speeds.push_back(load.speeds[std::uniform_int_distribution<std::size_t>(0, load.speeds.size() - 1)(m_random)]);
        }
    }

    LoadOutcome play()
    {
        const auto end = m_load.length + settleTime;
        for (m_now = Duration{0}; m_now < end; m_now += passPeriod) {
            endUnits();
            admit();
            pass();
        }
        return outcome();
    }

private:
    void change(std::size_t target, const Resources &used, int sign, bool isFree, bool isFreeAfterStops)
    {
        auto &row = m_targets[target];
        row.free = isFree ? row.free + used * sign : row.free;
        row.freeAfterStops = isFreeAfterStops ? row.freeAfterStops + used * sign : row.freeAfterStops;
    }

    Resources perTask(const Job &job) const
    {
        return {job.kind->milliCpu, job.kind->memoryMb, job.accelerators};
    }

    void endUnits()
    {
        for (const std::size_t number : std::vector<std::size_t>(m_open.begin(), m_open.end())) {
            auto &job = m_jobs[number];
            for (auto &unit : job.units) {
                const bool hasFinished = !unit.places.empty() && !unit.freeAt && unit.endsAt <= m_now;
                const bool isStopped = unit.freeAt && *unit.freeAt <= m_now;
                if (!hasFinished && !isStopped) {
                    continue;
                }
                for (const auto &[task, target] : unit.places) {
                    change(target, perTask(job), 1, true, !isStopped);
                }
                unit.places.clear();
                unit.freeAt.reset();
                unit.isFinished = hasFinished;
            }
            if (std::ranges::all_of(job.units, &Unit::isFinished)) {
                job.endedAt = m_now;
                m_open.erase(number);
            }
        }
    }

    void admit()
    {
        while (m_next < m_jobs.size() && m_jobs[m_next].arrivedAt <= m_now) {
            m_byStep.emplace(m_jobs[m_next].id, m_next);
            if (m_jobs[m_next].kind->priority == 0) {
                m_urgent.push_back(m_next);
            }
            m_open.insert(m_next++);
        }
    }

    std::vector<WaitingStep> waiting()
    {
        std::vector<WaitingStep> steps;
        for (const std::size_t number : m_open) {
            const auto &job = m_jobs[number];
            WaitingStep step;
            for (const auto &unit : job.units) {
                if (unit.places.empty() && !unit.isFinished) {
                    step.tasks.insert(step.tasks.end(), unit.tasks.begin(), unit.tasks.end());
                }
            }
            if (step.tasks.empty()) {
                continue;
            }
            step.step = job.id;
            step.service = {"press"};
            step.priority = job.kind->priority;
            step.specification.taskCount = job.tasks;
            step.specification.perTask = perTask(job);
            step.specification.estimate = job.estimate;
            step.specification.isGang = job.kind->isGang;
            step.specification.needsOneRack = job.needsOneRack;
            step.specification.isCheckpointable = job.isCheckpointable;
            step.waited = m_now - job.arrivedAt;
            step.remaining = job.estimate;
            step.slack = std::chrono::duration_cast<Duration>(job.estimate * job.kind->stretch) + job.kind->latencyTarget - job.estimate - step.waited;
            steps.push_back(std::move(step));
        }
        return steps;
    }

    double lostWork(const Job &job, const Unit &unit) const
    {
        const Duration ran = m_now - unit.startedAt;
        const Duration lost = job.isCheckpointable ? std::min(ran, m_load.checkpointPeriod + m_load.restoreTime) : ran;
        return coresOf(job) * static_cast<double>(unit.tasks.size()) * std::chrono::duration<double>(lost).count();
    }

    std::vector<RunningUnit> running()
    {
        std::vector<RunningUnit> units;
        for (const std::size_t number : m_open) {
            const auto &job = m_jobs[number];
            for (const auto &unit : job.units) {
                if (unit.places.empty() || unit.freeAt) {
                    continue;
                }
                RunningUnit row;
                row.step = job.id;
                row.priority = job.kind->priority;
                row.perTask = perTask(job);
                for (const auto &[task, target] : unit.places) {
                    row.tasks.emplace(task, m_targets[target].id);
                }
                row.lostWork = lostWork(job, unit);
                row.remaining = unit.endsAt - m_now;
                units.push_back(std::move(row));
            }
        }
        return units;
    }

    int reserve()
    {
        while (!m_urgent.empty() && m_now - m_jobs[m_urgent.front()].arrivedAt > arrivalWindow) {
            m_urgent.pop_front();
        }
        UrgentArrivals arrivals;
        for (const std::size_t number : m_urgent) {
            arrivals.accelerators += m_jobs[number].tasks * m_jobs[number].accelerators;
            ++arrivals.steps;
        }
        return urgentReserve(arrivals, m_load.targets * m_load.capacity.accelerators, m_load.stopGrace);
    }

    void pass()
    {
        PlacementInput input;
        input.waiting = waiting();
        if (input.waiting.empty()) {
            m_held.clear();
            return;
        }
        ++m_passes;
        input.targets = m_targets;
        input.stopTime = m_load.stopGrace + stopOverhead;
        input.held = std::exchange(m_held, {});
        input.remoteFactor = m_load.remoteFactor;
        input.urgentReserves.emplace(ServiceId{"press"}, reserve());
        auto plan = planPlacements(std::move(input), [this] { return running(); });
        std::ranges::for_each(plan.stops, [this](const PreemptedTask &stop) { preempt(stop.task); });
        startAll(plan.starts);
        m_held = std::move(plan.held);
    }

    Unit &unitOf(const TaskId &task)
    {
        auto &job = m_jobs[m_byStep.at(task.step)];
        return job.units[job.kind->isGang ? 0 : static_cast<std::size_t>(task.index)];
    }

    void preempt(const TaskId &task)
    {
        auto &job = m_jobs[m_byStep.at(task.step)];
        auto &unit = unitOf(task);
        ++job.preempted;
        if (unit.freeAt) {
            return;
        }
        m_lost += lostWork(job, unit);
        if (job.isCheckpointable) {
            const auto done = std::chrono::duration_cast<Duration>((m_now - unit.startedAt) * unit.rate);
            unit.done += done / m_load.checkpointPeriod * m_load.checkpointPeriod;
        }
        unit.freeAt = m_now + m_load.stopGrace + passPeriod;
        for (const auto &[number, target] : unit.places) {
            change(target, perTask(job), 1, false, true);
        }
    }

    void startAll(const std::vector<PlannedStart> &starts)
    {
        std::set<StepId> started;
        for (const auto &start : starts) {
            auto &job = m_jobs[m_byStep.at(start.task.step)];
            auto &unit = unitOf(start.task);
            const std::size_t target = m_numbers.at(start.target);
            unit.places.emplace(start.task.index, target);
            change(target, perTask(job), -1, true, true);
            started.insert(start.task.step);
            job.firstStart = job.firstStart.value_or(m_now);
        }
        for (const auto &step : started) {
            auto &job = m_jobs[m_byStep.at(step)];
            for (auto &unit : job.units) {
                if (unit.places.empty() || unit.startedAt == m_now || (unit.endsAt > m_now && unit.startedAt > Duration{0}) || unit.freeAt) {
                    continue;
                }
                begin(job, unit);
            }
        }
    }

    void begin(const Job &job, Unit &unit)
    {
        std::set<RackId> racks;
        double slowest = m_speeds[unit.places.begin()->second];
        for (const auto &[task, target] : unit.places) {
            racks.insert(m_targets[target].rack);
            slowest = std::min(slowest, m_speeds[target]);
        }
        unit.rate = slowest / (job.needsOneRack && racks.size() > 1 ? m_load.remoteFactor : 1);
        unit.startedAt = m_now;
        const auto restore = unit.done > Duration{0} ? m_load.restoreTime : Duration{0};
        unit.endsAt = m_now + restore + std::chrono::duration_cast<Duration>((job.work - unit.done) / unit.rate);
    }

    LoadOutcome outcome() const
    {
        LoadOutcome result;
        result.coreSecondsLost = m_lost;
        result.passes = m_passes;
        std::map<std::string, double> meanWork;
        std::map<std::string, int> counts;
        const auto workOf = [](const Job &job) { return coresOf(job) * job.tasks * std::chrono::duration<double>(job.work).count(); };
        for (const auto &job : m_jobs) {
            meanWork[job.kind->name] += workOf(job);
            ++counts[job.kind->name];
        }
        std::map<long, std::pair<double, double>> seconds;
        double owed = 0;
        double earned = 0;
        for (const auto &kind : m_load.kinds) {
            KindOutcome row;
            row.name = kind.name;
            for (const auto &job : m_jobs) {
                if (job.kind->name != kind.name) {
                    continue;
                }
                const double relative = workOf(job) / (meanWork[kind.name] / counts[kind.name]);
                const double factor = std::min(maxWorthFactor, 0.3 + 0.7 * relative);
                const auto objective = objectiveOf(job);
                const bool isInTime = job.endedAt && *job.endedAt - job.arrivedAt <= objective;
                const bool isLate = !isInTime && job.endedAt && *job.endedAt - job.arrivedAt <= objective * lateFactor;
                const double worth = factor * (isInTime ? kind.worth : isLate ? kind.lateWorth : 0);
                ++row.arrived;
                row.inTime += isInTime ? 1 : 0;
                row.late += isLate ? 1 : 0;
                row.owed += factor * kind.worth;
                row.earned += worth;
                row.meanWaitMs += static_cast<double>((job.firstStart.value_or(m_now) - job.arrivedAt).count());
                row.preemptedTasks += job.preempted;
                auto &second = seconds[job.arrivedAt / std::chrono::seconds{2}];
                second.first += factor * kind.worth;
                second.second += worth;
            }
            row.meanWaitMs /= std::max(1, row.arrived);
            owed += row.owed;
            earned += row.earned;
            result.kinds.push_back(std::move(row));
        }
        result.earnedShare = earned / owed;
        std::vector<double> shares;
        std::ranges::transform(seconds, std::back_inserter(shares), [](const auto &row) { return row.second.second / row.second.first; });
        std::ranges::sort(shares);
        result.worstWindowShare = shares.size() < 2 ? 0 : (shares[0] + shares[1]) / 2;
        return result;
    }

    const PlacementLoad &m_load;
    std::mt19937 m_random;
    std::vector<Job> m_jobs;
    std::vector<PlacementTarget> m_targets;
    std::vector<double> m_speeds;
    std::map<TargetId, std::size_t> m_numbers;
    std::map<StepId, std::size_t> m_byStep;
    std::set<std::size_t> m_open;
    std::deque<std::size_t> m_urgent;
    std::map<StepId, TaskPlaces> m_held;
    Duration m_now{0};
    std::size_t m_next = 0;
    double m_lost = 0;
    int m_passes = 0;
};

}

PlacementLoad crowdedFleet(int targets, double factor, unsigned seed)
{
    // Demand grows with the fleet: urgent work takes a fifth of the accelerators, ordinary work a third and patient work a quarter, before bursts.
    const double scale = factor * targets / 540;
    WorkKind urgent;
    urgent.name = "urgent";
    urgent.perSecond = 14.6 * scale;
    urgent.meanTasks = 5.3;
    urgent.maxTasks = 32;
    urgent.meanSeconds = 2.5;
    urgent.timeSpread = 0.5;
    urgent.accelerators = {1, 2, 4, 8, 8};
    urgent.milliCpu = 3'700;
    urgent.memoryMb = 5'500;
    urgent.isGang = true;
    urgent.oneRackShare = 0.8;
    urgent.estimateError = 0.5;
    urgent.stretch = 1.5;
    urgent.latencyTarget = Duration{250};
    urgent.worth = 4;
    urgent.lateWorth = 0.8;
    WorkKind ordinary = urgent;
    ordinary.name = "ordinary";
    ordinary.priority = 1;
    ordinary.perSecond = 3.64 * scale;
    ordinary.meanTasks = 13;
    ordinary.maxTasks = 76;
    ordinary.meanSeconds = 6.8;
    ordinary.timeSpread = 0.3;
    ordinary.milliCpu = 13'000;
    ordinary.memoryMb = 19'000;
    ordinary.oneRackShare = 0.6;
    ordinary.checkpointShare = 0.45;
    ordinary.estimateError = 0.9;
    ordinary.stretch = 3;
    ordinary.latencyTarget = Duration{1'000};
    ordinary.worth = 3;
    ordinary.lateWorth = 1.5;
    WorkKind patient = ordinary;
    patient.name = "patient";
    patient.priority = 2;
    patient.perSecond = 4.6 * scale;
    patient.meanTasks = 38;
    patient.maxTasks = 230;
    patient.meanSeconds = 6.1;
    patient.accelerators = {1};
    patient.milliCpu = 2'800;
    patient.memoryMb = 4'100;
    patient.isGang = false;
    patient.oneRackShare = 0;
    patient.estimateError = 0.2;
    patient.latencyTarget = Duration{3'000};
    patient.worth = 1;
    patient.lateWorth = 0.5;
    PlacementLoad load;
    load.targets = targets;
    load.seed = seed;
    load.kinds = {urgent, ordinary, patient};
    load.bursts = {{"patient", Duration{12'000}, Duration{4'000}, 2.5}, {"urgent", Duration{10'000}, Duration{6'000}, 2.1}};
    return load;
}

LoadOutcome playLoad(const PlacementLoad &load)
{
    return LoadWorld(load).play();
}

}
