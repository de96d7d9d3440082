#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>

namespace egretstile {

/// Latencies and failures of one upstream, and whether it is ejected, that is, gets no requests for
/// some time because it is an outlier. The pool decides whether an ejection is allowed. Not
/// thread-safe; `now` must not decrease from call to call.
class upstream_health {
public:
    static constexpr milliseconds initial_ejection_time{1000};
    static constexpr milliseconds max_ejection_time{30000};

    void add_success(double latency_us, boot_time now);
    void add_failure();

    /// Whether there are enough recent failures for an ejection. On probation a single failure is
    /// enough.
    bool is_failing() const;

    /// Whether the average latency is several times as high as `peer_median_us`, the median of the
    /// average latencies of the service's upstreams, in microseconds.
    bool is_slow(double peer_median_us) const;

    /// Ejects the upstream. Each ejection is twice as long as the previous one, up to
    /// `max_ejection_time`; after enough answers it starts again at `initial_ejection_time`.
    void eject(boot_time now);

    bool is_ejected(boot_time now) const { return now < ejected_until_; }

    boot_time ejected_until() const { return ejected_until_; }

    /// Whether too few answers have arrived since the last ejection to trust the upstream fully.
    bool is_on_probation() const { return probation_answers_left_ > 0; }

    /// Whether enough answers have arrived to compare `average_latency_us` with other upstreams.
    bool has_enough_samples() const;

    /// Whether the last answer is so old that the latency of the upstream may have changed since.
    bool is_latency_outdated(boot_time now) const;

    /// Moving average of the latency in microseconds; zero before the first answer.
    double average_latency_us() const { return average_latency_us_; }

    /// Expected latency in microseconds: a weighted mean of this entry's own average and of
    /// `reported_us`, the latency that the agent reports. The own average loses weight with its
    /// age: an upstream that was slow and gets no requests would otherwise count as slow for ever.
    /// While there is no answer since the last ejection, the result is `reported_us`; otherwise, if
    /// `reported_us` is not positive, it is the own average.
    double expected_us(double reported_us, boot_time now) const;

private:
    double average_latency_us_{0};
    /// Answers since the last ejection.
    std::uint32_t answer_count_{0};
    boot_time last_answer_;
    std::uint32_t consecutive_failures_{0};
    /// Moving average of the share of failures, 0 to 1.
    double failure_share_{0};
    /// Answers and failures since the last ejection.
    std::uint32_t result_count_{0};
    /// Ejections without a longer run of answers in between; determines the next ejection time.
    std::uint32_t ejections_{0};
    /// Answers that are still needed to end the probation; zero if not on probation.
    std::uint32_t probation_answers_left_{0};
    boot_time ejected_until_;
};

} // namespace egretstile
