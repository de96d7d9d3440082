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

/// Event loop of a process. The callbacks of sockets and timers, and the functions that other
/// threads post, run one after another on the thread that calls `run`, so the state that they share
/// needs no locks. Except for `post` and `stop`, member functions must be called on that thread, or
/// on one other thread before `run`.
class event_loop {
public:
    using callback = std::function<void()>;
    /// Receives the modes of Poco::Net::PollSet for which the socket is ready.
    using socket_callback = std::function<void(int)>;

    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;
    ~event_loop() = default;

    /// Runs `function` on the loop's thread as soon as possible. Thread-safe.
    void post(callback function);

    /// Runs `function` every `interval`, for the first time after one `interval`. The next interval
    /// starts when the function runs, so missed runs are not repeated.
    void call_every(milliseconds interval, callback function);

    /// Runs `function` once, at `time` or as soon after it as the loop is free.
    void call_at(boot_time time, callback function);

    /// Calls `function` whenever the socket is ready for one of the modes of Poco::Net::PollSet
    /// that are set in `mode`.
    void watch(const Poco::Net::Socket& socket, int mode, socket_callback function);
    void change_mode(const Poco::Net::Socket& socket, int mode);
    /// Must be called before the socket is closed. No effect for a socket that is not watched.
    void unwatch(const Poco::Net::Socket& socket);

    /// Runs the loop on the calling thread until `stop` is called. May be called again afterwards.
    void run();
    /// Makes `run` return once the current round of callbacks is done. Thread-safe.
    void stop();

    /// Longest time that one round of callbacks took since the last call. A socket that becomes
    /// ready during a round waits at most as long.
    boot_clock::duration take_longest_round();

private:
    struct timer {
        milliseconds interval{0};
        callback function;
    };

    void wake();
    void drain_wake_socket();
    void run_posted();
    void run_due_timers();
    Poco::Net::PollSet::SocketModeMap wait_for_sockets(milliseconds timeout);
    void run_ready_sockets(const Poco::Net::PollSet::SocketModeMap& ready);
    milliseconds poll_timeout();

    Poco::Net::PollSet poll_set_;
    std::map<Poco::Net::Socket, socket_callback> sockets_;
    std::multimap<boot_time, timer> timers_;
    Poco::Net::DatagramSocket wake_socket_;
    std::mutex mutex_;
    std::vector<callback> posted_functions_;
    boot_clock::duration longest_round_{0};
    bool wake_pending_{false};
    std::atomic<bool> stopped_{false};
    std::atomic<std::thread::id> loop_thread_{};
};

} // namespace egretstile
