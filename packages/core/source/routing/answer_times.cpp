#include <egretstile/core/routing/answer_times.hpp>

#include <algorithm>
#include <iterator>
#include <vector>

namespace egretstile {

void answer_times::add(double latency_us) {
    if (count_ == window) {
        sum_us_ -= samples_.at(next_);
    } else {
        ++count_;
    }
    samples_.at(next_) = latency_us;
    sum_us_ += latency_us;
    next_ = (next_ + 1) % window;
    if (known() && next_ % recompute_interval == 0) {
        recompute();
    }
}

void answer_times::recompute() {
    std::vector<double> sorted(samples_.begin(),
                               std::next(samples_.begin(), static_cast<std::ptrdiff_t>(count_)));
    const std::size_t rank = count_ * 95 / 100;
    const auto middle = std::next(sorted.begin(), static_cast<std::ptrdiff_t>(rank));
    std::nth_element(sorted.begin(), middle, sorted.end());
    p95_us_ = *middle;
}

} // namespace egretstile
