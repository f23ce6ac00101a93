#pragma once

#include "workflow/placement.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace sequoiastand
{

/// Racks of four targets with 8 accelerators each, and work that waits or runs there; no network, no board.
struct PlacementTest : testing::Test
{
    static constexpr int targetsPerRack = 4;
    static constexpr int acceleratorsPerTarget = 8;

    void addRacks(int racks);
    PlacementTarget &target(int number);

    /// Puts work on the target that a plan cannot stop: it is no running unit.
    void occupy(int number, int accelerators);

    /// A waiting gang of tasks with that many accelerators each.
    WaitingStep &addGang(const std::string &id, int priority, int tasks, int acceleratorsPerTask);
    WaitingStep &addBatch(const std::string &id, int priority, int tasks, int acceleratorsPerTask);

    /// Something at work: one task on each of the targets.
    RunningUnit &addRunning(const std::string &id, int priority, const std::vector<int> &targets, int acceleratorsPerTask);

    PlacementPlan plan() const;

    static StepId step(const std::string &id);
    static int startsOf(const PlacementPlan &plan, const std::string &id);
    static std::set<StepId> stopped(const PlacementPlan &plan);

    /// Racks on which the step's tasks start.
    std::set<RackId> racksOf(const PlacementPlan &plan, const std::string &id) const;

    /// Checks that no target starts more than it has room for now.
    void expectRoom(const PlacementPlan &plan) const;

    PlacementInput input;
};

}
