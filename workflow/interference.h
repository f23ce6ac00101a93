#pragma once

#include "core/identifier.h"

#include <compare>
#include <string>

namespace sequoiastand
{

/// Tasks that are expected to behave alike: those of one image, or for steps without an image, those of one queue.
struct TaskKind
{
    std::string image;
    QueueId queue; ///< Empty if the kind is given by its image.

    friend auto operator<=>(const TaskKind &, const TaskKind &) = default;
};

/// Two kinds of tasks on one target, the smaller one first.
struct KindPair
{
    TaskKind first;
    TaskKind second;

    friend auto operator<=>(const KindPair &, const KindPair &) = default;
};

}
