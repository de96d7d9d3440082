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

/// Share of a VM's processors that each kind of task uses, indexed by `task_kind`.
using kind_shares = std::array<double, task_kind_names.size()>;

/// Share for each kind from the measured usage of the VM's runs; a run that has none yet counts
/// with its declared need. Thread-safe.
kind_shares shares_of(const vm_view& vm);

/// Load of the VM's upstream: occupied share of its slots, 0 to 1. Thread-safe.
double load_of(const vm_view& vm);

/// Learned slowdown of a service by the tasks beside it, for each kind of task and as a function of
/// the service's load. The predicted answer time is the service's own answer time at that load
/// times one plus the sum over the kinds of coefficient times processor share.
///
/// Measurements lag behind the runs, so a VM teaches the model only while its mix of tasks has been
/// unchanged for `settle_time`. One wrong sample moves an estimate by a bounded step. Not
/// thread-safe; `now` must not go back.
class interference_model {
public:
    /// Two heartbeat intervals and the time over which agents average answer times.
    static constexpr milliseconds settle_time{1500};
    /// Assumed of a pair that was never measured: a full VM of tasks doubles the answer time.
    static constexpr double unknown_coefficient = 1.0;

    /// Takes one report of a VM; ignores those without a service or an answer time.
    void observe(const vm_view& vm, boot_time now);

    void forget_vm(const vm_name& vm) { vms_.erase(vm); }

    /// Predicted answer time beside these tasks, relative to the one without any; at least one.
    double slowdown(const std::string& service, double load, const kind_shares& shares) const;

    /// Added relative answer time for each full VM of tasks of this kind.
    double coefficient(const std::string& service, task_kind kind, double load) const;

    /// Samples behind `coefficient` at this load.
    std::uint32_t samples(const std::string& service, task_kind kind, double load) const;

    /// Answer time of the service without tasks beside it at this load, in microseconds; zero while
    /// unknown.
    double undisturbed_us(const std::string& service, double load) const;

private:
    static constexpr std::size_t load_levels = 4;

    struct average {
        double value{0};
        std::uint32_t count{0};
    };

    struct level_state {
        /// Measured without tasks beside the service.
        average undisturbed;
        /// Inferred from measurements beside tasks; used while there is no other.
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
    static void learn_undisturbed(average& undisturbed, double estimate);
    static void learn_coefficients(service_state& service, std::size_t level, double measured,
                                   const kind_shares& shares);

    std::unordered_map<std::string, service_state> services_;
    std::unordered_map<vm_name, vm_state> vms_;
};

} // namespace egretstile
