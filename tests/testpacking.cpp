#include "core/packing.h"

#include <gtest/gtest.h>

#include <bit>
#include <set>

namespace sequoiastand
{

struct Packing : testing::Test
{
    static JobSpecification gang(int tasks, int accelerators, Adjacency adjacency)
    {
        JobSpecification specification;
        specification.taskCount = tasks;
        specification.acceleratorsPerTask = accelerators;
        specification.adjacency = adjacency;
        return specification;
    }

    static Room room(int rack, AcceleratorMask free)
    {
        return {rack, free, 32'000, 128'000};
    }
};

// Guards against gangs on scattered accelerators: 0b1011 has three free accelerators, of which only two are adjacent.
TEST_F(Packing, scatteredAcceleratorsAreNotAdjacent)
{
    EXPECT_EQ(adjacentAccelerators(0b1011, 3), 0U);
    EXPECT_EQ(adjacentAccelerators(0b1011, 2), 0b11U);
}

// Guards against fragmentation: a long run of free accelerators must not be split while a shorter one is sufficient.
TEST_F(Packing, shortestSufficientRunIsTaken)
{
    EXPECT_EQ(adjacentAccelerators(0b1101111, 2), 0b1100000U);
}

TEST_F(Packing, tightestWorkerIsChosen)
{
    const auto places = packGang({room(0, 0xff), room(0, 0x03), room(0, 0x0f)}, 1, gang(1, 2, Adjacency::Any));
    ASSERT_TRUE(places);
    EXPECT_EQ(*places, (ChosenPlaces{{1, 0x03}}));
}

// Guards against placing only some members of a gang.
TEST_F(Packing, gangThatFitsOnlyInPartIsNotPlaced)
{
    EXPECT_FALSE(packGang({room(0, 0xff), room(1, 0x0f)}, 2, gang(4, 4, Adjacency::Any)));
}

TEST_F(Packing, rackAdjacencyRefusesSpreadOverRacks)
{
    const std::vector<Room> rooms{room(0, 0xff), room(1, 0xff)};
    EXPECT_FALSE(packGang(rooms, 2, gang(2, 8, Adjacency::Rack)));
    EXPECT_TRUE(packGang(rooms, 2, gang(2, 8, Adjacency::AvailabilityZone)));
}

TEST_F(Packing, workerAdjacencyRefusesSpreadOverWorkers)
{
    const std::vector<Room> rooms{room(0, 0x0f), room(0, 0x0f)};
    EXPECT_FALSE(packGang(rooms, 1, gang(2, 4, Adjacency::Worker)));
    EXPECT_TRUE(packGang(rooms, 1, gang(2, 2, Adjacency::Worker)));
}

TEST_F(Packing, tasksWithoutAcceleratorsAreLimitedByProcessors)
{
    auto specification = gang(5, 0, Adjacency::Any);
    specification.milliCpuPerTask = 8'000;
    EXPECT_FALSE(packGang({room(0, 0)}, 1, specification));
    specification.taskCount = 4;
    const auto places = packGang({room(0, 0)}, 1, specification);
    ASSERT_TRUE(places);
    EXPECT_EQ(places->size(), 4U);
}

}
