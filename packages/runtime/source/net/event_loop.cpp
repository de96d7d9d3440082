#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <utility>

namespace egretstile {

namespace {

/// Longest wait for sockets, so that a lost wake-up delays a posted function by at most this.
constexpr milliseconds max_wait{1000};

} // namespace

event_loop::event_loop() {
    // POCO 1.11 cannot interrupt a poll, so the loop is woken by a datagram that the socket sends
    // to itself.
    wake_socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    wake_socket_.connect(wake_socket_.address());
    wake_socket_.setBlocking(false);
    poll_set_.add(wake_socket_, Poco::Net::PollSet::POLL_READ);
}

void event_loop::post(callback function) {
    bool needs_wake = false;
    {
        const std::lock_guard lock(mutex_);
        posted_functions_.push_back(std::move(function));
        // The loop's own thread checks the posted functions before it waits again.
        needs_wake = loop_thread_.load() != std::this_thread::get_id() &&
                     !std::exchange(wake_pending_, true);
    }
    if (needs_wake) {
        wake();
    }
}

void event_loop::call_every(milliseconds interval, callback function) {
    timers_.emplace(boot_now() + interval, timer{interval, std::move(function)});
}

void event_loop::call_at(boot_time time, callback function) {
    timers_.emplace(time, timer{milliseconds(0), std::move(function)});
}

void event_loop::watch(const Poco::Net::Socket& socket, int mode, socket_callback function) {
    sockets_[socket] = std::move(function);
    poll_set_.add(socket, mode);
}

void event_loop::change_mode(const Poco::Net::Socket& socket, int mode) {
    poll_set_.update(socket, mode);
}

void event_loop::unwatch(const Poco::Net::Socket& socket) {
    if (sockets_.erase(socket) != 0) {
        poll_set_.remove(socket);
    }
}

void event_loop::run() {
    loop_thread_ = std::this_thread::get_id();
    while (!stopped_) {
        const Poco::Net::PollSet::SocketModeMap ready = wait_for_sockets(poll_timeout());
        const boot_time round_began_at = boot_now();
        run_ready_sockets(ready);
        run_posted();
        run_due_timers();
        longest_round_ = std::max(longest_round_, boot_now() - round_began_at);
    }
    stopped_ = false;
}

boot_clock::duration event_loop::take_longest_round() {
    return std::exchange(longest_round_, boot_clock::duration(0));
}

void event_loop::stop() {
    stopped_ = true;
    wake();
}

void event_loop::wake() {
    const char byte = 0;
    try {
        wake_socket_.sendBytes(&byte, sizeof(byte));
    } catch (const Poco::Exception&) {
        // The socket's buffer is full, so an earlier wake-up is still unread.
    }
}

void event_loop::drain_wake_socket() {
    std::array<char, 64> bytes{};
    try {
        while (wake_socket_.receiveBytes(bytes.data(), static_cast<int>(bytes.size())) > 0) {
        }
    } catch (const Poco::Exception&) {
        // The socket does not block: there is nothing left to read.
    }
}

void event_loop::run_posted() {
    std::vector<callback> functions;
    {
        const std::lock_guard lock(mutex_);
        functions.swap(posted_functions_);
        wake_pending_ = false;
    }
    for (const callback& function : functions) {
        function();
    }
}

void event_loop::run_due_timers() {
    const boot_time now = boot_now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const timer due = timers_.begin()->second;
        timers_.erase(timers_.begin());
        if (due.interval.count() > 0) {
            timers_.emplace(now + due.interval, due);
        }
        due.function();
    }
}

Poco::Net::PollSet::SocketModeMap event_loop::wait_for_sockets(milliseconds timeout) {
    return poll_set_.poll(Poco::Timespan(timeout.count() * Poco::Timespan::MILLISECONDS));
}

void event_loop::run_ready_sockets(const Poco::Net::PollSet::SocketModeMap& ready) {
    for (const auto& [socket, mode] : ready) {
        if (socket == wake_socket_) {
            drain_wake_socket();
            continue;
        }
        const auto found = sockets_.find(socket);
        if (found != sockets_.end()) {
            const socket_callback function = found->second;
            function(mode);
        }
    }
}

milliseconds event_loop::poll_timeout() {
    {
        const std::lock_guard lock(mutex_);
        if (!posted_functions_.empty()) {
            return milliseconds(0);
        }
    }
    if (timers_.empty()) {
        return max_wait;
    }
    const boot_time now = boot_now();
    const milliseconds wait = std::chrono::ceil<milliseconds>(timers_.begin()->first - now);
    return std::clamp(wait, milliseconds(0), max_wait);
}

} // namespace egretstile
