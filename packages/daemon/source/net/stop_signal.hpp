#pragma once

#include <functional>
#include <thread>

namespace egretstile::daemon {

/// Calls a function when the process gets SIGTERM or SIGINT, and another one at SIGHUP. Create it
/// before any other thread: it blocks both signals in the creating thread, which later threads
/// inherit.
class stop_signal {
public:
    stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;
    stop_signal(stop_signal&&) = delete;
    stop_signal& operator=(stop_signal&&) = delete;
    ~stop_signal();

    /// `on_stop` and `on_reload` run on a thread of its own, once for each signal. Call once.
    void listen(
        std::function<void()> on_stop, std::function<void()> on_reload = [] {});

private:
    std::thread thread_;
};

} // namespace egretstile::daemon
