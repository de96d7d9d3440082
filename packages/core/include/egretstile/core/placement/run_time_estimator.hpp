#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

namespace egretstile {

/// Corrects declared run times and sizes, which may be far off, with what earlier tasks of the same
/// team and kind took. Not thread-safe.
class run_time_estimator {
public:
    /// A run that succeeded, with the most that it used at any time.
    void observe(const task_spec& task, milliseconds run_time, const resources& peak_used);

    /// Expected run time; the declared one while nothing is known. A watch task has none, so its
    /// result is the declared one.
    milliseconds expected_run_time(const task_spec& task) const;

    /// Amounts that the VM must have free: the declared ones, raised when earlier tasks used more.
    /// Never below the declared ones, because the agent reserves these. Not raised above `largest`,
    /// the capacity of the largest VM, so that a correction makes no task unplaceable.
    resources placement_need(const task_spec& task, const resources& largest) const;

    /// Amounts that the task will probably use, also below the declared ones; for predictions of
    /// load only, not for capacity.
    resources expected_usage(const task_spec& task) const;

private:
    struct ratios {
        std::uint32_t count{0};
        /// Natural logarithm of the actual run time over the declared one.
        double log_run_time{0};
        /// Mean run time in milliseconds, for tasks that declare none.
        double run_time_ms{0};
        double cpu{1};
        double memory{1};
        /// Highest recent memory ratio; decays slowly.
        double peak_memory{1};
    };

    const ratios* find(const task_spec& task) const;

    std::unordered_map<std::string, ratios> groups_;
};

} // namespace egretstile
