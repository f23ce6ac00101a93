#include "advice.h"

namespace sequoiastand
{

const AdviceTicket *findTicket(const AdviceState &state, const StepId &step, const TargetInstance &instance, TimePoint at)
{
    const auto advice = state.steps.find(step);
    if (advice == state.steps.end()) {
        return nullptr;
    }
    const auto ticket = advice->second.allowed.find(instance);
    return ticket != advice->second.allowed.end() && at <= ticket->second.validUntil ? &ticket->second : nullptr;
}

}
