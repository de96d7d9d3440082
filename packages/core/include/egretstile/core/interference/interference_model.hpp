#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/placement/vm_view.hpp>
#include <egretstile/core/task/task.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace egretstile {

/// Share of a VM's processor time that each kind of task uses, indexed by `task_kind`.
using kind_shares = std::array<double, task_kind_names.size()>;

/// Share of each kind of task, from the measured usage of the VM's runs. A run without measured
/// usage counts with its declared need. Thread-safe.
kind_shares cpu_shares_by_kind(const vm_view& vm);

/// Share of the slots of the VM's upstream that are in use, 0 to 1. Zero without slots.
/// Thread-safe.
double upstream_load(const vm_view& vm);

/// Learns how much each kind of task slows down each service on the same VM, depending on the load
/// of the service. The slowdown is the latency divided by the undisturbed latency, which is the
/// latency at the same load without tasks on the VM. The model is linear: the slowdown is one plus
/// the sum, over the kinds of tasks, of coefficient times processor share.
///
/// Measurements lag behind changes of the runs, so samples of a VM are used only when its mix of
/// tasks has been unchanged for `settle_time`. A single wrong sample moves an estimate by a bounded
/// step. Not thread-safe. `now` must not decrease between calls.
class interference_model {
public:
    /// Two heartbeat intervals plus the time over which agents average latencies.
    static constexpr milliseconds settle_time{1500};
    /// Coefficient of a service and kind of task without samples: tasks that use the whole VM
    /// double the latency.
    static constexpr double default_coefficient = 1.0;

    /// Updates the model with a report of a VM. A report without a service or a latency is not used
    /// as a sample.
    void observe(const vm_view& vm, boot_time now);

    void remove_vm(const vm_name& vm) { vms_.erase(vm); }

    /// Predicted slowdown of the service by tasks that use these shares; at least one.
    double slowdown(const std::string& service, double load, const kind_shares& shares) const;

    /// Increase of the slowdown when tasks of this kind use the whole VM.
    double coefficient(const std::string& service, task_kind kind, double load) const;

    /// Number of samples of `coefficient` at the load level of `load`. Zero when `coefficient`
    /// falls back to another level or the default.
    std::uint32_t sample_count(const std::string& service, task_kind kind, double load) const;

    /// Latency of the service at this load without tasks on the VM, in microseconds. Zero while it
    /// is unknown.
    double undisturbed_latency_us(const std::string& service, double load) const;

private:
    static constexpr std::size_t load_levels = 4;

    struct average {
        double value{0};
        std::uint32_t count{0};
    };

    struct level_state {
        /// Undisturbed latency in microseconds, measured without tasks on the VM.
        average undisturbed;
        /// Undisturbed latency in microseconds, inferred from measurements with tasks on the VM.
        /// Used while `undisturbed` has no samples on any level.
        average inferred;
        std::array<average, task_kind_names.size()> coefficients{};
    };

    struct vm_state {
        kind_shares shares{};
        std::string service;
        boot_time settled_since;
    };

    using service_state = std::array<level_state, load_levels>;

    static std::size_t level_of(double load);
    static double coefficient_of(const service_state& service, std::size_t kind, std::size_t level);
    static double nearest(const service_state& service, average level_state::*member,
                          std::size_t level);
    static double undisturbed_of(const service_state& service, std::size_t level);
    static double slowdown_of(const service_state& service, std::size_t level,
                              const kind_shares& shares);
    bool is_settled(const vm_view& vm, const kind_shares& shares, boot_time now);
    static void learn_undisturbed_latency(average& undisturbed, double estimate);
    static void learn_coefficients(service_state& service, std::size_t level, double measured,
                                   const kind_shares& shares);

    std::unordered_map<std::string, service_state> services_;
    std::unordered_map<vm_name, vm_state> vms_;
};

} // namespace egretstile
