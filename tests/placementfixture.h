#pragma once

#include "workflow/placement.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

/// The input of a placement pass: racks of four targets with 8 accelerators each, and work that waits or runs there. Needs neither network nor board.
struct PlacementTest : testing::Test
{
    static constexpr int targetsPerRack = 4;
    static constexpr int acceleratorsPerTarget = 8;

    void addRacks(int racks);
    PlacementTarget &target(int number);

    /// Occupies accelerators of the target with work that a plan cannot preempt, because it is not among the running units.
    void occupy(int number, int accelerators);

    /// Adds a waiting gang whose tasks need the given number of accelerators each.
    WaitingStep &addGang(const std::string &id, int priority, int tasks, int acceleratorsPerTask);
    WaitingStep &addBatch(const std::string &id, int priority, int tasks, int acceleratorsPerTask);

    /// Adds a running unit with one task on each of the targets.
    RunningUnit &addRunning(const std::string &id, int priority, const std::vector<int> &targets, int acceleratorsPerTask);

    PlacementPlan plan() const;

    static StepId step(const std::string &id);
    static int startsOf(const PlacementPlan &plan, const std::string &id);
    static std::set<StepId> stopped(const PlacementPlan &plan);

    /// The racks on which tasks of the step start.
    std::set<RackId> racksOf(const PlacementPlan &plan, const std::string &id) const;

    /// Checks that the starts on each target fit into its free room, and that the target accepts work.
    void expectRoom(const PlacementPlan &plan) const;

    PlacementInput input;
    std::vector<RunningUnit> running;
};

}
