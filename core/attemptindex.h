#pragma once

#include "identifier.h"

#include <map>
#include <set>

namespace sequoiastand
{

/// Refers to a member of an attempt by its index in the gang.
struct MemberRef
{
    AttemptId attempt;
    int member = 0;

    friend auto operator<=>(const MemberRef &, const MemberRef &) = default;
};

/// Finds the attempts that a reply or a report concerns.
struct AttemptIndex
{
    std::map<CallId, MemberRef> calls;
    std::map<TargetId, std::set<AttemptId>> byTarget;
    std::map<CallId, MemberRef> strayStops; ///< Stop calls for tasks that belong to no attempt on the board.

    bool areStopsDeferred = false; ///< True if the limit of stops in a step was reached; the rest follow when the timer is due.

    friend bool operator==(const AttemptIndex &, const AttemptIndex &) = default;
};

}
