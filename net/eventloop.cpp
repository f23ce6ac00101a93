#include "eventloop.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace sequoiastand
{

EventLoop::EventLoop()
    : m_loop(ev_loop_new(EVFLAG_AUTO | EVFLAG_NOSIGMASK))
{
}

EventLoop::~EventLoop()
{
    ev_loop_destroy(m_loop);
}

TimePoint EventLoop::now()
{
    // This clock advances while the machine is suspended, so a lease, or a confirmation of the configuration, that expires during the suspension
    // is recognised as expired.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint{std::chrono::duration_cast<Duration>(std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec})};
}

WallTime EventLoop::wallNow()
{
    return std::chrono::floor<Duration>(std::chrono::system_clock::now());
}

void EventLoop::run()
{
    ev_run(m_loop, 0);
}

bool EventLoop::runUntil(const std::function<bool()> &isDone, Duration limit)
{
    bool isOver = false;
    Timer limitTimer(*this, [&isOver] { isOver = true; });
    limitTimer.startIn(limit);
    while (!isDone()) {
        if (isOver) {
            return false;
        }
        ev_run(m_loop, EVRUN_ONCE);
    }
    return true;
}

void EventLoop::stop()
{
    ev_break(m_loop, EVBREAK_ALL);
}

SocketWatch::SocketWatch(EventLoop &loop, Callback callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_init(&m_watcher, &SocketWatch::onReady);
    // After a pause of the process, received data and expired deadlines are pending together. Data is handled first, so that a message that has arrived is not
    // treated as missing.
    ev_set_priority(&m_watcher, EV_MAXPRI);
    m_watcher.data = this;
}

SocketWatch::~SocketWatch()
{
    stop();
}

void SocketWatch::watch(int descriptor, int events)
{
    stop();
    if (events != 0) {
        ev_io_set(&m_watcher, descriptor, events);
        ev_io_start(m_loop.handle(), &m_watcher);
    }
}

void SocketWatch::stop()
{
    ev_io_stop(m_loop.handle(), &m_watcher);
}

void SocketWatch::onReady(struct ev_loop *, ev_io *watcher, int events)
{
    // The callback may destroy this watch and with it m_callback, so a copy is called.
    const auto callback = static_cast<SocketWatch *>(watcher->data)->m_callback;
    callback(events);
}

Timer::Timer(EventLoop &loop, Callback callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_init(&m_watcher, &Timer::onTimeout);
    m_watcher.data = this;
}

Timer::~Timer()
{
    stop();
}

void Timer::startIn(Duration delay)
{
    stop();
    // libev starts a timer from the loop's cached time, which is out of date after a long callback.
    ev_now_update(m_loop.handle());
    ev_timer_set(&m_watcher, std::max(0.0, std::chrono::duration<double>(delay).count()), 0.0);
    ev_timer_start(m_loop.handle(), &m_watcher);
}

void Timer::startAt(TimePoint due)
{
    // One millisecond is added because now() rounds down. Otherwise the timer could fire before its due time, and its owner would start it again at once.
    const auto delay = due - EventLoop::now();
    startIn(delay > Duration{0} ? delay + Duration{1} : Duration{0});
}

void Timer::stop()
{
    ev_timer_stop(m_loop.handle(), &m_watcher);
}

bool Timer::isActive() const
{
    return ev_is_active(&m_watcher) != 0;
}

void Timer::onTimeout(struct ev_loop *, ev_timer *watcher, int)
{
    // The callback may destroy this timer and with it m_callback, so a copy is called.
    const auto callback = static_cast<Timer *>(watcher->data)->m_callback;
    callback();
}

SignalWatch::SignalWatch(EventLoop &loop, int signal, Callback callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_signal_init(&m_watcher, &SignalWatch::onSignal, signal);
    m_watcher.data = this;
    ev_signal_start(m_loop.handle(), &m_watcher);
}

SignalWatch::~SignalWatch()
{
    ev_signal_stop(m_loop.handle(), &m_watcher);
}

void SignalWatch::onSignal(struct ev_loop *, ev_signal *watcher, int)
{
    static_cast<SignalWatch *>(watcher->data)->m_callback();
}

}
