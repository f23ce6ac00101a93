#include "advice.h"

namespace sequoiastand
{

const AdviceTicket *findTicket(const AdviceBook &state, const StepId &step, const TargetLife &life, TimePoint at)
{
    const auto advice = state.steps.find(step);
    if (advice == state.steps.end()) {
        return nullptr;
    }
    const auto ticket = advice->second.allowed.find(life);
    return ticket != advice->second.allowed.end() && at <= ticket->second.validUntil ? &ticket->second : nullptr;
}

}
