#pragma once

#include "core/time.h"

#include <ev.h>

#include <functional>
#include <memory>

namespace sequoiastand
{

/// The one loop of a process. All watchers belong to its thread.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Monotonic time that counts suspension, for deadlines.
    static TimePoint now();

    /// UTC time, for records.
    static WallTime wallNow();

    /// Runs until stop() is called.
    void run();

    /// Runs until the predicate holds after some event, or the limit is over. Returns whether it holds.
    bool runUntil(const std::function<bool()> &isDone, Duration limit);

    void stop();

    struct ev_loop *handle() const
    {
        return m_loop;
    }

private:
    struct ev_loop *m_loop;
};

/// Calls back while the descriptor is ready. Must be destroyed or stopped before the descriptor is closed.
class SocketWatch
{
public:
    using Callback = std::function<void(int events)>;

    SocketWatch(EventLoop &loop, Callback callback);
    ~SocketWatch();
    SocketWatch(const SocketWatch &) = delete;
    SocketWatch &operator=(const SocketWatch &) = delete;

    /// Watches for the given combination of EV_READ and EV_WRITE; zero stops watching.
    void watch(int descriptor, int events);
    void stop();

private:
    static void onReady(struct ev_loop *loop, ev_io *watcher, int events);

    EventLoop &m_loop;
    Callback m_callback;
    ev_io m_watcher{};
};

/// Calls back once when its time has come.
class Timer
{
public:
    using Callback = std::function<void()>;

    Timer(EventLoop &loop, Callback callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Replaces the present due time.
    void startIn(Duration delay);
    void startAt(TimePoint due);
    void stop();
    bool isActive() const;

private:
    static void onTimeout(struct ev_loop *loop, ev_timer *watcher, int events);

    EventLoop &m_loop;
    Callback m_callback;
    ev_timer m_watcher{};
};

/// Calls back when the process receives the signal.
class SignalWatch
{
public:
    using Callback = std::function<void()>;

    SignalWatch(EventLoop &loop, int signal, Callback callback);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    static void onSignal(struct ev_loop *loop, ev_signal *watcher, int events);

    EventLoop &m_loop;
    Callback m_callback;
    ev_signal m_watcher{};
};

}
