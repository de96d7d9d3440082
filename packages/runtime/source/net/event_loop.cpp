#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <utility>

namespace egretstile {

namespace {

/// Upper limit of one wait, so that a lost wake-up delays a posted function by no more than this.
constexpr milliseconds longest_wait{1000};

} // namespace

event_loop::event_loop() {
    // POCO 1.11 has no way to interrupt a poll, so a datagram to ourselves does it.
    wake_socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    wake_socket_.connect(wake_socket_.address());
    wake_socket_.setBlocking(false);
    poll_set_.add(wake_socket_, Poco::Net::PollSet::POLL_READ);
}

void event_loop::post(callback function) {
    bool must_wake = false;
    {
        const std::lock_guard lock(mutex_);
        posted_.push_back(std::move(function));
        // The loop's own thread looks at the posted functions before it waits again.
        must_wake =
            runner_.load() != std::this_thread::get_id() && !std::exchange(wake_pending_, true);
    }
    if (must_wake) {
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
    runner_ = std::this_thread::get_id();
    while (!stopped_) {
        run_ready_sockets(time_to_next_timer());
        run_posted();
        run_due_timers();
    }
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
        // The socket's buffer is full, so the loop has a wake-up waiting already.
    }
}

void event_loop::drain_wake_socket() {
    std::array<char, 64> bytes{};
    try {
        while (wake_socket_.receiveBytes(bytes.data(), static_cast<int>(bytes.size())) > 0) {
        }
    } catch (const Poco::Exception&) {
        // Nothing is left to read.
    }
}

void event_loop::run_posted() {
    std::vector<callback> functions;
    {
        const std::lock_guard lock(mutex_);
        functions.swap(posted_);
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

void event_loop::run_ready_sockets(milliseconds timeout) {
    const Poco::Net::PollSet::SocketModeMap ready =
        poll_set_.poll(Poco::Timespan(timeout.count() * Poco::Timespan::MILLISECONDS));
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

milliseconds event_loop::time_to_next_timer() {
    {
        const std::lock_guard lock(mutex_);
        if (!posted_.empty()) {
            return milliseconds(0);
        }
    }
    if (timers_.empty()) {
        return longest_wait;
    }
    const boot_time now = boot_now();
    const milliseconds wait = std::chrono::ceil<milliseconds>(timers_.begin()->first - now);
    return std::clamp(wait, milliseconds(0), longest_wait);
}

} // namespace egretstile
