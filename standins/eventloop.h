#pragma once

#include "core/time.h"

#include <ev.h>

#include <optional>

namespace sequoiastand
{

/// Monotonic time for the models.
TimePoint monotonicNow();

/// Starts the timer for that time, or stops it.
void armTimer(struct ev_loop *loop, ev_timer &timer, std::optional<TimePoint> due);

/// Runs the loop until SIGINT or SIGTERM.
void runUntilSignal(struct ev_loop *loop);

}
