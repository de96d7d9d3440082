#pragma once

#include <array>
#include <cstddef>

namespace egretstile {

/// The 95th percentile of the most recent answer times of a service. Not thread-safe.
class answer_times {
public:
    /// Adds one answer time in microseconds.
    void add(double latency_us);

    /// Whether enough answers have arrived for `p95_us` to mean something.
    bool known() const { return count_ >= minimum_count; }

    /// In microseconds; recomputed every few answers. Zero until `known`.
    double p95_us() const { return p95_us_; }

    /// Mean of the recent answer times in microseconds; zero before the first answer.
    double mean_us() const { return count_ == 0 ? 0 : sum_us_ / static_cast<double>(count_); }

private:
    static constexpr std::size_t window = 256;
    static constexpr std::size_t minimum_count = 32;
    static constexpr std::size_t recompute_interval = 16;

    void recompute();

    std::array<double, window> samples_{};
    std::size_t count_{0};
    std::size_t next_{0};
    double sum_us_{0};
    double p95_us_{0};
};

} // namespace egretstile
