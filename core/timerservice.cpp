#include "timerservice.h"

#include <algorithm>
#include <vector>

namespace sequoiastand
{

void subscribe(TimerTable &timers, const std::string &part, TimePoint due, Duration period)
{
    timers.subscriptions.insert_or_assign(part, TimerSubscription{due, period});
}

void subscribeNoLaterThan(TimerTable &timers, const std::string &part, TimePoint due)
{
    const auto present = timers.subscriptions.find(part);
    if (present == timers.subscriptions.end()) {
        subscribe(timers, part, due);
    } else if (present->second.due > due) {
        subscribe(timers, part, due, present->second.period);
    }
}

void unsubscribe(TimerTable &timers, const std::string &part)
{
    timers.subscriptions.erase(part);
}

void fireTimers(TimerTable &timers, TimePoint now)
{
    timers.due.clear();
    for (const auto &[part, subscription] : timers.subscriptions) {
        if (subscription.due <= now) {
            timers.due.insert(part);
        }
    }
    for (const auto &part : timers.due) {
        const auto found = timers.subscriptions.find(part);
        if (found->second.period > Duration{0}) {
            found->second = TimerSubscription{now + found->second.period, found->second.period};
        } else {
            timers.subscriptions.erase(found);
        }
    }
}

bool isDue(const TimerTable &timers, std::string_view part)
{
    return timers.due.contains(part);
}

std::optional<TimePoint> nextDue(const TimerTable &timers)
{
    if (timers.subscriptions.empty()) {
        return std::nullopt;
    }
    const auto earliest = std::ranges::min_element(timers.subscriptions, {}, [](const auto &entry) { return entry.second.due; });
    return earliest->second.due;
}

}
