#include "kv/rate_limit.hpp"

#include <algorithm>

namespace egretstile::standins {

namespace {

// Group commits of all shards may arrive together; a second's worth would hide the limit in tests.
constexpr double burst_seconds = 0.25;

} // namespace

rate_limit::rate_limit(double calls_per_second)
    : rate_(calls_per_second)
    , burst_(std::max(1.0, calls_per_second * burst_seconds))
    , tokens_(burst_) {}

bool rate_limit::take(clock::time_point now) {
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    tokens_ = std::min(burst_, tokens_ + passed.count() * rate_);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace egretstile::standins
