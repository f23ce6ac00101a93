#include "placementload.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <string>

namespace
{

using namespace sequoiastand;

constexpr const char *usage = R"(Plays placement loads in virtual time and prints who is served in time.

Usage:
    placementload [--targets=<n>] [--load=<factor>] [--seeds=<n>]
    placementload --help

Options:
    --targets=<n>  Targets of the fleet [default: 540].
    --load=<factor>  Arrivals relative to those that take four fifths of the accelerators [default: 1.2].
    --seeds=<n>    Number of loads, with seeds from 1 on [default: 4].
)";

void print(const LoadOutcome &outcome, int seed)
{
    std::printf("seed %d: earned %.3f, worst windows %.3f, %.0f core-seconds lost, %d passes\n",
                seed,
                outcome.earnedShare,
                outcome.worstWindowShare,
                outcome.coreSecondsLost,
                outcome.passes);
    for (const auto &kind : outcome.kinds) {
        std::printf("  %-9s %4d arrived, %4d in time, %4d late, earned %.3f, mean wait %6.0f ms, %d tasks preempted\n",
                    kind.name.c_str(),
                    kind.arrived,
                    kind.inTime,
                    kind.late,
                    kind.owed > 0 ? kind.earned / kind.owed : 0,
                    kind.meanWaitMs,
                    kind.preemptedTasks);
    }
}

}

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const int seeds = static_cast<int>(arguments.at("--seeds").asLong());
    double earned = 0;
    double windows = 0;
    double lost = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        const auto outcome = playLoad(
            crowdedFleet(static_cast<int>(arguments.at("--targets").asLong()), std::stod(arguments.at("--load").asString()), static_cast<unsigned>(seed)));
        print(outcome, seed);
        earned += outcome.earnedShare;
        windows += outcome.worstWindowShare;
        lost += outcome.coreSecondsLost;
    }
    std::printf("mean: earned %.4f, worst windows %.4f, %.0f core-seconds lost\n", earned / seeds, windows / seeds, lost / seeds);
    return 0;
}
