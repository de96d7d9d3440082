#include <egretstile/core/routing/upstream_health.hpp>

#include <algorithm>
#include <chrono>

namespace egretstile {
namespace {

constexpr double latency_weight = 0.2;
constexpr double failure_weight = 0.1;
constexpr std::uint32_t failures_in_a_row = 5;
constexpr double failure_share_limit = 0.5;
constexpr std::uint32_t minimum_results = 10;
constexpr std::uint32_t minimum_answers = 10;
constexpr double slow_factor = 4.0;
/// Below this an upstream is never slow: at tens of microseconds a scheduling delay is a multiple.
constexpr double slow_floor_us = 5000;
constexpr std::uint32_t probation_length = 5;
/// Answers after an ejection that bring the next ejection back to its first length.
constexpr std::uint32_t reliable_answers = 50;
/// A doubling above this would exceed `longest_ejection` anyway; bounds the shift.
constexpr std::uint32_t most_doublings = 5;
/// Age at which the own measurement and the reported one weigh the same.
constexpr std::chrono::duration<double> half_weight_age{1.0};

/// One request in this time finds out whether a slow upstream still is; slow spells last seconds.
constexpr milliseconds measurement_lifetime{2000};

} // namespace

void upstream_health::add_success(double latency_us, boot_time now) {
    latency_us_ =
        answers_ == 0 ? latency_us : latency_us_ + latency_weight * (latency_us - latency_us_);
    ++answers_;
    ++results_;
    last_answer_ = now;
    consecutive_failures_ = 0;
    failure_share_ -= failure_weight * failure_share_;
    if (probation_answers_ > 0 && !is_ejected(now)) {
        --probation_answers_;
    }
    if (answers_ >= reliable_answers) {
        ejections_ = 0;
    }
}

void upstream_health::add_failure() {
    ++results_;
    ++consecutive_failures_;
    failure_share_ += failure_weight * (1.0 - failure_share_);
}

bool upstream_health::is_failing() const {
    if (probation_answers_ > 0) {
        return consecutive_failures_ > 0;
    }
    return consecutive_failures_ >= failures_in_a_row ||
           (results_ >= minimum_results && failure_share_ > failure_share_limit);
}

bool upstream_health::is_slow(double typical_us) const {
    return is_measured() && latency_us_ > slow_floor_us && latency_us_ > slow_factor * typical_us;
}

void upstream_health::eject(boot_time now) {
    const milliseconds length =
        std::min(longest_ejection, first_ejection * (1U << std::min(ejections_, most_doublings)));
    ejected_until_ = now + length;
    ++ejections_;
    probation_answers_ = probation_length;
    consecutive_failures_ = 0;
    failure_share_ = 0;
    results_ = 0;
    answers_ = 0;
}

bool upstream_health::is_measured() const {
    return answers_ >= minimum_answers;
}

bool upstream_health::is_outdated(boot_time now) const {
    return answers_ > 0 && now - last_answer_ > measurement_lifetime;
}

double upstream_health::expected_us(double reported_us, boot_time now) const {
    if (answers_ == 0) {
        return reported_us;
    }
    if (reported_us <= 0) {
        return latency_us_;
    }
    const std::chrono::duration<double> age = now - last_answer_;
    const double weight = half_weight_age / (half_weight_age + age);
    return weight * latency_us_ + (1.0 - weight) * reported_us;
}

} // namespace egretstile
