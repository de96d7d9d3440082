#pragma once

#include <chrono>

namespace egretstile::standins {

/// Rate limiter. Not thread-safe.
class token_bucket {
public:
    using clock = std::chrono::steady_clock;

    explicit token_bucket(double calls_per_second);

    /// Takes a token for a call at `now`. Returns false when there is none.
    bool try_acquire(clock::time_point now);

private:
    double rate_;
    double burst_;
    double tokens_;
    clock::time_point last_;
};

} // namespace egretstile::standins
