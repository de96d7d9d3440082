#include <egretstile/core/routing/upstream_pool.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace egretstile {
namespace {

/// No attempt is sent for this time after a refusal for lack of capacity. It is short because a
/// slot becomes free as soon as a request is answered.
constexpr milliseconds capacity_backoff{20};
/// Maximum age of the cached median latency. Computing it over all upstreams takes microseconds, so
/// it is not repeated for each answer.
constexpr milliseconds median_lifetime{100};
/// With fewer measured upstreams the median does not show which of them is the outlier.
constexpr std::size_t min_peers = 3;
/// Smallest relative difference of the expected cost that decides between two upstreams. The
/// averages of a few latencies of equally fast upstreams differ by less.
constexpr double significant_difference = 0.25;

} // namespace

upstream_pool::upstream_pool(const routing_settings& settings)
    : settings_(settings)
    , random_(settings.seed) {}

void upstream_pool::update(const upstream_status& status, boot_time now) {
    const auto [position, added] = index_.try_emplace(status.vm, upstreams_.size());
    if (added) {
        upstreams_.emplace_back();
    }
    upstream_state& upstream = upstreams_.at(position->second);
    upstream.status = status;
    upstream.reported_at = now;
    upstream.registered = true;
    upstream.outstanding_at_report = upstream.outstanding;
}

void upstream_pool::remove(const vm_name& vm) {
    if (upstream_state* const upstream = find(vm)) {
        upstream->registered = false;
        erase_if_unused(index_.at(vm), upstream->reported_at);
    }
}

std::optional<vm_name> upstream_pool::choose(const std::vector<vm_name>& excluded, boot_time now) {
    collect_ready(now);
    remove_ejected(now);
    remove_unavailable(excluded, now);
    return pick_vm(now);
}

std::optional<vm_name> upstream_pool::choose_for_hedge(const std::vector<vm_name>& excluded,
                                                       boot_time now) {
    collect_ready(now);
    remove_ejected(now);
    remove_unavailable(excluded, now);
    const auto has_no_free_slot = [&](std::size_t index) {
        return slot_load(upstreams_[index]) >= 1.0;
    };
    candidates_.erase(std::remove_if(candidates_.begin(), candidates_.end(), has_no_free_slot),
                      candidates_.end());
    return pick_vm(now);
}

void upstream_pool::attempt_sent(const vm_name& vm) {
    if (upstream_state* const upstream = find(vm)) {
        ++upstream->outstanding;
    }
}

void upstream_pool::attempt_ended(const vm_name& vm, attempt_result result, refusal reason,
                                  double latency_us, boot_time now) {
    upstream_state* const upstream = find(vm);
    if (upstream == nullptr) {
        return;
    }
    switch (result) {
    case attempt_result::answered:
        upstream->health.add_success(latency_us, now);
        latencies_.add(latency_us);
        eject_if_outlier(*upstream, now);
        break;
    case attempt_result::failed:
        upstream->health.add_failure();
        eject_if_outlier(*upstream, now);
        break;
    case attempt_result::refused:
        apply_refusal(*upstream, reason, now);
        break;
    case attempt_result::not_sent:
        // The connection is lost. A report over a new connection makes the upstream ready again.
        upstream->status.ready = false;
        break;
    }
    attempt_abandoned(vm);
}

void upstream_pool::attempt_timed_out(const vm_name& vm, double waited_us, boot_time now) {
    upstream_state* const upstream = find(vm);
    // A time-out after less than a usual latency is no evidence of a fault of the upstream.
    const bool long_enough = latencies_.has_p95() ? waited_us > latencies_.p95_us() : waited_us > 0;
    if (upstream != nullptr && long_enough) {
        upstream->health.add_failure();
        eject_if_outlier(*upstream, now);
    }
}

void upstream_pool::attempt_abandoned(const vm_name& vm) {
    upstream_state* const upstream = find(vm);
    if (upstream == nullptr || upstream->outstanding == 0) {
        return;
    }
    --upstream->outstanding;
    // Results arrive in any order. The estimate assumes that the oldest attempts end first.
    if (upstream->outstanding_at_report > 0) {
        --upstream->outstanding_at_report;
        upstream->status.slots_in_use -= upstream->status.slots_in_use > 0 ? 1 : 0;
    }
    if (!upstream->registered) {
        erase_if_unused(index_.at(vm), upstream->reported_at);
    }
}

std::uint32_t upstream_pool::outstanding(const vm_name& vm) const {
    const upstream_state* const upstream = find(vm);
    return upstream == nullptr ? 0 : upstream->outstanding;
}

bool upstream_pool::is_ejected(const vm_name& vm, boot_time now) const {
    const upstream_state* const upstream = find(vm);
    return upstream != nullptr && upstream->health.is_ejected(now);
}

upstream_pool::upstream_state* upstream_pool::find(const vm_name& vm) {
    const auto position = index_.find(vm);
    return position == index_.end() ? nullptr : &upstreams_.at(position->second);
}

const upstream_pool::upstream_state* upstream_pool::find(const vm_name& vm) const {
    const auto position = index_.find(vm);
    return position == index_.end() ? nullptr : &upstreams_.at(position->second);
}

void upstream_pool::erase(std::size_t index) {
    index_.erase(upstreams_.at(index).status.vm);
    if (index + 1 != upstreams_.size()) {
        upstreams_.at(index) = std::move(upstreams_.back());
        index_.at(upstreams_.at(index).status.vm) = index;
    }
    upstreams_.pop_back();
}

void upstream_pool::erase_if_unused(std::size_t index, boot_time now) {
    const upstream_state& upstream = upstreams_.at(index);
    if (!upstream.registered && upstream.outstanding == 0 && !upstream.health.is_ejected(now)) {
        erase(index);
    }
}

bool upstream_pool::is_ready(const upstream_state& upstream, boot_time now) const {
    return upstream.registered && upstream.status.ready &&
           now - upstream.reported_at <= settings_.report_lifetime;
}

void upstream_pool::collect_ready(boot_time now) {
    candidates_.clear();
    bool in_service = false;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        const upstream_state& upstream = upstreams_[i];
        if (!is_ready(upstream, now) || (in_service && !upstream.status.domain_in_service)) {
            continue;
        }
        if (!in_service && upstream.status.domain_in_service) {
            candidates_.clear();
            in_service = true;
        }
        candidates_.push_back(i);
    }
}

std::size_t upstream_pool::ejected_limit(std::size_t ready) const {
    if (ready < 2) {
        return 0;
    }
    const std::size_t share = ready * settings_.max_ejected_percent / 100;
    return std::clamp<std::size_t>(share, 1, ready - 1);
}

void upstream_pool::remove_ejected(boot_time now) {
    const auto ejected_begin =
        std::stable_partition(candidates_.begin(), candidates_.end(), [&](std::size_t index) {
            return !upstreams_[index].health.is_ejected(now);
        });
    const auto ejected = static_cast<std::size_t>(std::distance(ejected_begin, candidates_.end()));
    const std::size_t limit = ejected_limit(candidates_.size());
    if (ejected > limit) {
        // Other upstreams have left since the ejections were allowed. Those upstreams whose
        // ejection ends first are used again.
        std::sort(ejected_begin, candidates_.end(), [&](std::size_t left, std::size_t right) {
            return upstreams_[left].health.ejected_until() <
                   upstreams_[right].health.ejected_until();
        });
    }
    candidates_.resize(candidates_.size() - std::min(ejected, limit));
}

void upstream_pool::remove_unavailable(const std::vector<vm_name>& excluded, boot_time now) {
    const auto is_unavailable = [&](std::size_t index) {
        const upstream_state& upstream = upstreams_[index];
        // On probation an upstream gets only one request at a time.
        const std::uint32_t limit =
            upstream.health.is_on_probation() ? 1 : settings_.max_outstanding;
        return upstream.outstanding >= limit || now < upstream.backoff_until ||
               std::find(excluded.begin(), excluded.end(), upstream.status.vm) != excluded.end();
    };
    candidates_.erase(std::remove_if(candidates_.begin(), candidates_.end(), is_unavailable),
                      candidates_.end());
}

std::optional<vm_name> upstream_pool::pick_vm(boot_time now) {
    if (candidates_.empty()) {
        return std::nullopt;
    }
    return upstreams_.at(pick(now)).status.vm;
}

std::size_t upstream_pool::pick(boot_time now) {
    switch (settings_.policy) {
    case routing_policy::random:
        return candidates_.at(random_below(candidates_.size()));
    case routing_policy::least_reserved:
        return pick_least_reserved();
    case routing_policy::adaptive:
        break;
    }
    return pick_adaptive(now);
}

std::size_t upstream_pool::pick_least_reserved() {
    // Starts at a random index, so that the first upstream does not win all ties.
    const std::size_t offset = random_below(candidates_.size());
    std::size_t best = candidates_.at(offset);
    double best_load = slot_load(upstreams_[best]);
    for (std::size_t i = 1; i < candidates_.size(); ++i) {
        const std::size_t index = candidates_[(offset + i) % candidates_.size()];
        const double candidate_load = slot_load(upstreams_[index]);
        if (candidate_load < best_load) {
            best = index;
            best_load = candidate_load;
        }
    }
    return best;
}

std::size_t upstream_pool::pick_adaptive(boot_time now) {
    const std::size_t choices =
        std::clamp<std::size_t>(settings_.adaptive_choices, 1, candidates_.size());
    std::size_t best = candidates_.size();
    std::uint32_t best_outstanding = 0;
    double best_cost = 0;
    for (std::size_t i = 0; i < choices; ++i) {
        // One step of a Fisher-Yates shuffle, which draws without replacement.
        std::swap(candidates_.at(i), candidates_.at(i + random_below(candidates_.size() - i)));
        const upstream_state& upstream = upstreams_[candidates_.at(i)];
        const double cost = expected_cost(upstream, now);
        // The entry's own count of outstanding attempts is exact. The reported load and latency are
        // up to one heartbeat interval old and equal at all entries, so that all entries would
        // choose the same upstream.
        const bool is_better = upstream.outstanding < best_outstanding ||
                               (upstream.outstanding == best_outstanding &&
                                cost < best_cost * (1.0 - significant_difference));
        if (best == candidates_.size() || is_better) {
            best = i;
            best_outstanding = upstream.outstanding;
            best_cost = cost;
        }
    }
    return candidates_.at(best);
}

double upstream_pool::expected_cost(const upstream_state& upstream, boot_time now) const {
    double reported_us = static_cast<double>(upstream.status.latency_us);
    if (reported_us <= 0) {
        reported_us = latencies_.mean_us();
    }
    // The minimum of one microsecond keeps the order by load if no latency is known.
    double latency_us = std::max(1.0, upstream.health.expected_us(reported_us, now));
    if (upstream.health.is_latency_outdated(now) && latencies_.has_p95()) {
        // Limited to the mean of the service, so that the upstream gets a request that shows
        // whether it is still slow.
        latency_us = std::min(latency_us, std::max(1.0, latencies_.mean_us()));
    }
    const double occupancy = slot_load(upstream);
    // While slots are free, requests run concurrently; above that they queue.
    return occupancy < 1.0 ? latency_us * (1.0 + occupancy) : latency_us * 2.0 * occupancy;
}

double upstream_pool::slot_load(const upstream_state& upstream) {
    const std::uint32_t unreported = upstream.outstanding - upstream.outstanding_at_report;
    const std::uint32_t used =
        std::max(upstream.status.slots_in_use + unreported, upstream.outstanding);
    return static_cast<double>(used) / std::max(1.0, static_cast<double>(upstream.status.slots));
}

std::size_t upstream_pool::random_below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

void upstream_pool::apply_refusal(upstream_state& upstream, refusal reason, boot_time now) {
    switch (reason) {
    case refusal::no_capacity:
        upstream.backoff_until = now + capacity_backoff;
        break;
    case refusal::domain_out:
        // The agent has a newer plan than the one behind the reports of the other upstreams in its
        // domain, so the refusal counts for all of them.
        for (upstream_state& other : upstreams_) {
            if (other.status.failure_domain == upstream.status.failure_domain) {
                other.status.domain_in_service = false;
            }
        }
        break;
    case refusal::deadline:
    case refusal::duplicate:
        break;
    default:
        upstream.status.ready = false;
        break;
    }
}

void upstream_pool::eject_if_outlier(upstream_state& upstream, boot_time now) {
    if (upstream.health.is_ejected(now)) {
        return;
    }
    if ((upstream.health.is_failing() || upstream.health.is_slow(median_latency_us(now))) &&
        may_eject(now)) {
        upstream.health.eject(now);
    }
}

bool upstream_pool::may_eject(boot_time now) {
    std::size_t ready = 0;
    std::size_t ejected = 0;
    for (const upstream_state& upstream : upstreams_) {
        if (is_ready(upstream, now)) {
            ++ready;
            ejected += upstream.health.is_ejected(now) ? 1 : 0;
        }
    }
    return ejected < ejected_limit(ready);
}

double upstream_pool::median_latency_us(boot_time now) {
    if (median_latency_us_ > 0 && now - median_computed_at_ < median_lifetime) {
        return median_latency_us_;
    }
    std::vector<double> averages_us;
    for (const upstream_state& upstream : upstreams_) {
        if (upstream.health.has_enough_samples()) {
            averages_us.push_back(upstream.health.average_latency_us());
        }
    }
    if (averages_us.size() < min_peers) {
        // Compared with this value, no upstream is slow.
        return std::numeric_limits<double>::max();
    }
    const auto middle =
        std::next(averages_us.begin(), static_cast<std::ptrdiff_t>(averages_us.size() / 2));
    std::nth_element(averages_us.begin(), middle, averages_us.end());
    median_latency_us_ = *middle;
    median_computed_at_ = now;
    return median_latency_us_;
}

} // namespace egretstile
