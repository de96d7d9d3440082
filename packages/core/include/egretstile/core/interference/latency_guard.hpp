#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace egretstile {

struct latency_guard_settings {
    /// Share of the target above which the tasks that fill are slowed down.
    double slow_down_at{0.85};
    /// Share of the target below which they are sped up.
    double speed_up_below{0.6};
    /// Factor of one step down, and percent points of one step up.
    double step_down{0.5};
    std::uint32_t step_up{10};
    /// Below this a task that fills is paused.
    std::uint32_t smallest_percent{10};
    /// The reported latency covers this span; steps are no closer.
    milliseconds interval{500};
};

/// What the guard needs to know of a run.
struct guarded_run {
    task_attempt run;
    bool fills_idle_cpu{false};
    /// Zero: the task serves nobody.
    std::uint32_t target_latency_ms{0};
    /// Latency in milliseconds, for a task that serves.
    std::uint32_t latency_ms{0};
};

struct speed_change {
    task_attempt run;
    std::uint32_t percent{100};
};

/// Slows the tasks of a VM that fill its idle processor time down before those that serve users
/// miss their latency target. Not thread-safe; `now` must not go back.
class latency_guard {
public:
    explicit latency_guard(const latency_guard_settings& settings = {});

    /// Changes to carry out now.
    std::vector<speed_change> update(const std::vector<guarded_run>& runs, boot_time now);
    /// The change was not carried out; the next update repeats it.
    void change_failed(const task_attempt& run) { applied_.erase(run); }

    std::uint32_t percent() const { return percent_; }

private:
    latency_guard_settings settings_;
    std::uint32_t percent_{100};
    boot_time stepped_at_{};
    std::map<task_attempt, std::uint32_t> applied_;
};

} // namespace egretstile
