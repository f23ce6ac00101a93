#include "ownerload.h"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace
{

using namespace sequoiastand;

/// Board sizes: targets, running tasks, waiting steps. Each number grows on its own, so that the slopes of the capacity page can be read off.
void sizes(benchmark::internal::Benchmark *bench)
{
    bench->ArgNames({"targets", "running", "waiting"});
    bench->Args({50, 150, 0})->Args({540, 150, 0})->Args({540, 1'600, 0})->Args({540, 3'200, 0})->Args({540, 1'600, 50})->Args({2'300, 15'000, 0});
    bench->Unit(benchmark::kMicrosecond);
}

OwnerLoad loadOf(const benchmark::State &state)
{
    return makeOwnerLoad({static_cast<int>(state.range(0)), static_cast<int>(state.range(1)), static_cast<int>(state.range(2))});
}

/// A target answers its hold; its runs go on.
void holdReply(benchmark::State &state)
{
    auto load = loadOf(state);
    std::size_t next = 0;
    for (const auto &iteration : state) {
        static_cast<void>(iteration);
        const auto &target = load.targets[next++ % load.targets.size()];
        runStep(load, {holdAnswer(load, target)});
    }
}

/// A run ends on a target, and its end is stored and acknowledged.
void runEnd(benchmark::State &state)
{
    auto load = loadOf(state);
    std::size_t next = 0;
    for (const auto &iteration : state) {
        static_cast<void>(iteration);
        const auto &target = load.targets[next++ % load.targets.size()];
        runStep(load, {endOldestRun(load, target)});
        if (next % load.targets.size() == 0 && load.board.runs.isEmpty()) {
            state.PauseTiming();
            load = loadOf(state);
            state.ResumeTiming();
        }
    }
}

/// An event without consequences: what each step costs before it decides anything.
void idleStep(benchmark::State &state)
{
    auto load = loadOf(state);
    for (const auto &iteration : state) {
        static_cast<void>(iteration);
        runStep(load, {CallAbandoned{CallId{1}}});
    }
}

/// A placement pass with an urgent gang of five tasks that fits, and its starts. The gang ends at once, so that the load stays the same.
void urgentGang(benchmark::State &state)
{
    auto load = loadOf(state);
    StepSpecification gang;
    gang.taskCount = 5;
    gang.perTask = {3'700, 5'500, 1};
    gang.estimate = Duration{2'500};
    gang.isGang = true;
    int number = 2'000'000;
    for (const auto &iteration : state) {
        static_cast<void>(iteration);
        const auto before = load.starts;
        runStep(load, {submission(load, ++number, gang, 0)});
        while (load.starts == before) {
            load.now = std::max(load.now, load.board.nextPlanAt);
            runStep(load, {});
        }
        state.PauseTiming();
        endWorkflowOf(load, number);
        state.ResumeTiming();
    }
}

BENCHMARK(idleStep)->Apply(sizes);
BENCHMARK(holdReply)->Apply(sizes);
BENCHMARK(runEnd)->Apply(sizes);
BENCHMARK(urgentGang)->Apply(sizes);

}

BENCHMARK_MAIN();
