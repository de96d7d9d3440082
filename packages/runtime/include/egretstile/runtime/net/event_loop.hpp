#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace egretstile {

/// One thread that owns the state of a process: sockets, timers and functions posted by other
/// threads run one after another on it. All functions but `post` and `stop` are for the loop's
/// thread, or for any one thread before `run`.
class event_loop {
public:
    using callback = std::function<void()>;
    /// Gets the ready modes of Poco::Net::PollSet.
    using socket_callback = std::function<void(int)>;

    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;
    ~event_loop() = default;

    /// Runs `function` on the loop's thread as soon as possible. Thread-safe.
    void post(callback function);

    /// Runs `function` every `interval`; a late run is not made up for.
    void call_every(milliseconds interval, callback function);

    /// Runs `function` once at `time` or soon after.
    void call_at(boot_time time, callback function);

    void watch(const Poco::Net::Socket& socket, int mode, socket_callback function);
    void change_mode(const Poco::Net::Socket& socket, int mode);
    /// Must be called before the socket is closed.
    void unwatch(const Poco::Net::Socket& socket);

    /// Runs until `stop`.
    void run();
    /// Thread-safe.
    void stop();

private:
    struct timer {
        milliseconds interval{0};
        callback function;
    };

    void wake();
    void drain_wake_socket();
    void run_posted();
    void run_due_timers();
    void run_ready_sockets(milliseconds timeout);
    milliseconds time_to_next_timer();

    Poco::Net::PollSet poll_set_;
    std::map<Poco::Net::Socket, socket_callback> sockets_;
    std::multimap<boot_time, timer> timers_;
    Poco::Net::DatagramSocket wake_socket_;
    std::mutex mutex_;
    std::vector<callback> posted_;
    bool wake_pending_{false};
    std::atomic<bool> stopped_{false};
    std::atomic<std::thread::id> runner_{};
};

} // namespace egretstile
