#pragma once

#include "common/service_call.hpp"

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <thread>

namespace egretstile::standins {

/// Fault that a stand-in shows; not every stand-in knows every mode.
enum class fault_mode : std::uint8_t {
    none,
    down,         ///< Each call is refused with 503.
    slow,         ///< Each call is delayed.
    lose_answers, ///< Calls take effect; the connection is closed without an answer.
    fail_tasks,   ///< Each run ends as failed as soon as it starts.
    worker_down,  ///< The worker's calls are refused with 503; runs go on.
    truncate      ///< Half of each answer's body is sent.
};

inline constexpr std::array<enum_name<fault_mode>, 7> fault_mode_names{
    {{fault_mode::none, "none"},
     {fault_mode::down, "down"},
     {fault_mode::slow, "slow"},
     {fault_mode::lose_answers, "lose_answers"},
     {fault_mode::fail_tasks, "fail_tasks"},
     {fault_mode::worker_down, "worker_down"},
     {fault_mode::truncate, "truncate"}}};

/// The fault that is set, from any thread to any thread. Thread-safe.
class fault_switch {
public:
    fault_mode mode() const {
        const std::lock_guard lock(mutex_);
        return mode_;
    }

    /// Sleeps for the delay that is set.
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
