#pragma once

#include "identifier.h"

#include <map>
#include <set>

namespace sequoiastand
{

/// A member of an attempt by its index in the gang.
struct MemberRef
{
    AttemptId attempt;
    int member = 0;

    friend auto operator<=>(const MemberRef &, const MemberRef &) = default;
};

/// Ways from a reply or a report to the attempts it concerns.
struct AttemptIndex
{
    std::map<CallId, MemberRef> calls;
    std::map<TargetId, std::set<AttemptId>> byTarget;
    std::map<CallId, MemberRef> strayStops; ///< Stops of tasks that no attempt on the board has.

    bool areStopsDeferred = false; ///< The step's limit is used up; the timer takes the work up again.

    friend bool operator==(const AttemptIndex &, const AttemptIndex &) = default;
};

}
