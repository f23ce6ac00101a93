#pragma once

#include "capacity.h"

#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Neighbouring accelerators of one target that a guarantee is bound to.
struct Cell
{
    std::string guarantee;
    OrganisationId organisation;
    int target = 0; ///< Index into CapacityMap::targets.
    AcceleratorMask accelerators = 0;

    friend bool operator==(const Cell &, const Cell &) = default;
};

/// Binding of all guarantees of one availability zone. Cells do not overlap.
struct CellMap
{
    std::vector<Cell> cells;
    std::vector<Cell> partialCells; ///< Usable remains of shapes that cannot be formed at present; foreign work that cannot be preempted stays out.
    std::vector<GuaranteeShortfall> shortfalls;
    bool isBlockedByWork = false; ///< Some shape could be formed if work that cannot be preempted had ended.

    friend bool operator==(const CellMap &, const CellMap &) = default;
};

/// An organisation's own cells and the cells of all others, one mask for each target.
struct OrganisationCells
{
    std::vector<AcceleratorMask> own;
    std::vector<AcceleratorMask> foreign;

    friend bool operator==(const OrganisationCells &, const OrganisationCells &) = default;
};

/// Binds every guarantee of the zone to concrete cells. Each shape has a home that depends on configuration and targets alone,
/// and keeps it unless a target there is unusable or foreign work that cannot be preempted stands there; only such shapes are bound elsewhere.
CellMap bindCells(const ClusterView &view, const CapacityMap &map);

OrganisationCells cellsOf(const CellMap &cells, const OrganisationId &organisation, std::size_t targetCount);

/// True if the work can be stopped in time when another organisation reclaims its cell.
bool isPreemptible(const RunningWork &work);

/// "2 x 1 rack of 4 workers with 8 accelerators".
std::string toString(const Shape &shape);

int acceleratorCount(const Shape &shape);

}
