#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/placement/vm_view.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace egretstile {

struct fault_settings {
    /// Number of different tasks that fail on a worker in a row before the worker is suspected.
    std::size_t worker_failure_limit{5};
    /// Number of workers not under suspicion on which a task fails before the task counts as
    /// faulty.
    std::size_t task_failure_limit{3};
    /// Length of a worker's first drain. Each further drain takes twice as long.
    milliseconds initial_drain{60000};
    milliseconds max_drain{1800000};
    /// Largest percentage of the known workers that are drained at the same time. At least one
    /// worker may be drained, but never all.
    std::uint32_t max_drained_percent{20};
};

/// Whether `need` fits into the total capacity of any VM, including VMs that accept no tasks now.
/// True when `vms` is empty, because an entry that knows no VM yet must not reject tasks.
/// Thread-safe.
bool fits_any_vm(const resources& need, const std::vector<vm_view>& vms);

/// Decides from the results of runs whether a worker or a task is at fault. A worker on which
/// different tasks fail in a row, while runs succeed on the other workers, is drained: it gets no
/// new tasks for a limited time. A task that fails on several workers, none of them suspected,
/// counts as faulty. Not thread-safe. `now` must not decrease between calls.
class fault_attribution {
public:
    explicit fault_attribution(const fault_settings& settings = {});

    void record_success(const vm_name& vm, const task_key& key);
    void record_failure(const vm_name& vm, const task_key& key, boot_time now);

    /// Whether the worker must get no new tasks at `now`.
    bool is_drained(const vm_name& vm, boot_time now) const;

    /// Whether the task itself causes its failures, so that it should be parked.
    bool is_task_faulty(const task_key& key) const;

    /// Discards the record of a task that has reached a final state.
    void forget_task(const task_key& key) { tasks_.erase(key); }

    /// Discards the record of a removed VM, so that a replacement with the same name starts without
    /// failures.
    void remove_vm(const vm_name& vm) { workers_.erase(vm); }

private:
    struct worker_state {
        /// Distinct tasks that failed since the last success, at most `worker_failure_limit`.
        std::set<task_key> failed;
        std::uint32_t drains{0};
        boot_time drained_until;
        /// Remains true after the drain, until a run succeeds.
        bool suspected{false};
    };

    void drain_if_faulty(const vm_name& vm, worker_state& worker, boot_time now);
    bool may_drain(boot_time now) const;
    bool others_succeed(const worker_state& worker) const;

    fault_settings settings_;
    std::unordered_map<vm_name, worker_state> workers_;
    /// For each task the workers on which it failed while they were not suspected.
    std::unordered_map<task_key, std::set<vm_name>> tasks_;
};

} // namespace egretstile
