#include "callers.h"
#include "faultplan.h"
#include "injection.h"
#include "platform/standin/platformwriter.h"
#include "soakworld.h"
#include "standstill.h"
#include "workchecks.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <docopt/docopt.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <iostream>
#include <iterator>
#include <map>
#include <string>

namespace
{

using namespace sequoiastand;

constexpr const char *usage = R"(Runs the program as several processes against stand-ins, injects faults drawn from a seed, and checks its guarantees.

Usage:
    soak --program=<file> --folder=<path> [--seed=<n>] [--hosts=<n>] [--targets=<n>] [--seconds=<n>] [--only=<kinds>]
         [--counts=<n>] [--calm=<n>] [--shares=<kind>] [--links=<kind>] [--rate=<n>] [--width=<n>] [--demands=<kind>]
    soak --help

Options:
    --program=<file>  The binary under test.
    --folder=<path>   An existing folder for settings and logs of the hosts.
    --seed=<n>        Seed of the faults and the workload [default: 1].
    --hosts=<n>       Host processes, 2 to 60 [default: 4].
    --targets=<n>     Targets, 4 to 400 [default: 12].
    --seconds=<n>     How long faults are injected [default: 20].
    --only=<kinds>    Names of the kinds of fault to inject, separated by commas, or "all"; default: all but ordersAcrossCrash,
                      refuseOwnerWrites, turnHostsAway, stallStore, lapsedStore, silenceAllLinks, configurationSeries
                      and overlappingSignals.
    --counts=<n>      Number of faults of each kind at most; 0 for as many as the time leaves room for [default: 0].
    --calm=<n>        Seconds without new faults after each six seconds with faults; 0 for none [default: 0].
    --shares=<kind>   "whole": each host may use a core; "unequal": one in five half a core, the others 0.12 of one [default: whole].
    --links=<kind>    "fast": no limit; "unequal": one in five has no limit, the others pass 10 Mbit/s in each direction [default: fast].
    --rate=<n>        Mean number of workflows submitted in a second [default: 3.333].
    --width=<n>       Largest number of tasks of a step [default: 6].
    --demands=<kind>  "none", or "mixed": steps require a label that half of the targets have, one rack, the rack of their data, or
                      a limit of tasks on one target; or "processors": long work occupies the processors of all targets, so
                      that urgent work has to stop it [default: none].

Exit status: 0 if every guarantee held, 1 if one was violated, 2 if the run could not be made.
)";

// Hosts need about two seconds to read the configuration and elect an owner.
constexpr Duration warmUp{3'000};

// Longest time from the last fault until all workflows have ended: a lease of ten seconds and a few seconds of work.
constexpr Duration settleLimit{60'000};

// Time after which a task that lasts must be at work again: the platform counts it as lost 6 s after its last run, if the 3 s before are calm.
constexpr Duration lastingRestart{9'000};

// Time after the last cancellation in which its runs must end, a little longer than the bound for them, so that runs that go on are seen.
constexpr Duration stopLimit = SoakBounds{}.cancelledRuns + Duration{500};

// Time without faults before the final check of guarantees that hold only without disturbances.
constexpr Duration quietPeriod{4'000};

constexpr Duration tickPeriod{5};

// Timeout of a readiness request; hosts answer within a few milliseconds.
constexpr Duration readinessTimeout{1'000};

/// Runs the world for the given time, or until the condition holds.
void runFor(
    SoakWorld &world,
    Duration length,
    const std::function<bool()> &isDone = [] { return false; })
{
    const auto end = EventLoop::now() + length;
    while (EventLoop::now() < end && !isDone()) {
        bool hasFired = false;
        Timer tickTimer(world.loop, [&hasFired] { hasFired = true; });
        tickTimer.startIn(tickPeriod);
        world.loop.runUntil([&hasFired] { return hasFired; }, 20 * tickPeriod);
        tick(world);
        runCallers(world);
        noteWork(world);
    }
}

void askReadiness(SoakWorld &world)
{
    std::size_t answers = 0;
    for (const auto &host : world.hosts) {
        world.http.send(readinessCall(readinessAddress(host.place), readinessTimeout), [&world, &answers, id = host.place.id](const HttpAnswer &answer) {
            ++answers;
            if (answer.outcome != HttpOutcome::Answered || answer.status != 200) {
                world.history.hostsNotReadyAtEnd.push_back(id);
            }
        });
    }
    runFor(world, 2 * readinessTimeout, [&] { return answers == world.hosts.size(); });
}

void runFaultPlan(SoakWorld &world)
{
    runFor(world, warmUp);
    const auto begin = EventLoop::now();
    for (const auto &fault :
         withCount(withCalmTimes(makeFaultPlan(world.options.seed, world.options.length, world.options.kinds), world.options.calm), world.options.count)) {
        runFor(world, std::max(Duration{0}, fault.at - (EventLoop::now() - begin)));
        std::cout << "fault " << (EventLoop::now().time_since_epoch().count()) << " " << name(fault.kind) << " subject " << fault.subject << " for "
                  << fault.length.count() << " ms\n";
        inject(world, fault);
    }
    runFor(world, std::max(Duration{0}, world.options.length - (EventLoop::now() - begin)));
    world.sendsWork = false;
    endAllFaults(world);
    runFor(world, quietPeriod);
    sendUrgentGangs(world);
    runFor(world, settleLimit, [&world] { return haveAllEnded(world); });
    runFor(world, lastingRestart, [&world] { return noteLastingWork(world); });
    cancelLastingWork(world);
    runFor(world, settleLimit, [&world] { return haveAllEnded(world); });
    runFor(world, stopLimit, [&world] { return !isCancelledWorkRunning(world); });
    askReadiness(world);
    endStandstills(world);
}

/// Completes the history with the data that is known only at the end.
SoakHistory finishedHistory(const SoakWorld &world)
{
    SoakHistory history = world.history;
    history.starts = world.targets.starts;
    history.targetViolations = world.targets.fleet.violations;
    for (const auto &[id, workflow] : world.workflows) {
        history.workflows.at(id).endState = workflow.state;
    }
    for (const auto &[task, failedRuns] : world.targets.fleet.failedEnds) {
        const auto &id = task.step.workflow;
        auto &sent = history.workflows.at(id);
        sent.mayFail = sent.mayFail || std::ssize(failedRuns) >= world.workflows.at(id).workflow.queue.maxAttempts;
    }
    return history;
}

std::string describe(const TargetOrderRequest &request)
{
    if (const auto *start = std::get_if<StartRun>(&request)) {
        return absl::StrCat("start ", toString(start->task), " run ", start->run);
    }
    if (const auto *stop = std::get_if<StopRun>(&request)) {
        return absl::StrCat("stop ", toString(stop->task), " run ", stop->run);
    }
    return "hold";
}

void reportLateOrders(const PlatformTargets &targets)
{
    for (const auto &late : targets.executedLateOrders) {
        std::cout << "late order " << late.due.time_since_epoch().count() << " " << late.order.target.value << " " << describe(late.order.request)
                  << ", sent to the instance of " << late.startTimeMs << '\n';
    }
}

void reportCall(const ObservedCall &call)
{
    std::cout << "call " << call.sentAt.time_since_epoch().count() << " to "
              << (call.endedAt ? absl::StrCat(call.endedAt->time_since_epoch().count()) : "the end") << " " << name(call.action) << " " << call.workflow.value
              << " at " << call.host.value << ": status " << call.status << (call.isNotSent ? ", not sent" : "")
              << (call.error.empty() ? "" : ", " + call.error) << '\n';
}

/// Prints all calls for the workflows that the faults name, so that the order of the callers' actions can be compared with the hosts' logs, and the calls without
/// an answer.
void reportCalls(const SoakHistory &history, const std::vector<std::string> &faults)
{
    for (const auto &call : history.calls) {
        const bool isNamed = std::ranges::any_of(faults, [&](const std::string &fault) { return absl::StrContains(fault, call.workflow.value); });
        if (isNamed || call.status == 0) {
            reportCall(call);
        }
    }
}

/// Prints the long standstills, also those that break no rule, so that runs can be compared.
void reportStandstills(const SoakHistory &history)
{
    constexpr Duration leastTime{1'500};
    const auto timeOf = [](const Standstill &standstill) { return standstill.until - standstill.from; };
    const auto print = [&](const std::string &label, const Standstill &standstill) {
        std::cout << label << " " << timeOf(standstill).count() << " ms of " << toString(standstill.task) << " until "
                  << standstill.until.time_since_epoch().count() << ", owner " << standstill.owner.value << '\n';
    };
    for (const auto &standstill : history.standstills) {
        if (timeOf(standstill) >= leastTime) {
            print("standstill", standstill);
        }
    }
    const auto longest = std::ranges::max_element(history.standstills, {}, timeOf);
    if (longest != history.standstills.end()) {
        print("longest standstill", *longest);
    }
}

/// Prints how the calls ended, and how late this process was at most itself.
void reportAnswers(const SoakHistory &history)
{
    std::map<int, int> counts;
    std::ranges::for_each(history.calls, [&](const ObservedCall &call) { ++counts[call.status]; });
    std::cout << "answers by status, 0 for none:";
    for (const auto &[status, count] : counts) {
        std::cout << ' ' << status << ' ' << count;
    }
    Duration longestGap{0};
    std::ranges::for_each(history.observerGaps, [&](const Period &gap) { longestGap = std::max(longestGap, gap.until - gap.from); });
    std::cout << "; " << history.cutRequests.size() << " requests cut off; longest gap of the soak " << longestGap.count() << " ms\n";
}

void report(const SoakWorld &world, const std::vector<std::string> &faults)
{
    std::cout << "seed " << world.options.seed << ": " << world.workflows.size() << " workflows, " << world.history.calls.size() << " calls, "
              << world.targets.starts.size() << " starts, " << world.store.writes << " writes; faults:";
    for (const auto &[kind, count] : world.injected) {
        std::cout << ' ' << name(kind) << ' ' << count;
    }
    std::cout << '\n';
    for (const auto &fault : faults) {
        std::cout << "seed " << world.options.seed << ": BROKEN " << fault << '\n';
    }
    std::cout << "seed " << world.options.seed << (faults.empty() ? ": kept" : ": broken") << std::endl;
}

int runSoak(const SoakOptions &options)
{
    std::signal(SIGPIPE, SIG_IGN);
    SoakWorld world(options);
    if (const auto status = startWorld(world); !status.ok()) {
        std::cerr << status.message() << '\n';
        endHosts(world);
        return 2;
    }
    runFaultPlan(world);
    endHosts(world);
    const auto faults = checkHistory(finishedHistory(world));
    reportLateOrders(world.targets);
    reportStandstills(world.history);
    reportAnswers(world.history);
    reportCalls(world.history, faults);
    report(world, faults);
    return faults.empty() ? 0 : 1;
}

}

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    SoakOptions options;
    options.program = arguments.at("--program").asString();
    options.folder = arguments.at("--folder").asString();
    options.seed = static_cast<unsigned>(arguments.at("--seed").asLong());
    options.hosts = static_cast<int>(std::clamp(arguments.at("--hosts").asLong(), 2L, 60L));
    options.targets = static_cast<int>(std::clamp(arguments.at("--targets").asLong(), 4L, 400L));
    options.length = Duration{arguments.at("--seconds").asLong() * 1'000};
    options.calm = Duration{std::max(0L, arguments.at("--calm").asLong()) * 1'000};
    options.count = static_cast<int>(std::max(0L, arguments.at("--counts").asLong()));
    options.hasUnequalLinks = arguments.at("--links").asString() == "unequal";
    options.hasUnequalHosts = arguments.at("--shares").asString() == "unequal";
    options.hasDemands = arguments.at("--demands").asString() == "mixed";
    options.hasLongWork = arguments.at("--demands").asString() == "processors";
    double rate = 0;
    if (!absl::SimpleAtod(arguments.at("--rate").asString(), &rate) || rate <= 0) {
        std::cerr << "--rate: expected a number above 0\n";
        return 2;
    }
    options.meanWorkGap = Duration{std::max(3L, std::lround(1'000 / rate))};
    options.maxTasks = static_cast<int>(std::clamp(arguments.at("--width").asLong(), 1L, 200L));
    if (const auto &only = arguments.at("--only"); only.isString() && only.asString() == "all") {
        options.kinds = allFaultKinds();
    } else if (only.isString()) {
        options.kinds.clear();
        for (const auto &text : absl::StrSplit(only.asString(), ',')) {
            const auto kind = faultKindFromName(std::string{text});
            if (!kind) {
                std::cerr << "--only: there is no kind of fault named \"" << std::string{text} << "\"\n";
                return 2;
            }
            options.kinds.push_back(*kind);
        }
    }
    return runSoak(options);
}
