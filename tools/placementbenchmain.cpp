#include "core/clusterview.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace sequoiastand;

/// One zone of the benchmarked size with running work on most of its targets.
struct BenchZone
{
    Configuration configuration;
    Table<TargetId, Target> targets;
    std::set<TargetId> startable;
    Table<JobId, Job> jobs;
    Table<AttemptId, Attempt> attempts;
    std::map<AvailabilityZoneId, ZoneCapacity> otherZones;
    TimePoint now{std::chrono::hours{10}};
};

const AvailabilityZoneId zoneId{"zone-01"};
constexpr int targetsPerAcceleratedTarget = 3;

ClusterView viewOf(const BenchZone &zone)
{
    return {
        zoneId, zone.configuration, zone.targets, zone.startable, zone.jobs, zone.attempts, zone.otherZones, zone.now, WallTime{zone.now.time_since_epoch()}};
}

JobSpecification specification(int number, JobClass jobClass, int tasks, int accelerators, std::mt19937 &random)
{
    JobSpecification jobSpecification;
    jobSpecification.id = {{"org" + std::to_string(number % 24)}, {"job" + std::to_string(number)}};
    jobSpecification.team = {"team" + std::to_string(number % 370)};
    jobSpecification.jobClass = jobClass;
    jobSpecification.taskCount = tasks;
    jobSpecification.acceleratorsPerTask = accelerators;
    jobSpecification.milliCpuPerTask = 2'000;
    jobSpecification.memoryMbPerTask = 4'000;
    jobSpecification.isIdempotent = true;
    jobSpecification.isCheckpointable = number % 3 != 0;
    jobSpecification.declaredRunTime = std::chrono::minutes{20 + random() % 400};
    return jobSpecification;
}

void addTarget(BenchZone &zone, int number)
{
    const auto text = std::to_string(100'000 + number);
    Target target{{"w" + text}, {"r" + std::to_string(1'000 + number / 8)}, zoneId};
    target.acceleratorCount = number % targetsPerAcceleratedTarget == 0 ? 8 : 0;
    target.milliCpu = 64'000;
    target.memoryMb = 256'000;
    target.health = TargetHealth::Healthy;
    zone.startable.insert(target.id);
    zone.targets.put(target.id, target);
}

/// Adds a running attempt of the job whose tasks use consecutive accelerators of the target from `firstAccelerator` on.
void addRunning(BenchZone &zone, const TargetId &target, const JobSpecification &jobSpecification, int firstAccelerator, std::mt19937 &random)
{
    Job job;
    job.specification = jobSpecification;
    job.availabilityZone = zoneId;
    job.state = JobState::Running;
    job.attemptCount = 1;
    Attempt attempt;
    attempt.id = {jobSpecification.id, 1};
    attempt.step = AttemptStep::Running;
    attempt.runningSince = zone.now - std::chrono::seconds{60 + random() % 10'000};
    attempt.checkpointedWork = std::chrono::seconds{random() % 60};
    for (int task = 0; task < jobSpecification.taskCount; ++task) {
        const auto mask = ((AcceleratorMask{1} << jobSpecification.acceleratorsPerTask) - 1)
                          << (firstAccelerator + task * jobSpecification.acceleratorsPerTask);
        attempt.members.push_back({task, target, jobSpecification.acceleratorsPerTask > 0 ? mask : 0, MemberStep::Running});
    }
    zone.attempts.put(attempt.id, attempt);
    zone.jobs.put(jobSpecification.id, job);
}

BenchZone makeZone(int targets, int tasks, int waiting)
{
    BenchZone zone;
    std::mt19937 random(1);
    for (int number = 0; number < targets; ++number) {
        addTarget(zone, number);
    }
    for (int organisation = 0; organisation < targets / 40; ++organisation) {
        const auto id = "guarantee" + std::to_string(organisation);
        zone.configuration.guarantees[id] = {id, {"org" + std::to_string(organisation % 24)}, zoneId, {8, organisation % 2 + 1, 1, 1}};
    }
    int placed = 0;
    int number = 0;
    // The running attempts use all accelerators, so every placement decision has to compare these attempts.
    for (const auto &[id, target] : zone.targets.rows()) {
        for (int firstAccelerator = 0; firstAccelerator < target.acceleratorCount;) {
            const int width = std::min(target.acceleratorCount - firstAccelerator, 1 << random() % 3);
            addRunning(zone, id, specification(number++, JobClass::Ordinary, 1, width, random), firstAccelerator, random);
            firstAccelerator += width;
            ++placed;
        }
    }
    for (auto target = zone.targets.rows().begin(); placed < tasks; ++placed) {
        addRunning(zone, target->first, specification(number++, JobClass::Patient, 1, 0, random), 0, random);
        target = std::next(target) == zone.targets.rows().end() ? zone.targets.rows().begin() : std::next(target);
    }
    for (int job = 0; job < waiting; ++job) {
        Job waitingJob;
        waitingJob.specification =
            specification(number++, job % 2 == 0 ? JobClass::Ordinary : JobClass::Patient, job % 10 == 0 ? 4 : 1, 1 << random() % 4, random);
        waitingJob.availabilityZone = zoneId;
        waitingJob.acceptedAt = WallTime{zone.now.time_since_epoch()} - std::chrono::seconds{random() % 1'000};
        zone.jobs.put(waitingJob.specification.id, waitingJob);
    }
    return zone;
}

void addUrgent(BenchZone &zone)
{
    std::mt19937 random(2);
    Job job;
    job.specification = specification(1'000'000, JobClass::Urgent, 1, 1, random);
    job.availabilityZone = zoneId;
    job.acceptedAt = WallTime{zone.now.time_since_epoch()};
    zone.jobs.put(job.specification.id, job);
}

double threadMilliseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

double quantile(std::vector<double> values, double share)
{
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

/// Google Benchmark reports means, but the goals are quantiles, so each pass is also timed separately: in wall-clock time and in processor time of the
/// thread. Processor time is independent of other load on the machine.
void measure(benchmark::State &state, const BenchZone &zone)
{
    std::vector<double> wall;
    std::vector<double> processor;
    for (auto iteration : state) {
        static_cast<void>(iteration);
        const auto start = std::chrono::steady_clock::now();
        const double processorStart = threadMilliseconds();
        auto plan = planPlacements(viewOf(zone));
        benchmark::DoNotOptimize(plan);
        processor.push_back(threadMilliseconds() - processorStart);
        wall.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    state.counters["p50_ms"] = quantile(wall, 0.50);
    state.counters["p99_ms"] = quantile(wall, 0.99);
    state.counters["cpu_p99_ms"] = quantile(processor, 0.99);
}

/// One urgent job waits in a full zone, so the pass has to find the borrowed attempt whose preemption costs least.
void urgentDecision(benchmark::State &state)
{
    auto zone = makeZone(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), 0);
    addUrgent(zone);
    measure(state, zone);
}

/// One urgent job and a queue of ordinary, patient and gang jobs wait in a full zone.
void fullPass(benchmark::State &state)
{
    auto zone = makeZone(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), static_cast<int>(state.range(2)));
    addUrgent(zone);
    measure(state, zone);
}

}

BENCHMARK(urgentDecision)->Args({209, 1'364})->Args({2'300, 15'000})->Unit(benchmark::kMillisecond)->Iterations(500);
BENCHMARK(fullPass)->Args({209, 1'364, 500})->Args({2'300, 15'000, 500})->Unit(benchmark::kMillisecond)->Iterations(200);

BENCHMARK_MAIN();
