#include "policybaseline.h"
#include "policyload.h"
#include "policyreport.h"
#include "zonechoice.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <string>

namespace
{

constexpr const char *usage = R"(Measures the placement policy against baselines on virtual time.

Usage:
  policybench [--deployment=NAME] [--load=NAME] [--seed=N]
  policybench zonechoice [--seed=N]

Options:
  --deployment=NAME  kask, colombo, target or all [default: all]
  --load=NAME        steady, heavy, bursts-small, bursts-large, wrong-10x, cancel-waves, zone-change, failing-targets or all [default: all]
  --seed=N           Seed of fleets and loads [default: 1]
)";

using namespace sequoiastand;

void measureZoneChoices(unsigned seed)
{
    std::puts("choice        load  start p50  start p99  worst overshoot  used share, fullest minus emptiest");
    for (const double load : {0.80, 0.95}) {
        for (const auto choice : {ZoneChoice::Random, ZoneChoice::LeastLoaded, ZoneChoice::BestOfTwo}) {
            const auto figures = measureZoneChoice(choice, load, seed);
            std::printf("%-12s  %4.2f  %7.2f s  %7.2f s  %15.1f  %6.3f\n",
                        name(choice),
                        load,
                        figures.startP50,
                        figures.startP99,
                        figures.worstOvershoot,
                        figures.meanImbalance);
        }
    }
}

void measure(const PolicyCase &policyCase, const char *policy, const PlanFunction &plan, bool isProductionPolicy)
{
    auto world = makeWorld(policyCase, plan, isProductionPolicy);
    run(world);
    std::puts(figuresLine(policyCase.name, policy, figuresOf(world)).c_str());
    std::fflush(stdout);
}

}

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto wantedDeployment = arguments.at("--deployment").asString();
    const auto wantedLoad = arguments.at("--load").asString();
    const auto seed = static_cast<unsigned>(std::stoul(arguments.at("--seed").asString()));
    if (arguments.at("zonechoice").asBool()) {
        measureZoneChoices(seed);
        return 0;
    }
    std::puts(headerLine().c_str());
    for (const auto deployment : {Deployment::Kask, Deployment::Colombo, Deployment::Target}) {
        for (const auto load : {Disturbance::Steady,
                                Disturbance::Heavy,
                                Disturbance::SmallBursts,
                                Disturbance::LargeBursts,
                                Disturbance::WrongDeclarations,
                                Disturbance::CancellationWaves,
                                Disturbance::ZoneChange,
                                Disturbance::FailingTargets}) {
            const bool isWanted = (wantedDeployment == "all" || wantedDeployment == name(deployment)) && (wantedLoad == "all" || wantedLoad == name(load));
            if (!isWanted) {
                continue;
            }
            const auto policyCase = makePolicyCase(deployment, load, seed);
            measure(policyCase, "ours", planPlacements, true);
            measure(policyCase, "fifo", planFifoFirstFit, false);
            measure(policyCase, "backfill", planFifoBackfill, false);
        }
    }
    return 0;
}
