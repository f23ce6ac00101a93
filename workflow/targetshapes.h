#pragma once

#include "core/storerecord.h"

#include <vector>

namespace sequoiastand
{

/// The shapes with that of a target that is registered now. Shapes of which no target has been registered for a long time are dropped.
std::vector<TargetShape> withShape(std::vector<TargetShape> shapes, const TargetRegistration &registration, WallTime now);

/// Both lists together, each differing shape once.
std::vector<TargetShape> withShapes(std::vector<TargetShape> shapes, const std::vector<TargetShape> &others);

}
