#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/interference/interference_model.hpp>
#include <egretstile/core/placement/vm_view.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

namespace egretstile {

struct interference_settings {
    /// Weight of lookup tail against batch throughput and evictions: 0 acts late and hardly ever
    /// evicts, 1 acts early.
    double tail_weight{0.5};
    /// Least time between two changes on one VM: a measurement shows a change only after the
    /// report's lag and the averaging time.
    milliseconds dwell{2000};
    /// The service must be undisturbed for so long before a throttle is relaxed by one step.
    milliseconds restore_after{5000};
    /// All runs must be throttled fully, without enough effect, for so long before an eviction.
    milliseconds evict_after{20000};
    /// Least time between two evictions on one VM.
    milliseconds eviction_interval{60000};
    /// A throttle is repeated this often, because the command may be lost.
    milliseconds repeat_after{5000};
};

/// Limit the processor share of the run; 100 removes the limit.
struct throttle_run {
    task_run run;
    std::uint32_t cpu_percent{100};
};

/// Checkpoint and stop the run.
struct evict_run {
    task_run run;
};

using interference_action = std::variant<throttle_run, evict_run>;

/// Protects the service of each VM from the tasks beside it: throttles the most disturbing run step
/// by step, relaxes gradually when the service has recovered, and evicts only when every run is
/// throttled fully. Between the limit that starts a throttle and the one that relaxes it nothing
/// changes. Not thread-safe; `now` must not go back.
class interference_controller {
public:
    /// Runs that this entry owns; it must not command others.
    using run_filter = std::function<bool(const task_run&)>;

    explicit interference_controller(const interference_settings& settings);

    /// Call with each new report of a VM. Reports without an answer time change nothing.
    std::vector<interference_action> decide(const vm_view& vm, const interference_model& model,
                                            const run_filter& owned, boot_time now);

    void forget_vm(const vm_name& vm) { vms_.erase(vm); }

    /// Slowdown above which throttling starts.
    double upper_limit() const;
    /// Slowdown below which throttles are relaxed.
    double lower_limit() const;

private:
    struct throttle_state {
        std::size_t step{0};
        boot_time sent_at;
    };

    struct run_order {
        bool operator()(const task_run& left, const task_run& right) const {
            return std::tie(left.key, left.attempt) < std::tie(right.key, right.attempt);
        }
    };

    struct vm_state {
        std::map<task_run, throttle_state, run_order> throttles;
        /// The last measurements; their median is robust to one late or stalled one.
        std::array<double, 3> recent{1.0, 1.0, 1.0};
        std::size_t next{0};
        double slowdown{1.0};
        boot_time changed_at;
        std::optional<boot_time> calm_since;
        std::optional<boot_time> exhausted_since;
        std::optional<boot_time> evicted_at;
    };

    using actions = std::vector<interference_action>;

    static void drop_ended(vm_state& state, const vm_view& vm);
    static bool measure(vm_state& state, const vm_view& vm, const interference_model& model);
    static const placed_run* most_disturbing(const vm_state& state, const vm_view& vm,
                                             const interference_model& model,
                                             const run_filter& owned, bool throttled_fully);
    void tighten(vm_state& state, const vm_view& vm, const interference_model& model,
                 const run_filter& owned, boot_time now, actions& out) const;
    void evict(vm_state& state, const vm_view& vm, const interference_model& model,
               const run_filter& owned, boot_time now, actions& out) const;
    void relax(vm_state& state, boot_time now, actions& out) const;
    void repeat(vm_state& state, const run_filter& owned, boot_time now, actions& out) const;

    interference_settings settings_;
    std::unordered_map<vm_name, vm_state> vms_;
};

} // namespace egretstile
