#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

namespace egretstile {

/// Corrects declared run times and resource needs, which may be far off, from the measurements of
/// earlier tasks of the same team and kind. Not thread-safe.
class run_time_estimator {
public:
    /// Records a successful run. `peak_used` is the highest usage of each resource during the run.
    void observe(const task_spec& task, milliseconds run_time, const resources& peak_used);

    /// Expected run time. Returns the declared one until enough runs were observed, and always for
    /// watch tasks, which run until they are cancelled.
    milliseconds expected_run_time(const task_spec& task) const;

    /// Resources that a VM must have free for the task: the declared need, raised when earlier
    /// tasks used more. Never below the declared need, because the agent reserves it. Not raised
    /// above `largest`, the capacity of the largest VM, so that a correction makes no task
    /// unplaceable.
    resources placement_need(const task_spec& task, const resources& largest) const;

    /// Resources that the task will probably use, possibly less than declared. For predictions of
    /// load only; use `placement_need` to check capacity.
    resources expected_usage(const task_spec& task) const;

private:
    struct group_state {
        std::uint32_t count{0};
        /// Mean of the natural logarithm of actual over declared run time.
        double log_run_time{0};
        /// Mean run time in milliseconds, for tasks that declare none.
        double run_time_ms{0};
        /// Mean ratios of used to declared amounts.
        double cpu{1};
        double memory{1};
        /// Highest recent memory ratio. Decays with each observation.
        double peak_memory{1};
    };

    const group_state* find(const task_spec& task) const;

    std::unordered_map<std::string, group_state> groups_;
};

} // namespace egretstile
