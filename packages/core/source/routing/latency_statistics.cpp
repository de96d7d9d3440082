#include <egretstile/core/routing/latency_statistics.hpp>

#include <algorithm>
#include <iterator>
#include <vector>

namespace egretstile {

void latency_statistics::add(double latency_us) {
    if (count_ == window) {
        sum_us_ -= samples_us_.at(next_index_);
    } else {
        ++count_;
    }
    samples_us_.at(next_index_) = latency_us;
    sum_us_ += latency_us;
    next_index_ = (next_index_ + 1) % window;
    if (has_p95() && next_index_ % recompute_interval == 0) {
        recompute();
    }
}

void latency_statistics::recompute() {
    std::vector<double> sorted(samples_us_.begin(),
                               std::next(samples_us_.begin(), static_cast<std::ptrdiff_t>(count_)));
    const std::size_t rank = count_ * 95 / 100;
    const auto middle = std::next(sorted.begin(), static_cast<std::ptrdiff_t>(rank));
    std::nth_element(sorted.begin(), middle, sorted.end());
    p95_us_ = *middle;
}

} // namespace egretstile
