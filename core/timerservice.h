#pragma once

#include "time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace sequoiastand
{

/// A request to run a subscriber at a due time. With a period of zero the timer fires only once.
struct TimerSubscription
{
    TimePoint due;
    Duration period{0};

    friend bool operator==(const TimerSubscription &, const TimerSubscription &) = default;
};

/// Subscriptions by the name of the subscriber, for example "ownership".
struct TimerTable
{
    std::map<std::string, TimerSubscription, std::less<>> subscriptions;
    std::set<std::string, std::less<>> due; ///< Subscribers whose timers fired in the present step.

    friend bool operator==(const TimerTable &, const TimerTable &) = default;
};

/// Adds a subscription, or replaces the subscriber's present one.
void subscribe(TimerTable &timers, const std::string &subscriber, TimePoint due, Duration period = Duration{0});

/// Adds a subscription or moves the present one forward, so that it is due no later than the given time.
void subscribeNoLaterThan(TimerTable &timers, const std::string &subscriber, TimePoint due);

void unsubscribe(TimerTable &timers, const std::string &subscriber);

/// Sets `due` to the subscribers whose time has come and renews periodic subscriptions. A timer that missed several periods fires only once.
void fireTimers(TimerTable &timers, TimePoint now);

bool isDue(const TimerTable &timers, std::string_view subscriber);

/// Earliest due time, at which the event loop must wake up.
std::optional<TimePoint> nextDue(const TimerTable &timers);

}
