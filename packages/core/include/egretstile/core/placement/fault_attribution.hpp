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
    /// Different tasks that fail on a worker one after the other before it is suspected.
    std::size_t worker_failures{5};
    /// Healthy workers on which a task fails before the task is blamed.
    std::size_t task_failures{3};
    /// First time without new work; doubles with each further one.
    milliseconds first_drain{60000};
    milliseconds longest_drain{1800000};
    /// Most of the known workers that are drained at the same time, in percent; never all.
    std::uint32_t max_drained_percent{20};
};

/// Whether the capacity of any VM, also of one that accepts nothing now, holds `need`. True when
/// `vms` is empty: an entry that knows no VM yet must not reject. Thread-safe.
bool fits_any_vm(const resources& need, const std::vector<vm_view>& vms);

/// Decides from the ends of runs whether a worker or a task is at fault. A worker that fails
/// different tasks in a row, while runs succeed on the others, gets no new work for a while. A task
/// that fails on several workers, none of them suspected, is faulty itself. Not thread-safe;
/// `now` must not go back.
class fault_attribution {
public:
    explicit fault_attribution(const fault_settings& settings = {});

    void run_succeeded(const vm_name& vm, const task_key& key);
    void run_failed(const vm_name& vm, const task_key& key, boot_time now);

    /// Whether the worker gets no new work now.
    bool is_drained(const vm_name& vm, boot_time now) const;

    /// Whether the task's failures are its own, so that it should be parked.
    bool is_task_faulty(const task_key& key) const;

    /// The task is final.
    void forget_task(const task_key& key) { tasks_.erase(key); }

    /// The VM is gone. A replacement of the same name starts without a record.
    void forget_vm(const vm_name& vm) { workers_.erase(vm); }

private:
    struct worker_state {
        /// Tasks that failed since the last success, each once, at most `worker_failures`.
        std::set<task_key> failed;
        std::uint32_t drains{0};
        boot_time drained_until;
        /// Suspected until a run succeeds, also after the drain.
        bool suspected{false};
    };

    void drain_if_faulty(const vm_name& vm, worker_state& worker, boot_time now);
    bool may_drain(boot_time now) const;
    bool others_succeed(const worker_state& worker) const;

    fault_settings settings_;
    std::unordered_map<vm_name, worker_state> workers_;
    /// Workers on which each task failed while they were not suspected.
    std::unordered_map<task_key, std::set<vm_name>> tasks_;
};

} // namespace egretstile
