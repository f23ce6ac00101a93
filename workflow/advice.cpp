#include "advice.h"

namespace sequoiastand
{

const AdviceTicket *findTicket(const AdviceBook &book, const StepId &step, const TargetLife &life, TimePoint at)
{
    const auto advice = book.steps.find(step);
    if (advice == book.steps.end()) {
        return nullptr;
    }
    const auto ticket = advice->second.allowed.find(life);
    return ticket != advice->second.allowed.end() && at <= ticket->second.validUntil ? &ticket->second : nullptr;
}

}
