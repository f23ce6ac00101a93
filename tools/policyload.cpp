#include "policyload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sequoiastand
{

namespace
{

/// One kind of job in a deployment, with its relative frequency as `weight`.
struct JobKind
{
    const char *team = "";
    double weight = 0;
    JobClass jobClass = JobClass::Ordinary;
    int tasks = 1;
    int accelerators = 1;
    Adjacency adjacency = Adjacency::Any;
    int milliCpu = 2'000;
    int memoryMb = 4'000;
    double medianMinutes = 10;
    bool isIdempotent = false;
    bool isCheckpointable = false;
};

struct FleetShape
{
    std::vector<std::string> zones;
    std::vector<int> workersPerZone;
    int acceleratedWorkersPerZone = 0; ///< Number of workers in each zone that have 8 accelerators; the others have none.
    int milliCpu = 0;
    int memoryMb = 0;
    int organisations = 4;
    Shape guaranteedShape;
    Duration horizon{0};
    std::vector<JobKind> kinds;
};

constexpr int workersPerRack = 8;
constexpr int acceleratorsPerWorker = 8;
constexpr double workloadShare = 0.80;
constexpr double heavyWorkloadShare = 1.0;
/// Maximum number of jobs in a burst. Each organisation may have 2,000 waiting jobs, and jobs of a larger burst would be refused at
/// admission, before the placement decisions measured here.
constexpr int maxBurstJobs = 1'500;
constexpr double runTimeSpread = 0.7; ///< Standard deviation of the logarithm of run times.
constexpr const char *reclaimer = "reclaimer";

using std::chrono::hours;
using std::chrono::minutes;

FleetShape kaskFleet()
{
    return {{"harju-1", "harju-2", "harju-3"},
            {17, 17, 16},
            17,
            32'000,
            128'000,
            4,
            {8, 1, 1, 1},
            hours{12},
            {{"crease-check", 0.35, JobClass::Urgent, 1, 1, Adjacency::Any, 1'000, 4'000, 0.7, true, false},
             {"fabric-scan", 0.40, JobClass::Patient, 1, 1, Adjacency::Any, 2'000, 8'000, 15, true, false},
             {"steam-profile", 0.13, JobClass::Patient, 1, 4, Adjacency::Worker, 8'000, 32'000, 120, false, true},
             {"billed-profile", 0.06, JobClass::Ordinary, 1, 2, Adjacency::Worker, 4'000, 16'000, 40, false, false},
             {"press-run", 0.06, JobClass::Ordinary, 2, 8, Adjacency::Rack, 16'000, 64'000, 150, false, true}}};
}

FleetShape colomboFleet()
{
    return {{"western-1", "western-2", "western-3"},
            {17, 17, 16},
            17,
            128'000,
            256'000,
            4,
            {8, 1, 1, 1},
            hours{12},
            {{"weigh-in", 0.35, JobClass::Ordinary, 1, 1, Adjacency::Any, 2'000, 4'000, 2, true, false},
             {"tray-review", 0.25, JobClass::Urgent, 1, 1, Adjacency::Any, 4'000, 8'000, 1, true, false},
             {"summary", 0.22, JobClass::Ordinary, 1, 4, Adjacency::Worker, 32'000, 64'000, 60, true, true},
             {"surplus-report", 0.08, JobClass::Ordinary, 1, 1, Adjacency::Any, 8'000, 16'000, 20, false, false},
             {"training", 0.10, JobClass::Patient, 2, 8, Adjacency::Rack, 64'000, 128'000, 180, false, true}}};
}

FleetShape targetFleet()
{
    FleetShape fleet{{},
                     {},
                     64,
                     64'000,
                     256'000,
                     24,
                     {8, 2, 1, 1},
                     hours{6},
                     {{"interactive", 0.10, JobClass::Urgent, 1, 1, Adjacency::Any, 1'000, 4'000, 0.5, true, false},
                      {"single", 0.30, JobClass::Ordinary, 1, 1, Adjacency::Any, 4'000, 16'000, 120, true, false},
                      {"whole-worker", 0.24, JobClass::Ordinary, 1, 8, Adjacency::Worker, 16'000, 64'000, 100, false, true},
                      {"rack-gang", 0.05, JobClass::Patient, 4, 8, Adjacency::Rack, 16'000, 64'000, 180, false, true},
                      {"wide-gang", 0.004, JobClass::Ordinary, 256, 1, Adjacency::Any, 1'000, 4'000, 120, false, true},
                      {"processors", 0.25, JobClass::Patient, 8, 0, Adjacency::Any, 4'000, 8'000, 120, true, false},
                      {"rigid", 0.056, JobClass::Ordinary, 1, 2, Adjacency::Worker, 4'000, 16'000, 60, false, false}}};
    for (int zone = 1; zone <= 11; ++zone) {
        fleet.zones.push_back("zone-" + std::string(zone < 10 ? "0" : "") + std::to_string(zone));
        fleet.workersPerZone.push_back(209);
    }
    return fleet;
}

FleetShape fleetOf(Deployment deployment)
{
    switch (deployment) {
    case Deployment::Kask:
        return kaskFleet();
    case Deployment::Colombo:
        return colomboFleet();
    case Deployment::Target:
        return targetFleet();
    }
    return {};
}

std::string numbered(const char *prefix, int number)
{
    const auto digits = std::to_string(number);
    return prefix + std::string(digits.size() < 5 ? 5 - digits.size() : 0, '0') + digits;
}

int addTargets(PolicyCase &policyCase, const FleetShape &fleet)
{
    int accelerators = 0;
    for (std::size_t zone = 0; zone < fleet.zones.size(); ++zone) {
        policyCase.zones.push_back({fleet.zones[zone]});
        policyCase.configuration.availabilityZones[{fleet.zones[zone]}] = {{fleet.zones[zone]}, "region", false, minutes{5}};
        for (int worker = 0; worker < fleet.workersPerZone[zone]; ++worker) {
            const TargetId id{fleet.zones[zone] + numbered("-w", worker)};
            Target value{id, {fleet.zones[zone] + numbered("-r", worker / workersPerRack)}, {fleet.zones[zone]}};
            value.acceleratorCount = worker < fleet.acceleratedWorkersPerZone ? acceleratorsPerWorker : 0;
            value.milliCpu = fleet.milliCpu;
            value.memoryMb = fleet.memoryMb;
            value.health = TargetHealth::Healthy;
            accelerators += value.acceleratorCount;
            policyCase.targets.put(id, std::move(value));
        }
    }
    return accelerators;
}

/// Adds one guarantee for each organisation, spread over the zones, and one for an organisation that periodically reclaims its idle guarantee.
void addGuarantees(PolicyCase &policyCase, const FleetShape &fleet)
{
    for (int number = 0; number < fleet.organisations; ++number) {
        const OrganisationId organisation{numbered("org", number)};
        policyCase.configuration.organisations[organisation] = {organisation};
        const auto id = "guarantee-" + organisation.value;
        policyCase.configuration.guarantees[id] = {id, organisation, policyCase.zones[number % policyCase.zones.size()], fleet.guaranteedShape};
    }
    policyCase.configuration.organisations[{reclaimer}] = {{reclaimer}};
    policyCase.configuration.guarantees["guarantee-reclaimer"] = {"guarantee-reclaimer", {reclaimer}, policyCase.zones.front(), {8, 2, 1, 1}};
}

class WorkloadBuilder
{
public:
    WorkloadBuilder(PolicyCase &policyCase, const FleetShape &fleet, unsigned seed)
        : m_policyCase(policyCase)
        , m_fleet(fleet)
        , m_random(seed)
    {
    }

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }

    const JobKind &randomKind()
    {
        std::vector<double> weights;
        std::ranges::transform(m_fleet.kinds, std::back_inserter(weights), &JobKind::weight);
        return m_fleet.kinds[std::discrete_distribution<int>(weights.begin(), weights.end())(m_random)];
    }

    /// Adds a job and returns the accelerator time that it needs.
    Duration add(const JobKind &kind, Duration submitAt, bool isMisdeclared)
    {
        WorkloadJob job;
        const int organisation = std::min(static_cast<int>(uniform(0, 1) * uniform(0, 1) * m_fleet.organisations), m_fleet.organisations - 1);
        job.specification.id = {{numbered("org", organisation)}, {numbered("job", static_cast<int>(m_policyCase.jobs.size()))}};
        job.specification.team = {std::string(kind.team) + "-" + std::to_string(organisation)};
        job.specification.jobClass = kind.jobClass;
        job.specification.taskCount = kind.tasks;
        job.specification.acceleratorsPerTask = kind.accelerators;
        job.specification.adjacency = kind.adjacency;
        job.specification.milliCpuPerTask =
            isMisdeclared ? static_cast<int>(std::min(kind.milliCpu * std::pow(10, uniform(-1, 1)), m_fleet.milliCpu / 1.0)) : kind.milliCpu;
        job.specification.memoryMbPerTask = kind.memoryMb;
        job.specification.isIdempotent = kind.isIdempotent;
        job.specification.isCheckpointable = kind.isCheckpointable;
        const double minutesNeeded = kind.medianMinutes * std::exp(std::normal_distribution<double>(0, runTimeSpread)(m_random));
        job.trueRunTime = std::max(Duration{2'000}, Duration{static_cast<Duration::rep>(minutesNeeded * 60'000)});
        const double error = isMisdeclared ? std::pow(10, uniform(-1, 1)) : std::exp(std::normal_distribution<double>(0.4, 0.4)(m_random));
        job.specification.declaredRunTime = std::max(Duration{1'000}, Duration{static_cast<Duration::rep>(job.trueRunTime.count() * error)});
        job.submitAt = submitAt;
        const auto needed = job.trueRunTime * acceleratorCount(job.specification);
        m_policyCase.jobs.push_back(std::move(job));
        return needed;
    }

    void addReclaimProbes()
    {
        for (Duration submitAt = minutes{90}; submitAt < m_policyCase.horizon; submitAt += minutes{45}) {
            WorkloadJob job;
            job.specification.id = {{reclaimer}, {numbered("reclaim", static_cast<int>(m_policyCase.jobs.size()))}};
            job.specification.team = {"reclaimer"};
            job.specification.taskCount = 2;
            job.specification.acceleratorsPerTask = 8;
            job.specification.adjacency = Adjacency::Rack;
            job.specification.isCheckpointable = true;
            job.specification.declaredRunTime = minutes{5};
            job.trueRunTime = minutes{5};
            job.submitAt = submitAt;
            job.isReclaimProbe = true;
            m_policyCase.jobs.push_back(std::move(job));
        }
    }

private:
    PolicyCase &m_policyCase;
    const FleetShape &m_fleet;
    std::mt19937 m_random;
};

const JobKind &smallKind(const FleetShape &fleet)
{
    return *std::ranges::find_if(fleet.kinds, [](const JobKind &kind) { return kind.jobClass != JobClass::Urgent && kind.accelerators * kind.tasks == 1; });
}

const JobKind &largeKind(const FleetShape &fleet)
{
    return *std::ranges::find_if(fleet.kinds, [](const JobKind &kind) { return kind.tasks > 1 && kind.accelerators == acceleratorsPerWorker; });
}

/// Generates the workload. With bursts, a third of the work arrives in bursts of one kind of job. The amount of work is the same as
/// without bursts, unless `maxBurstJobs` limits a burst.
void addWorkload(WorkloadBuilder &builder, const PolicyCase &policyCase, const FleetShape &fleet, int accelerators, Disturbance disturbance)
{
    const bool hasBursts = disturbance == Disturbance::SmallBursts || disturbance == Disturbance::LargeBursts;
    const auto total =
        std::chrono::duration_cast<Duration>(policyCase.horizon * (accelerators * (disturbance == Disturbance::Heavy ? heavyWorkloadShare : workloadShare)));
    auto steady = hasBursts ? total * 2 / 3 : total;
    while (steady > Duration{0}) {
        const Duration submitAt{static_cast<Duration::rep>(builder.uniform(0, static_cast<double>(policyCase.horizon.count())))};
        steady -= builder.add(builder.randomKind(), submitAt, disturbance == Disturbance::WrongDeclarations);
    }
    if (!hasBursts) {
        return;
    }
    const auto &kind = disturbance == Disturbance::SmallBursts ? smallKind(fleet) : largeKind(fleet);
    constexpr int bursts = 4;
    for (int burst = 0; burst < bursts; ++burst) {
        auto remainingWork = total / 3 / bursts;
        int jobs = 0;
        const Duration from = policyCase.horizon * (burst + 1) / (bursts + 2);
        while (remainingWork > Duration{0} && jobs++ < maxBurstJobs) {
            remainingWork -= builder.add(kind, from + Duration{static_cast<Duration::rep>(builder.uniform(0, 10'000))}, false);
        }
    }
}

}

const char *name(Deployment deployment)
{
    constexpr std::array names{"kask", "colombo", "target"};
    return names[static_cast<std::size_t>(deployment)];
}

const char *name(Disturbance disturbance)
{
    constexpr std::array names{"steady", "heavy", "bursts-small", "bursts-large", "wrong-10x", "cancel-waves", "zone-change", "failing-targets"};
    return names[static_cast<std::size_t>(disturbance)];
}

PolicyCase makePolicyCase(Deployment deployment, Disturbance disturbance, unsigned seed)
{
    const auto fleet = fleetOf(deployment);
    PolicyCase policyCase;
    policyCase.name = std::string(name(deployment)) + "/" + name(disturbance);
    policyCase.seed = seed;
    policyCase.horizon = fleet.horizon;
    const int accelerators = addTargets(policyCase, fleet);
    addGuarantees(policyCase, fleet);
    WorkloadBuilder builder(policyCase, fleet, seed);
    addWorkload(builder, policyCase, fleet, accelerators, disturbance);
    builder.addReclaimProbes();
    if (disturbance == Disturbance::CancellationWaves) {
        for (auto &job : policyCase.jobs) {
            const auto wave = policyCase.horizon * (job.submitAt < policyCase.horizon / 2 ? 1 : 2) / 2;
            job.cancelAt = builder.uniform(0, 1) < 0.3 ? wave : Duration{0};
        }
    }
    if (disturbance == Disturbance::ZoneChange) {
        policyCase.leavingZone = policyCase.zones.back();
        policyCase.leaveAt = policyCase.horizon / 3;
        policyCase.returnAt = policyCase.horizon / 2;
    }
    if (disturbance == Disturbance::FailingTargets) {
        for (int number = 0; const auto &[id, value] : policyCase.targets.rows()) {
            if (value.acceleratorCount > 0 && number++ % 16 == 3) {
                policyCase.failingTargets.insert(id);
            }
        }
    }
    return policyCase;
}

}
