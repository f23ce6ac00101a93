#pragma once

#include "core/time.h"

#include <ev.h>

#include <functional>
#include <memory>

namespace sequoiastand
{

/// The only event loop of a process, based on libev. All watchers run on its thread.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Monotonic time for deadlines. The clock also advances while the machine is suspended.
    static TimePoint now();

    /// UTC time for records.
    static WallTime wallNow();

    /// Runs until stop() is called.
    void run();

    /// Runs until the predicate is true after an event, or until the time limit has passed. Returns whether the predicate is true.
    bool runUntil(const std::function<bool()> &isDone, Duration limit);

    void stop();

    struct ev_loop *handle() const
    {
        return m_loop;
    }

private:
    struct ev_loop *m_loop;
};

/// Runs a callback whenever a file descriptor is ready. The watch must be stopped or destroyed before the descriptor is closed.
class SocketWatch
{
public:
    using Callback = std::function<void(int events)>;

    SocketWatch(EventLoop &loop, Callback callback);
    ~SocketWatch();
    SocketWatch(const SocketWatch &) = delete;
    SocketWatch &operator=(const SocketWatch &) = delete;

    /// Watches the descriptor for a combination of EV_READ and EV_WRITE; zero stops the watch.
    void watch(int descriptor, int events);
    void stop();

private:
    static void onReady(struct ev_loop *loop, ev_io *watcher, int events);

    EventLoop &m_loop;
    Callback m_callback;
    ev_io m_watcher{};
};

/// Runs a callback once at the due time.
class Timer
{
public:
    using Callback = std::function<void()>;

    Timer(EventLoop &loop, Callback callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Starts the timer; a due time that was set before is replaced.
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

/// Runs a callback when the process receives the signal.
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
