#include "advice.h"

namespace sequoiastand
{

const AdviceTicket *findTicket(const AdviceState &book, const StepId &step, const TargetInstance &instance, TimePoint at)
{
    const auto advice = book.steps.find(step);
    if (advice == book.steps.end()) {
        return nullptr;
    }
    const auto ticket = advice->second.allowed.find(instance);
    return ticket != advice->second.allowed.end() && at <= ticket->second.validUntil ? &ticket->second : nullptr;
}

}
