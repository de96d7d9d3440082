#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/routing/answer_times.hpp>
#include <egretstile/core/routing/routing_types.hpp>
#include <egretstile/core/routing/upstream_health.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace egretstile {

/// The upstreams of one service as one entry sees them: reports, own attempts and health; chooses
/// one for each attempt. Not thread-safe; `now` must not go back.
class upstream_pool {
public:
    explicit upstream_pool(const routing_settings& settings);

    void observe(const upstream_view& view, boot_time now);

    /// Stops using the upstream. Its outstanding attempts and its ejection stay known, so that a
    /// connection that is lost and opened again evades no limit.
    void forget(const vm_name& vm);

    /// An upstream that may take an attempt now, none of `excluded`; nothing when there is none.
    ///
    /// Usable are upstreams whose report is fresh and ready, in a failure domain in service; only
    /// when there is none of these, those in other domains. Of them, ejected ones, those with
    /// `max_outstanding` attempts and those that have just refused for lack of capacity get
    /// nothing.
    std::optional<vm_name> choose(const std::vector<vm_name>& excluded, boot_time now);

    /// As `choose`, for a hedge: only upstreams with a free slot. A hedge that queues delays the
    /// requests behind it more than it helps its own.
    std::optional<vm_name> choose_for_hedge(const std::vector<vm_name>& excluded, boot_time now);

    void attempt_sent(const vm_name& vm);

    /// Releases the attempt and takes its result into account.
    void attempt_ended(const vm_name& vm, attempt_result result, refusal reason, double latency_us,
                       boot_time now);

    /// The attempt has no result at its deadline; it stays outstanding.
    void attempt_timed_out(const vm_name& vm, double waited_us, boot_time now);

    /// Releases an attempt whose result is not waited for any more.
    void attempt_abandoned(const vm_name& vm);

    bool empty() const { return upstreams_.empty(); }

    const answer_times& times() const { return times_; }

    std::uint32_t outstanding(const vm_name& vm) const;
    bool is_ejected(const vm_name& vm, boot_time now) const;

private:
    struct upstream_state {
        upstream_view view;
        boot_time reported_at;
        /// Whether the upstream is known now; see `forget`.
        bool listed{true};
        /// Attempts of this entry without a result.
        std::uint32_t outstanding{0};
        /// Of these, sent before the last report and so counted in its `slots_in_use`.
        std::uint32_t outstanding_at_report{0};
        /// After a refusal for lack of capacity nothing is sent until then.
        boot_time backoff_until;
        upstream_health health;
    };

    upstream_state* find(const vm_name& vm);
    const upstream_state* find(const vm_name& vm) const;
    void erase(std::size_t index);
    void purge(std::size_t index, boot_time now);
    bool is_ready(const upstream_state& upstream, boot_time now) const;
    void collect_ready(boot_time now);
    std::size_t ejected_limit(std::size_t ready) const;
    void remove_ejected(boot_time now);
    void remove_busy(const std::vector<vm_name>& excluded, boot_time now);
    std::optional<vm_name> pick_any(boot_time now);
    std::size_t pick(boot_time now);
    std::size_t pick_least_reserved();
    std::size_t pick_adaptive(boot_time now);
    double expected_cost(const upstream_state& upstream, boot_time now) const;
    static double load(const upstream_state& upstream);
    std::size_t draw(std::size_t bound);
    void take_refusal(upstream_state& upstream, refusal reason, boot_time now);
    void eject_if_outlier(upstream_state& upstream, boot_time now);
    bool may_eject(boot_time now);
    double typical_us(boot_time now);

    routing_settings settings_;
    std::mt19937_64 random_;
    std::vector<upstream_state> upstreams_;
    std::unordered_map<vm_name, std::size_t> index_;
    /// Indices into `upstreams_`; kept between calls to save allocations.
    std::vector<std::size_t> candidates_;
    answer_times times_;
    double typical_us_{0};
    boot_time typical_at_;
};

} // namespace egretstile
