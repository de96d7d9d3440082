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
    /// Weight of the services' tail latency against batch throughput, 0 to 1. With 0 the controller
    /// throttles late and hardly ever evicts, with 1 it throttles early.
    double tail_weight{0.5};
    /// Minimum time between two changes on one VM. The effect of a change is measurable only after
    /// the delay of the reports and the time over which they are averaged.
    milliseconds min_change_interval{2000};
    /// The slowdown must stay below the relax threshold this long before a throttle is relaxed by
    /// one step.
    milliseconds relax_after{5000};
    /// All runs must be fully throttled this long, with the slowdown still above the throttle
    /// threshold, before a run is evicted.
    milliseconds evict_after{20000};
    /// Minimum time between two evictions on one VM.
    milliseconds min_eviction_interval{60000};
    /// Interval at which a throttle command is sent again, because it may be lost.
    milliseconds resend_interval{5000};
};

/// Command that limits the processor time of a run. 100 percent removes the limit.
struct throttle_run {
    task_run run;
    std::uint32_t cpu_percent{100};
};

/// Command to checkpoint and stop a run.
struct evict_run {
    task_run run;
};

using interference_action = std::variant<throttle_run, evict_run>;

/// Protects the service on each VM from interference by the tasks on the same VM. Throttles the
/// most disturbing run step by step, relaxes the throttles gradually when the service has
/// recovered, and evicts a run only when every run is fully throttled. Changes nothing while the
/// slowdown is between the two thresholds, so that throttles do not oscillate. Not thread-safe.
/// `now` must not decrease between calls.
class interference_controller {
public:
    /// Whether this entry owns the run. The controller sends commands only to owned runs.
    using run_filter = std::function<bool(const task_run&)>;

    explicit interference_controller(const interference_settings& settings);

    /// Returns the commands to send. Call it with each new report of a VM. While the
    /// latency of a service or its undisturbed latency is unknown, no throttle is changed, but
    /// throttles that are due are sent again. On a VM without a service, throttles are relaxed.
    std::vector<interference_action> decide(const vm_view& vm, const interference_model& model,
                                            const run_filter& is_owned, boot_time now);

    void remove_vm(const vm_name& vm) { vms_.erase(vm); }

    /// Slowdown above which throttling starts.
    double throttle_threshold() const;
    /// Slowdown below which throttles are relaxed.
    double relax_threshold() const;

private:
    struct throttle_state {
        /// Number of steps by which the run is throttled; zero: no limit.
        std::size_t step{0};
        boot_time sent_at;
    };

    struct run_less {
        bool operator()(const task_run& left, const task_run& right) const {
            return std::tie(left.key, left.attempt) < std::tie(right.key, right.attempt);
        }
    };

    struct vm_state {
        std::map<task_run, throttle_state, run_less> throttles;
        /// The last measurements. Their median is not affected by one late or stalled report.
        std::array<double, 3> recent_slowdowns{1.0, 1.0, 1.0};
        /// Index in `recent_slowdowns` of the oldest measurement, which is replaced next.
        std::size_t next{0};
        double slowdown{1.0};
        boot_time last_change_at;
        /// Since when the slowdown has been below the relax threshold, or the last relaxed step.
        std::optional<boot_time> below_threshold_since;
        /// Since when every owned run has been fully throttled with the slowdown too high.
        std::optional<boot_time> fully_throttled_since;
        std::optional<boot_time> last_eviction_at;
    };

    using actions = std::vector<interference_action>;

    static void remove_ended_runs(vm_state& state, const vm_view& vm);
    /// Returns false, changing nothing, when the report has no latency or the undisturbed latency
    /// is unknown.
    static bool update_slowdown(vm_state& state, const vm_view& vm,
                                const interference_model& model);
    /// Run with the largest impact on the service among the owned runs that are fully throttled or,
    /// with `fully_throttled` false, that are not. Null when there is none.
    static const placed_run* most_disturbing_run(const vm_state& state, const vm_view& vm,
                                                 const interference_model& model,
                                                 const run_filter& is_owned, bool fully_throttled);
    void throttle_further(vm_state& state, const vm_view& vm, const interference_model& model,
                          const run_filter& is_owned, boot_time now, actions& out) const;
    void evict(vm_state& state, const vm_view& vm, const interference_model& model,
               const run_filter& is_owned, boot_time now, actions& out) const;
    void relax(vm_state& state, boot_time now, actions& out) const;
    void resend_throttles(vm_state& state, const run_filter& is_owned, boot_time now,
                          actions& out) const;

    interference_settings settings_;
    std::unordered_map<vm_name, vm_state> vms_;
};

} // namespace egretstile
