#include <egretstile/core/routing/upstream_health.hpp>

#include <algorithm>
#include <chrono>

namespace egretstile {
namespace {

/// Weight of a new latency in the moving average.
constexpr double latency_weight = 0.2;
/// Weight of a new result in the moving share of failures.
constexpr double failure_weight = 0.1;
constexpr std::uint32_t consecutive_failure_limit = 5;
constexpr double failure_share_limit = 0.5;
/// Results that are needed before the share of failures is judged.
constexpr std::uint32_t min_results = 10;
/// Answers that are needed before the average latency is judged.
constexpr std::uint32_t min_answers = 10;
/// Multiple of the median latency of the peers above which an upstream is slow.
constexpr double slow_factor = 4.0;
/// An upstream is not slow below this latency: if answers take tens of microseconds, a single
/// scheduling delay is already several times the median.
constexpr double min_slow_latency_us = 5000;
/// Answers after an ejection that end the probation.
constexpr std::uint32_t probation_answer_count = 5;
/// Answers after an ejection that reset the next one to `initial_ejection_time`.
constexpr std::uint32_t reliable_answer_count = 50;
/// Bounds the shift. 2^5 times `initial_ejection_time` already exceeds `max_ejection_time`.
constexpr std::uint32_t max_doublings = 5;
/// Age at which the entry's own average and the reported latency have the same weight.
constexpr std::chrono::duration<double> half_weight_age{1.0};

/// A slow upstream gets a request after this time, to measure whether it is still slow. Upstreams
/// typically stay slow for seconds.
constexpr milliseconds measurement_lifetime{2000};

} // namespace

void upstream_health::add_success(double latency_us, boot_time now) {
    // An outdated average says nothing about the present, so the new measurement replaces it.
    average_latency_us_ =
        answer_count_ == 0 || is_latency_outdated(now)
            ? latency_us
            : average_latency_us_ + latency_weight * (latency_us - average_latency_us_);
    ++answer_count_;
    ++result_count_;
    last_answer_ = now;
    consecutive_failures_ = 0;
    failure_share_ -= failure_weight * failure_share_;
    if (probation_answers_left_ > 0 && !is_ejected(now)) {
        --probation_answers_left_;
    }
    if (answer_count_ >= reliable_answer_count) {
        ejections_ = 0;
    }
}

void upstream_health::add_failure() {
    ++result_count_;
    ++consecutive_failures_;
    failure_share_ += failure_weight * (1.0 - failure_share_);
}

bool upstream_health::is_failing() const {
    if (probation_answers_left_ > 0) {
        return consecutive_failures_ > 0;
    }
    return consecutive_failures_ >= consecutive_failure_limit ||
           (result_count_ >= min_results && failure_share_ > failure_share_limit);
}

bool upstream_health::is_slow(double peer_median_us) const {
    return has_enough_samples() && average_latency_us_ > min_slow_latency_us &&
           average_latency_us_ > slow_factor * peer_median_us;
}

void upstream_health::eject(boot_time now) {
    const milliseconds length = std::min(
        max_ejection_time, initial_ejection_time * (1U << std::min(ejections_, max_doublings)));
    ejected_until_ = now + length;
    ++ejections_;
    probation_answers_left_ = probation_answer_count;
    consecutive_failures_ = 0;
    failure_share_ = 0;
    result_count_ = 0;
    answer_count_ = 0;
}

bool upstream_health::has_enough_samples() const {
    return answer_count_ >= min_answers;
}

bool upstream_health::is_latency_outdated(boot_time now) const {
    return answer_count_ > 0 && now - last_answer_ > measurement_lifetime;
}

double upstream_health::expected_us(double reported_us, boot_time now) const {
    if (answer_count_ == 0) {
        return reported_us;
    }
    if (reported_us <= 0) {
        return average_latency_us_;
    }
    const std::chrono::duration<double> age = now - last_answer_;
    const double weight = half_weight_age / (half_weight_age + age);
    return weight * average_latency_us_ + (1.0 - weight) * reported_us;
}

} // namespace egretstile
