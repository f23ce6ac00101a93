#include "core/guarantees.h"
#include "tools/policyload.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <bit>
#include <map>

namespace sequoiastand
{

using std::chrono::minutes;

/// Random small fleets, guarantees and loads, with targets that fail or leave and a zone that leaves and returns.
/// RC_PARAMS is not read, so the seeds are the same in every run.
struct RandomFleets : testing::Test
{
    static constexpr int runs = 20;

    static unsigned draw(std::mt19937 &random, unsigned bound)
    {
        return random() % bound;
    }

    static PolicyCase randomCase(unsigned seed)
    {
        std::mt19937 random(seed);
        PolicyCase made;
        made.seed = seed;
        made.horizon = minutes{120};
        made.zones = {{"a"}, {"b"}};
        for (const auto &zone : made.zones) {
            made.configuration.availabilityZones[zone] = {zone, "region", false, minutes{2}};
            const int workers = 4 + static_cast<int>(draw(random, 6));
            for (int worker = 0; worker < workers; ++worker) {
                Target target{{zone.value + std::to_string(worker)}, {zone.value + "r" + std::to_string(worker / 3)}, zone};
                target.acceleratorCount = draw(random, 4) == 0 ? 4 : 8;
                target.milliCpu = 32'000;
                target.memoryMb = 64'000;
                target.health = TargetHealth::Healthy;
                made.targets.put(target.id, target);
            }
        }
        for (unsigned number = 0; number < 4; ++number) {
            const std::string organisation = "org" + std::to_string(number);
            auto configuration = made.configuration;
            const Shape shape{1 << draw(random, 4), 1 + static_cast<int>(draw(random, 2)), 1, 1 + static_cast<int>(draw(random, 2))};
            configuration.guarantees[organisation] = {organisation, {organisation}, made.zones[number % 2], shape};
            // Only what an operator could have configured.
            if (validateGuarantees(configuration, made.targets).ok()) {
                made.configuration = configuration;
            }
        }
        for (int number = 0; number < 150; ++number) {
            made.jobs.push_back(randomJob(random, number));
        }
        if (draw(random, 2) == 0) {
            made.leavingZone = made.zones[draw(random, 2)];
            made.leaveAt = minutes{30 + draw(random, 30)};
            made.returnAt = made.leaveAt + minutes{20};
        }
        return made;
    }

    static WorkloadJob randomJob(std::mt19937 &random, int number)
    {
        WorkloadJob job;
        job.specification.id = {{"org" + std::to_string(draw(random, 5))}, {std::to_string(number)}};
        job.specification.team = {"team" + std::to_string(draw(random, 5))};
        job.specification.jobClass = static_cast<JobClass>(draw(random, 3));
        job.specification.taskCount = 1 + static_cast<int>(draw(random, 3));
        job.specification.acceleratorsPerTask = std::array{0, 1, 1, 2, 4, 8}[draw(random, 6)];
        job.specification.adjacency = static_cast<Adjacency>(draw(random, 4));
        job.specification.milliCpuPerTask = 1'000 * static_cast<int>(draw(random, 5));
        job.specification.isIdempotent = draw(random, 2) == 0;
        job.specification.isCheckpointable = draw(random, 2) == 0;
        job.submitAt = Duration{draw(random, 100 * 60'000)};
        job.trueRunTime = Duration{1'000 + draw(random, 30 * 60'000)};
        job.specification.declaredRunTime = Duration{1'000 + draw(random, 60 * 60'000)};
        return job;
    }

    /// Runs the case and calls the check after every step.
    template<typename Check>
    static PolicyWorld runChecked(const PolicyCase &policyCase, const Check &check)
    {
        auto world = makeWorld(policyCase, planPlacements, true);
        const TimePoint limit{policyCase.horizon * 20};
        while (world.openJobs > 0 && world.now < limit && stepWorld(world)) {
            check(world);
        }
        return world;
    }

    template<typename Check>
    static void forAllFleets(const Check &check)
    {
        for (unsigned seed = 1; seed <= runs; ++seed) {
            const auto policyCase = randomCase(seed);
            runChecked(policyCase, [&](const PolicyWorld &world) { check(world, seed); });
        }
    }
};

// Guards against work that keeps an organisation from reclaiming its shape, at every step and not only at the end.
TEST_F(RandomFleets, guaranteesCanAlwaysBeFormedTogether)
{
    forAllFleets([](const PolicyWorld &world, unsigned seed) {
        ASSERT_EQ(world.totals.guaranteeViolations, 0) << "seed " << seed << " at " << world.now.time_since_epoch().count() << " ms";
        for (const auto &zone : world.zones) {
            ASSERT_TRUE(checkGuarantees(viewOf(world, zone)).empty()) << "seed " << seed << " zone " << zone.id.value;
        }
    });
}

// Guards against partly placed gangs, accelerators given twice or not adjacent, and broken adjacency.
TEST_F(RandomFleets, gangsStandWholeOnDisjointNeighbouringAccelerators)
{
    forAllFleets([](const PolicyWorld &world, unsigned seed) {
        for (const auto &zone : world.zones) {
            std::map<TargetId, AcceleratorMask> used;
            for (const auto &[id, attempt] : zone.attempts.rows()) {
                const auto &specification = zone.jobs.find(id.job)->specification;
                ASSERT_EQ(static_cast<int>(attempt.members.size()), specification.taskCount) << "seed " << seed;
                std::set<TargetId> workers;
                std::set<RackId> racks;
                for (const auto &member : attempt.members) {
                    const auto mask = member.accelerators;
                    const auto &target = *zone.targets.find(member.target);
                    workers.insert(member.target);
                    racks.insert(target.rack);
                    ASSERT_EQ(std::popcount(mask), specification.acceleratorsPerTask) << "seed " << seed;
                    ASSERT_TRUE(mask == 0 || std::popcount(mask) == std::countr_one(mask >> std::countr_zero(mask))) << "seed " << seed;
                    ASSERT_EQ(mask & (used[member.target] | ~lowMask(target.acceleratorCount)), 0U) << "seed " << seed;
                    used[member.target] |= mask;
                }
                ASSERT_TRUE(specification.adjacency != Adjacency::Worker || workers.size() == 1) << "seed " << seed;
                ASSERT_TRUE(specification.adjacency != Adjacency::Rack || racks.size() == 1) << "seed " << seed;
            }
        }
    });
}

// Guards against processors promised twice, also to tasks without accelerators.
TEST_F(RandomFleets, processorsAreNeverOvercommitted)
{
    forAllFleets([](const PolicyWorld &world, unsigned seed) {
        for (const auto &zone : world.zones) {
            for (const auto &target : capacityOf(viewOf(world, zone)).targets) {
                ASSERT_GE(target.freeMilliCpu, 0) << "seed " << seed << " target " << target.target->id.value;
            }
        }
    });
}

// Guards against starts in a zone after it was taken out, and against jobs forgotten there.
TEST_F(RandomFleets, zoneThatIsOutStartsNothingAndEveryJobEnds)
{
    for (unsigned seed = 1; seed <= runs; ++seed) {
        const auto policyCase = randomCase(seed);
        std::set<AttemptId> known;
        const auto world = runChecked(policyCase, [&](const PolicyWorld &state) {
            for (const auto &zone : state.zones) {
                for (const auto &[id, attempt] : zone.attempts.rows()) {
                    const bool isNew = known.insert(id).second;
                    ASSERT_FALSE(isNew && isZoneOut(state.configuration, zone.id)) << "seed " << seed;
                }
            }
        });
        EXPECT_EQ(world.openJobs, 0) << "seed " << seed;
    }
}

/// Guarantees on random fleets whose targets fail and return.
struct RandomBindings : testing::Test
{
    static rc::detail::TestMetadata metadata(const char *description)
    {
        rc::detail::TestMetadata made;
        made.description = description;
        return made;
    }
};

// Guards against bindings that depend on history: the same fleet gives the same cells, and cells never overlap or stand on failed targets.
TEST_F(RandomBindings, cellsAreDisjointOnUsableTargetsAndRepeatable)
{
    rc::detail::TestParams params;
    params.seed = 7;
    params.maxSuccess = 200;
    const auto result = rc::detail::checkTestable(
        [](unsigned seed, const std::vector<bool> &hasFailed) {
            const auto policyCase = RandomFleets::randomCase(seed);
            auto targets = policyCase.targets;
            for (std::size_t index = 0; const auto &[id, target] : policyCase.targets.rows()) {
                if (index < hasFailed.size() && hasFailed[index++]) {
                    auto failed = target;
                    failed.health = TargetHealth::Unresponsive;
                    targets.put(id, failed);
                }
            }
            const ClusterView view{{"a"}, policyCase.configuration, targets, {}, {}, {}, {}, {}, {}};
            const auto map = capacityOf(view);
            const auto cells = bindCells(view, map);
            RC_ASSERT(cells == bindCells(view, map));
            std::vector<AcceleratorMask> bound(map.targets.size(), 0);
            for (const auto &cell : cells.cells) {
                RC_ASSERT(map.targets[cell.target].target->health == TargetHealth::Healthy);
                RC_ASSERT((bound[cell.target] & cell.accelerators) == 0U);
                bound[cell.target] |= cell.accelerators;
            }
        },
        metadata("cells are disjoint"),
        params);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << result;
}

}
