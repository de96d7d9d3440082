#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>

namespace egretstile {

/// Answer times and failures of one upstream, and whether it is ejected (set aside) as an outlier.
/// The pool decides whether an ejection is allowed. Not thread-safe; `now` must not go back.
class upstream_health {
public:
    static constexpr milliseconds first_ejection{1000};
    static constexpr milliseconds longest_ejection{30000};

    void add_success(double latency_us, boot_time now);
    void add_failure();

    /// Whether recent failures call for an ejection. After an ejection one failure is enough until
    /// a few answers have arrived.
    bool is_failing() const;

    /// Whether answers take several times as long as `typical_us`, the median of the peers.
    bool is_slow(double typical_us) const;

    /// Sets the upstream aside; each ejection is twice as long as the one before, up to
    /// `longest_ejection`, until the upstream has answered reliably again.
    void eject(boot_time now);

    bool is_ejected(boot_time now) const { return now < ejected_until_; }

    boot_time ejected_until() const { return ejected_until_; }

    /// Whether the upstream returned from an ejection and has not answered reliably yet.
    bool is_on_probation() const { return probation_answers_ > 0; }

    /// Whether enough answers have arrived for `measured_us` to be compared with others.
    bool is_measured() const;

    /// Whether the last answer is so old that the upstream may have changed since.
    bool is_outdated(boot_time now) const;

    /// Moving average of the answer time in microseconds.
    double measured_us() const { return latency_us_; }

    /// Expected answer time: the own measurement, which loses weight with its age to
    /// `reported_us`. A slow upstream that gets no requests would otherwise stay slow for ever.
    double expected_us(double reported_us, boot_time now) const;

private:
    double latency_us_{0};
    std::uint32_t answers_{0};
    boot_time last_answer_;
    std::uint32_t consecutive_failures_{0};
    /// Moving average of failures, 0 to 1.
    double failure_share_{0};
    std::uint32_t results_{0};
    std::uint32_t ejections_{0};
    std::uint32_t probation_answers_{0};
    boot_time ejected_until_;
};

} // namespace egretstile
