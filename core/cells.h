#pragma once

#include "capacity.h"

#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Adjacent accelerators of one target that are bound to a guarantee.
struct Cell
{
    std::string guarantee;
    OrganisationId organisation;
    int target = 0; ///< Index into CapacityMap::targets.
    AcceleratorMask accelerators = 0;

    friend bool operator==(const Cell &, const Cell &) = default;
};

/// The cells of all guarantees of one availability zone. Cells do not overlap.
struct CellMap
{
    std::vector<Cell> cells;
    std::vector<Cell> partialCells; ///< Usable parts of shapes that cannot be formed now; other organisations may use them only for work that can be preempted.
    std::vector<GuaranteeShortfall> shortfalls;
    bool isBlockedByWork = false; ///< True if a missing shape could be formed once work that cannot be preempted has ended.

    friend bool operator==(const CellMap &, const CellMap &) = default;
};

/// An organisation's own cells and the cells of all others, one mask for each target.
struct OrganisationCells
{
    std::vector<AcceleratorMask> own;
    std::vector<AcceleratorMask> foreign;

    friend bool operator==(const OrganisationCells &, const OrganisationCells &) = default;
};

/// Binds every guarantee of the zone to concrete cells. Each shape has home cells that depend only on the configuration and the list of targets.
/// A shape is bound to its home cells, or elsewhere if a target of these cells is unusable or another organisation's work that cannot be preempted
/// runs in them. If a shape does not fit, all shapes are bound anew without regard to their home cells, provided that fewer
/// accelerators are missing afterwards.
CellMap bindCells(const ClusterView &view, const CapacityMap &map);

OrganisationCells cellsOf(const CellMap &cells, const OrganisationId &organisation, std::size_t targetCount);

/// True if the work can be stopped in time when another organisation reclaims its cell.
bool isPreemptible(const RunningWork &work);

/// Describes the shape, for example "2 x 1 rack of 4 workers with 8 accelerators".
std::string toString(const Shape &shape);

int acceleratorCount(const Shape &shape);

}
