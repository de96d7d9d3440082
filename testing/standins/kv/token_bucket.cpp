#include "kv/token_bucket.hpp"

#include <algorithm>

namespace egretstile::standins {

namespace {

// Size of the bucket, in seconds at the full rate. It must allow for the group commits of all
// shards at the same time, but with the calls of a whole second tests would not reach the limit.
constexpr double burst_seconds = 0.25;

} // namespace

token_bucket::token_bucket(double calls_per_second)
    : rate_(calls_per_second)
    , burst_(std::max(1.0, calls_per_second * burst_seconds))
    , tokens_(burst_) {}

bool token_bucket::try_acquire(clock::time_point now) {
    const std::chrono::duration<double> elapsed = now - last_;
    last_ = now;
    tokens_ = std::min(burst_, tokens_ + elapsed.count() * rate_);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace egretstile::standins
