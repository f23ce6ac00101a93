#include "eventloop.h"

#include <algorithm>
#include <csignal>

namespace sequoiastand
{

namespace
{

void onSignal(struct ev_loop *loop, ev_signal *, int)
{
    ev_break(loop, EVBREAK_ALL);
}

}

TimePoint monotonicNow()
{
    return TimePoint{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

void armTimer(struct ev_loop *loop, ev_timer &timer, std::optional<TimePoint> due)
{
    ev_timer_stop(loop, &timer);
    if (!due) {
        return;
    }
    const auto wait = std::max(Duration{0}, *due - monotonicNow());
    ev_now_update(loop);
    ev_timer_set(&timer, std::chrono::duration<double>(wait).count(), 0.0);
    ev_timer_start(loop, &timer);
}

void runUntilSignal(struct ev_loop *loop)
{
    ev_signal interrupt;
    ev_signal terminate;
    ev_signal_init(&interrupt, onSignal, SIGINT);
    ev_signal_init(&terminate, onSignal, SIGTERM);
    ev_signal_start(loop, &interrupt);
    ev_signal_start(loop, &terminate);
    ev_run(loop, 0);
    ev_signal_stop(loop, &interrupt);
    ev_signal_stop(loop, &terminate);
}

}
