#pragma once

#include "common/service_call.hpp"

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <thread>

namespace egretstile::standins {

/// Fault that a stand-in simulates; not every stand-in supports every mode.
enum class fault_mode : std::uint8_t {
    none,
    down,         ///< Every call is refused with 503.
    slow,         ///< Every call is delayed.
    lose_answers, ///< Calls take effect, but the connection is closed without an answer.
    fail_tasks,   ///< Every run fails as soon as it starts.
    worker_down,  ///< Calls to the worker are refused with 503; runs continue.
    truncate      ///< Only half of each answer's body is sent.
};

inline constexpr std::array<enum_name<fault_mode>, 7> fault_mode_names{
    {{fault_mode::none, "none"},
     {fault_mode::down, "down"},
     {fault_mode::slow, "slow"},
     {fault_mode::lose_answers, "lose_answers"},
     {fault_mode::fail_tasks, "fail_tasks"},
     {fault_mode::worker_down, "worker_down"},
     {fault_mode::truncate, "truncate"}}};

/// The fault that a stand-in currently simulates. The admin interface sets it, and the handlers of
/// calls apply it. Thread-safe.
class fault_injector {
public:
    fault_mode mode() const {
        const std::lock_guard lock(mutex_);
        return mode_;
    }

    /// Sleeps for the configured delay.
    void delay_call() const {
        std::chrono::milliseconds delay{0};
        {
            const std::lock_guard lock(mutex_);
            delay = delay_;
        }
        std::this_thread::sleep_for(delay);
    }

    /// Handler of `POST /admin/fault?mode=M&delay_ms=N`.
    service_answer set(const service_call& call) {
        const auto mode = value_of(fault_mode_names, call.text("mode"));
        if (!mode) {
            return reason_answer(400, "unknown mode");
        }
        const std::chrono::milliseconds delay(call.number("delay_ms", 0));
        const std::lock_guard lock(mutex_);
        mode_ = *mode;
        delay_ = delay;
        return {};
    }

private:
    mutable std::mutex mutex_;
    fault_mode mode_{fault_mode::none};
    std::chrono::milliseconds delay_{0};
};

} // namespace egretstile::standins
