#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/routing/latency_statistics.hpp>
#include <egretstile/core/routing/routing_types.hpp>
#include <egretstile/core/routing/upstream_health.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace egretstile {

/// The upstreams of one service, as known to one entry: the reports of their agents, the attempts
/// of this entry and their health. Chooses an upstream for each attempt. Not thread-safe; `now`
/// must not decrease from call to call.
class upstream_pool {
public:
    explicit upstream_pool(const routing_settings& settings);

    /// Adds the upstream or updates it with a new report of its agent.
    void update(const upstream_status& status, boot_time now);

    /// Stops using the upstream. Its outstanding attempts and its ejection are kept, so that losing
    /// and reopening the connection to the agent does not reset its limits.
    void remove(const vm_name& vm);

    /// Chooses an upstream for an attempt, none of `excluded`; returns nothing if none is usable.
    ///
    /// The candidates are the upstreams that a recent report states to be ready and whose failure
    /// domain is in service; if there are none of these, the ready ones in other domains. Of the
    /// candidates, those are left out that are ejected, that have `max_outstanding` attempts (one
    /// on probation) or that have just refused an attempt for lack of capacity. If more are ejected
    /// than `max_ejected_percent` allows, the surplus is used nevertheless.
    std::optional<vm_name> choose(const std::vector<vm_name>& excluded, boot_time now);

    /// Like `choose`, but only upstreams with a free slot: a hedge that has to queue delays the
    /// requests behind it more than it helps its own request.
    std::optional<vm_name> choose_for_hedge(const std::vector<vm_name>& excluded, boot_time now);

    /// Counts an attempt as outstanding at the upstream.
    void attempt_sent(const vm_name& vm);

    /// Ends an outstanding attempt and updates the upstream and its health by the result. `reason`
    /// is used only if the result is `refused`, `latency_us` only if it is `answered`.
    void attempt_ended(const vm_name& vm, attempt_result result, refusal reason, double latency_us,
                       boot_time now);

    /// Records that an attempt has no result at its deadline, `waited_us` microseconds after it was
    /// sent. The attempt stays outstanding.
    void attempt_timed_out(const vm_name& vm, double waited_us, boot_time now);

    /// Ends an outstanding attempt without regard to its result.
    void attempt_abandoned(const vm_name& vm);

    /// Whether nothing is kept, not even for upstreams that were removed.
    bool empty() const { return upstreams_.empty(); }

    /// Latencies of the answers of all upstreams of the service.
    const latency_statistics& latencies() const { return latencies_; }

    /// Number of attempts sent to `vm` that have no result yet.
    std::uint32_t outstanding(const vm_name& vm) const;

    bool is_ejected(const vm_name& vm, boot_time now) const;

private:
    struct upstream_state {
        upstream_status status;
        boot_time reported_at;
        /// False after `remove`.
        bool registered{true};
        /// Attempts of this entry that have no result yet.
        std::uint32_t outstanding{0};
        /// Those of them that were sent before the last report, which counts them in
        /// `slots_in_use`.
        std::uint32_t outstanding_at_report{0};
        /// No attempt is sent before this time, after a refusal for lack of capacity.
        boot_time backoff_until;
        upstream_health health;
    };

    upstream_state* find(const vm_name& vm);
    const upstream_state* find(const vm_name& vm) const;
    void erase(std::size_t index);
    void erase_if_unused(std::size_t index, boot_time now);
    bool is_ready(const upstream_state& upstream, boot_time now) const;
    void collect_ready(boot_time now);
    std::size_t ejected_limit(std::size_t ready) const;
    void remove_ejected(boot_time now);
    void remove_unavailable(const std::vector<vm_name>& excluded, boot_time now);
    std::optional<vm_name> pick_vm(boot_time now);
    std::size_t pick(boot_time now);
    std::size_t pick_least_reserved();
    std::size_t pick_adaptive(boot_time now);
    double expected_cost(const upstream_state& upstream, boot_time now) const;
    static double slot_load(const upstream_state& upstream);
    std::size_t random_below(std::size_t bound);
    void apply_refusal(upstream_state& upstream, refusal reason, boot_time now);
    void eject_if_outlier(upstream_state& upstream, boot_time now);
    bool may_eject(boot_time now);
    double median_latency_us(boot_time now);

    routing_settings settings_;
    std::mt19937_64 random_;
    std::vector<upstream_state> upstreams_;
    /// Position of each VM in `upstreams_`.
    std::unordered_map<vm_name, std::size_t> index_;
    /// Indices into `upstreams_`; a member only to avoid an allocation in each call.
    std::vector<std::size_t> candidates_;
    latency_statistics latencies_;
    /// Last result of `median_latency_us()`; zero until it is first computed.
    double median_latency_us_{0};
    boot_time median_computed_at_;
};

} // namespace egretstile
