#pragma once

#include <array>
#include <cstddef>

namespace egretstile {

/// The 95th percentile and the mean of the last `window` answer latencies of a service. Not
/// thread-safe.
class latency_statistics {
public:
    /// Adds the latency of one answer, in microseconds.
    void add(double latency_us);

    /// Whether at least `min_samples` latencies were added, so that `p95_us` is significant.
    bool has_p95() const { return count_ >= min_samples; }

    /// 95th percentile in microseconds, updated every `recompute_interval` answers. Zero while
    /// `has_p95` is false.
    double p95_us() const { return p95_us_; }

    /// Mean latency in microseconds; zero before the first answer.
    double mean_us() const { return count_ == 0 ? 0 : sum_us_ / static_cast<double>(count_); }

private:
    static constexpr std::size_t window = 256;
    static constexpr std::size_t min_samples = 32;
    static constexpr std::size_t recompute_interval = 16;

    void recompute();

    std::array<double, window> samples_us_{};
    std::size_t count_{0};
    std::size_t next_index_{0};
    double sum_us_{0};
    double p95_us_{0};
};

} // namespace egretstile
