#include "targetshapes.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Time for which the shape of absent targets is kept. It is longer than targets are absent in a usual outage. After this time, work that would fit only targets
// of the shape is refused at once instead of waiting.
constexpr Duration shapeRetention{600'000};

// Shortest time between two updates of the time at which a shape was last seen, because each update causes a write.
constexpr Duration shapeRenewal{60'000};

bool isSameShape(const TargetShape &left, const TargetShape &right)
{
    return left.service == right.service && left.capacity == right.capacity && left.labels == right.labels;
}

void addShape(std::vector<TargetShape> &shapes, const TargetShape &shape)
{
    const auto present = std::ranges::find_if(shapes, [&](const TargetShape &known) { return isSameShape(known, shape); });
    if (present == shapes.end()) {
        shapes.push_back(shape);
    } else if (shape.seenAt - present->seenAt >= shapeRenewal) {
        present->seenAt = shape.seenAt;
    }
}

}

std::vector<TargetShape> withShape(std::vector<TargetShape> shapes, const TargetRegistration &registration, WallTime now)
{
    std::erase_if(shapes, [&](const TargetShape &shape) { return now - shape.seenAt > shapeRetention; });
    addShape(shapes, {registration.service, registration.capacity, registration.labels, now});
    return shapes;
}

std::vector<TargetShape> withShapes(std::vector<TargetShape> shapes, const std::vector<TargetShape> &others)
{
    std::ranges::for_each(others, [&](const TargetShape &shape) { addShape(shapes, shape); });
    return shapes;
}

}
