#include <egretstile/core/routing/upstream_pool.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace egretstile {
namespace {

/// A refusal for lack of capacity is true only for the moment: slots free up within an answer time.
constexpr milliseconds capacity_backoff{20};
/// The median over all upstreams costs microseconds; slowness is judged with one of this age.
constexpr milliseconds typical_lifetime{100};
/// With fewer measured upstreams the median says nothing about which of them is the outlier.
constexpr std::size_t minimum_peers = 3;
/// Part of the expected cost that counts as a difference: means of a few answer times of equal
/// upstreams differ by less.
constexpr double significant_saving = 0.25;

} // namespace

upstream_pool::upstream_pool(const routing_settings& settings)
    : settings_(settings)
    , random_(settings.seed) {}

void upstream_pool::observe(const upstream_view& view, boot_time now) {
    const auto [position, added] = index_.try_emplace(view.vm, upstreams_.size());
    if (added) {
        upstreams_.emplace_back();
    }
    upstream_state& upstream = upstreams_.at(position->second);
    upstream.view = view;
    upstream.reported_at = now;
    upstream.listed = true;
    upstream.outstanding_at_report = upstream.outstanding;
}

void upstream_pool::forget(const vm_name& vm) {
    if (upstream_state* const upstream = find(vm)) {
        upstream->listed = false;
        purge(index_.at(vm), upstream->reported_at);
    }
}

std::optional<vm_name> upstream_pool::choose(const std::vector<vm_name>& excluded, boot_time now) {
    collect_ready(now);
    remove_ejected(now);
    remove_busy(excluded, now);
    return pick_any(now);
}

std::optional<vm_name> upstream_pool::choose_for_hedge(const std::vector<vm_name>& excluded,
                                                       boot_time now) {
    collect_ready(now);
    remove_ejected(now);
    remove_busy(excluded, now);
    const auto full = [&](std::size_t index) { return load(upstreams_[index]) >= 1.0; };
    candidates_.erase(std::remove_if(candidates_.begin(), candidates_.end(), full),
                      candidates_.end());
    return pick_any(now);
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
        times_.add(latency_us);
        eject_if_outlier(*upstream, now);
        break;
    case attempt_result::failed:
        upstream->health.add_failure();
        eject_if_outlier(*upstream, now);
        break;
    case attempt_result::refused:
        take_refusal(*upstream, reason, now);
        break;
    case attempt_result::not_sent:
        // The connection is gone; the next report comes over a new one.
        upstream->view.ready = false;
        break;
    }
    attempt_abandoned(vm);
}

void upstream_pool::attempt_timed_out(const vm_name& vm, double waited_us, boot_time now) {
    upstream_state* const upstream = find(vm);
    // A deadline shorter than a usual answer time says nothing about the upstream.
    const bool long_enough = times_.known() ? waited_us > times_.p95_us() : waited_us > 0;
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
    // Results arrive in any order; the older attempts are assumed to end first.
    if (upstream->outstanding_at_report > 0) {
        --upstream->outstanding_at_report;
        upstream->view.slots_in_use -= upstream->view.slots_in_use > 0 ? 1 : 0;
    }
    if (!upstream->listed) {
        purge(index_.at(vm), upstream->reported_at);
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
    index_.erase(upstreams_.at(index).view.vm);
    if (index + 1 != upstreams_.size()) {
        upstreams_.at(index) = std::move(upstreams_.back());
        index_.at(upstreams_.at(index).view.vm) = index;
    }
    upstreams_.pop_back();
}

void upstream_pool::purge(std::size_t index, boot_time now) {
    const upstream_state& upstream = upstreams_.at(index);
    if (!upstream.listed && upstream.outstanding == 0 && !upstream.health.is_ejected(now)) {
        erase(index);
    }
}

bool upstream_pool::is_ready(const upstream_state& upstream, boot_time now) const {
    return upstream.listed && upstream.view.ready &&
           now - upstream.reported_at <= settings_.report_lifetime;
}

void upstream_pool::collect_ready(boot_time now) {
    candidates_.clear();
    bool in_service = false;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        const upstream_state& upstream = upstreams_[i];
        if (!is_ready(upstream, now) || (in_service && !upstream.view.domain_in_service)) {
            continue;
        }
        if (!in_service && upstream.view.domain_in_service) {
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
    const auto middle =
        std::stable_partition(candidates_.begin(), candidates_.end(), [&](std::size_t index) {
            return !upstreams_[index].health.is_ejected(now);
        });
    const auto ejected = static_cast<std::size_t>(std::distance(middle, candidates_.end()));
    const std::size_t limit = ejected_limit(candidates_.size());
    if (ejected > limit) {
        // Others have left since the ejections: those that end first are used again.
        std::sort(middle, candidates_.end(), [&](std::size_t left, std::size_t right) {
            return upstreams_[left].health.ejected_until() <
                   upstreams_[right].health.ejected_until();
        });
    }
    candidates_.resize(candidates_.size() - std::min(ejected, limit));
}

void upstream_pool::remove_busy(const std::vector<vm_name>& excluded, boot_time now) {
    const auto busy = [&](std::size_t index) {
        const upstream_state& upstream = upstreams_[index];
        // On probation one request at a time is risked.
        const std::uint32_t limit =
            upstream.health.is_on_probation() ? 1 : settings_.max_outstanding;
        return upstream.outstanding >= limit || now < upstream.backoff_until ||
               std::find(excluded.begin(), excluded.end(), upstream.view.vm) != excluded.end();
    };
    candidates_.erase(std::remove_if(candidates_.begin(), candidates_.end(), busy),
                      candidates_.end());
}

std::optional<vm_name> upstream_pool::pick_any(boot_time now) {
    if (candidates_.empty()) {
        return std::nullopt;
    }
    return upstreams_.at(pick(now)).view.vm;
}

std::size_t upstream_pool::pick(boot_time now) {
    switch (settings_.policy) {
    case routing_policy::random:
        return candidates_.at(draw(candidates_.size()));
    case routing_policy::least_reserved:
        return pick_least_reserved();
    case routing_policy::adaptive:
        break;
    }
    return pick_adaptive(now);
}

std::size_t upstream_pool::pick_least_reserved() {
    // Starts at a random place, so that ties do not all go to the first upstream.
    const std::size_t offset = draw(candidates_.size());
    std::size_t best = candidates_.at(offset);
    double best_load = load(upstreams_[best]);
    for (std::size_t i = 1; i < candidates_.size(); ++i) {
        const std::size_t index = candidates_[(offset + i) % candidates_.size()];
        const double index_load = load(upstreams_[index]);
        if (index_load < best_load) {
            best = index;
            best_load = index_load;
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
        // Partial shuffle: draws without repetition.
        std::swap(candidates_.at(i), candidates_.at(i + draw(candidates_.size() - i)));
        const upstream_state& upstream = upstreams_[candidates_.at(i)];
        const double cost = expected_cost(upstream, now);
        // The entry's own count is exact; the reported load and latency are up to a heartbeat
        // interval old and the same at all entries, which would then choose alike.
        const bool is_better = upstream.outstanding < best_outstanding ||
                               (upstream.outstanding == best_outstanding &&
                                cost < best_cost * (1.0 - significant_saving));
        if (best == candidates_.size() || is_better) {
            best = i;
            best_outstanding = upstream.outstanding;
            best_cost = cost;
        }
    }
    return candidates_.at(best);
}

double upstream_pool::expected_cost(const upstream_state& upstream, boot_time now) const {
    double reported_us = static_cast<double>(upstream.view.latency_us);
    if (reported_us <= 0) {
        reported_us = times_.mean_us();
    }
    // One microsecond keeps the order by load when no answer time is known.
    double latency_us = std::max(1.0, upstream.health.expected_us(reported_us, now));
    if (upstream.health.is_outdated(now) && times_.known()) {
        // Only a request shows whether it is still slow.
        latency_us = std::min(latency_us, std::max(1.0, times_.mean_us()));
    }
    const double occupancy = load(upstream);
    // Below the number of slots requests run side by side, above it they queue.
    return occupancy < 1.0 ? latency_us * (1.0 + occupancy) : latency_us * 2.0 * occupancy;
}

double upstream_pool::load(const upstream_state& upstream) {
    const std::uint32_t unreported = upstream.outstanding - upstream.outstanding_at_report;
    const std::uint32_t used =
        std::max(upstream.view.slots_in_use + unreported, upstream.outstanding);
    return static_cast<double>(used) / std::max(1.0, static_cast<double>(upstream.view.slots));
}

std::size_t upstream_pool::draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

void upstream_pool::take_refusal(upstream_state& upstream, refusal reason, boot_time now) {
    switch (reason) {
    case refusal::no_capacity:
        upstream.backoff_until = now + capacity_backoff;
        break;
    case refusal::domain_out:
        // The agent knows a newer plan than the reports of the others in its domain.
        for (upstream_state& other : upstreams_) {
            if (other.view.failure_domain == upstream.view.failure_domain) {
                other.view.domain_in_service = false;
            }
        }
        break;
    case refusal::deadline:
    case refusal::duplicate:
        break;
    default:
        upstream.view.ready = false;
        break;
    }
}

void upstream_pool::eject_if_outlier(upstream_state& upstream, boot_time now) {
    if (upstream.health.is_ejected(now)) {
        return;
    }
    if ((upstream.health.is_failing() || upstream.health.is_slow(typical_us(now))) &&
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

double upstream_pool::typical_us(boot_time now) {
    if (typical_us_ > 0 && now - typical_at_ < typical_lifetime) {
        return typical_us_;
    }
    std::vector<double> measured;
    for (const upstream_state& upstream : upstreams_) {
        if (upstream.health.is_measured()) {
            measured.push_back(upstream.health.measured_us());
        }
    }
    if (measured.size() < minimum_peers) {
        // No upstream is slow compared with this.
        return std::numeric_limits<double>::max();
    }
    const auto middle =
        std::next(measured.begin(), static_cast<std::ptrdiff_t>(measured.size() / 2));
    std::nth_element(measured.begin(), middle, measured.end());
    typical_us_ = *middle;
    typical_at_ = now;
    return typical_us_;
}

} // namespace egretstile
