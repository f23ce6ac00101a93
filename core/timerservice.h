#pragma once

#include "time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace sequoiastand
{

/// A part's wish to run again. A period of zero fires once.
struct TimerSubscription
{
    TimePoint due;
    Duration period{0};

    friend bool operator==(const TimerSubscription &, const TimerSubscription &) = default;
};

/// Subscriptions by name, for example "ownership".
struct TimerTable
{
    std::map<std::string, TimerSubscription, std::less<>> subscriptions;
    std::set<std::string, std::less<>> due; ///< Fired in the present step.

    friend bool operator==(const TimerTable &, const TimerTable &) = default;
};

/// Subscribes the part or moves its due time.
void subscribe(TimerTable &timers, const std::string &part, TimePoint due, Duration period = Duration{0});

/// Subscribes the part unless it is subscribed for that time or earlier.
void subscribeNoLaterThan(TimerTable &timers, const std::string &part, TimePoint due);

void unsubscribe(TimerTable &timers, const std::string &part);

/// Moves subscriptions that are due into `due` and renews periodic ones. Missed periods fire once.
void fireTimers(TimerTable &timers, TimePoint now);

bool isDue(const TimerTable &timers, std::string_view part);

/// When the loop must wake up next.
std::optional<TimePoint> nextDue(const TimerTable &timers);

}
