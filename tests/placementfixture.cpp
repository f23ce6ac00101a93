#include "placementfixture.h"

#include <algorithm>
#include <map>

namespace sequoiastand
{

namespace
{

Resources room(int accelerators)
{
    return {accelerators * 4'000, accelerators * 16'000, accelerators};
}

}

void PlacementTest::addRacks(int racks)
{
    for (int rack = 1; rack <= racks; ++rack) {
        for (int number = 1; number <= targetsPerRack; ++number) {
            PlacementTarget target;
            target.id = {"t" + std::to_string(100 + (rack - 1) * targetsPerRack + number)};
            target.service = {"press"};
            target.rack = {"r" + std::to_string(rack)};
            target.labels = {"kind", target.rack.value};
            target.capacity = room(acceleratorsPerTarget);
            target.free = target.capacity;
            target.freeAfterStops = target.capacity;
            target.isInService = true;
            target.acceptsWork = true;
            input.targets.push_back(std::move(target));
        }
    }
}

PlacementTarget &PlacementTest::target(int number)
{
    return input.targets.at(static_cast<std::size_t>(number - 1));
}

void PlacementTest::occupy(int number, int accelerators)
{
    auto &occupied = target(number);
    occupied.free = occupied.free - room(accelerators);
    occupied.freeAfterStops = occupied.freeAfterStops - room(accelerators);
}

WaitingStep &PlacementTest::addBatch(const std::string &id, int priority, int tasks, int acceleratorsPerTask)
{
    WaitingStep waiting;
    waiting.step = step(id);
    waiting.service = {"press"};
    waiting.organisation = {"tailors"};
    waiting.priority = priority;
    waiting.specification.taskCount = tasks;
    waiting.specification.perTask = room(acceleratorsPerTask);
    waiting.specification.estimate = Duration{2'000};
    waiting.remaining = waiting.specification.estimate;
    waiting.slack = Duration{1'000};
    for (int task = 0; task < tasks; ++task) {
        waiting.tasks.push_back(task);
    }
    input.waiting.push_back(std::move(waiting));
    return input.waiting.back();
}

WaitingStep &PlacementTest::addGang(const std::string &id, int priority, int tasks, int acceleratorsPerTask)
{
    auto &waiting = addBatch(id, priority, tasks, acceleratorsPerTask);
    waiting.specification.isGang = true;
    return waiting;
}

RunningUnit &PlacementTest::addRunning(const std::string &id, int priority, const std::vector<int> &targets, int acceleratorsPerTask)
{
    RunningUnit unit;
    unit.step = step(id);
    unit.priority = priority;
    unit.organisation = {"hotels"};
    unit.perTask = room(acceleratorsPerTask);
    unit.lostWork = static_cast<double>(targets.size());
    int task = 0;
    for (const int number : targets) {
        occupy(number, acceleratorsPerTask);
        unit.tasks.emplace(task++, target(number).id);
    }
    running.push_back(std::move(unit));
    return running.back();
}

PlacementPlan PlacementTest::plan() const
{
    auto result = planPlacements(input, [this] { return running; });
    expectRoom(result);
    return result;
}

StepId PlacementTest::step(const std::string &id)
{
    return {{id}, 0, 0};
}

int PlacementTest::startsOf(const PlacementPlan &plan, const std::string &id)
{
    return static_cast<int>(std::ranges::count_if(plan.starts, [&](const PlannedStart &start) { return start.task.step == step(id); }));
}

std::set<StepId> PlacementTest::stopped(const PlacementPlan &plan)
{
    std::set<StepId> steps;
    std::ranges::transform(plan.stops, std::inserter(steps, steps.end()), [](const PreemptedTask &stop) { return stop.task.step; });
    return steps;
}

std::set<RackId> PlacementTest::racksOf(const PlacementPlan &plan, const std::string &id) const
{
    std::set<RackId> racks;
    for (const auto &start : plan.starts) {
        if (start.task.step == step(id)) {
            racks.insert(std::ranges::find(input.targets, start.target, &PlacementTarget::id)->rack);
        }
    }
    return racks;
}

void PlacementTest::expectRoom(const PlacementPlan &plan) const
{
    std::map<TargetId, Resources> started;
    for (const auto &start : plan.starts) {
        const auto waiting = std::ranges::find(input.waiting, start.task.step, &WaitingStep::step);
        auto &sum = started[start.target];
        sum = sum + waiting->specification.perTask;
    }
    for (const auto &[id, sum] : started) {
        const auto &target = *std::ranges::find(input.targets, id, &PlacementTarget::id);
        EXPECT_TRUE(fitsInto(sum, target.free)) << id.value << " starts more than it has room for";
        EXPECT_TRUE(target.acceptsWork) << id.value << " accepts no work";
    }
}

}
