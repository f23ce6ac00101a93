#pragma once

#include "core/storerecord.h"

#include <vector>

namespace sequoiastand
{

/// Adds the shape of a currently registered target. Drops shapes of which no target has been registered for a long time.
std::vector<TargetShape> withShape(std::vector<TargetShape> shapes, const TargetRegistration &registration, WallTime now);

/// Merges both lists so that each distinct shape occurs once.
std::vector<TargetShape> withShapes(std::vector<TargetShape> shapes, const std::vector<TargetShape> &others);

}
