#pragma once

#include <chrono>

namespace egretstile::standins {

/// Token bucket. Not thread-safe.
class rate_limit {
public:
    using clock = std::chrono::steady_clock;

    explicit rate_limit(double calls_per_second);

    /// Whether one more call at `now` is within the rate.
    bool take(clock::time_point now);

private:
    double rate_;
    double burst_;
    double tokens_;
    clock::time_point last_;
};

} // namespace egretstile::standins
