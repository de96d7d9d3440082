#pragma once

#include <functional>
#include <thread>

namespace egretstile::daemon {

/// Calls one function on SIGTERM and SIGINT, and another on SIGHUP. Create it before any other
/// thread: it blocks these signals, and SIGUSR1 that it uses itself, in the creating thread, and
/// later threads inherit the blocked signals.
class signal_listener {
public:
    signal_listener();
    signal_listener(const signal_listener&) = delete;
    signal_listener& operator=(const signal_listener&) = delete;
    signal_listener(signal_listener&&) = delete;
    signal_listener& operator=(signal_listener&&) = delete;
    ~signal_listener();

    /// Starts the thread on which `on_stop` and `on_reload` run, once for each signal. Call once.
    void listen(
        std::function<void()> on_stop, std::function<void()> on_reload = [] {});

private:
    std::thread thread_;
};

} // namespace egretstile::daemon
