#include "timerservice.h"

#include <algorithm>
#include <vector>

namespace sequoiastand
{

void subscribe(TimerTable &timers, const std::string &subscriber, TimePoint due, Duration period)
{
    timers.subscriptions.insert_or_assign(subscriber, TimerSubscription{due, period});
}

void subscribeNoLaterThan(TimerTable &timers, const std::string &subscriber, TimePoint due)
{
    const auto subscription = timers.subscriptions.find(subscriber);
    if (subscription == timers.subscriptions.end()) {
        subscribe(timers, subscriber, due);
    } else if (subscription->second.due > due) {
        subscribe(timers, subscriber, due, subscription->second.period);
    }
}

void unsubscribe(TimerTable &timers, const std::string &subscriber)
{
    timers.subscriptions.erase(subscriber);
}

void fireTimers(TimerTable &timers, TimePoint now)
{
    timers.due.clear();
    for (const auto &[subscriber, subscription] : timers.subscriptions) {
        if (subscription.due <= now) {
            timers.due.insert(subscriber);
        }
    }
    for (const auto &subscriber : timers.due) {
        const auto found = timers.subscriptions.find(subscriber);
        if (found->second.period > Duration{0}) {
            found->second = TimerSubscription{now + found->second.period, found->second.period};
        } else {
            timers.subscriptions.erase(found);
        }
    }
}

bool isDue(const TimerTable &timers, std::string_view subscriber)
{
    return timers.due.contains(subscriber);
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
