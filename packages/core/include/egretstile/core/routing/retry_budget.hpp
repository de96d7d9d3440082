#pragma once

#include <cstdint>

namespace egretstile {

/// Bounds the attempts beyond the first of each request, so that an outage does not multiply the
/// load: at most `burst` plus `percent` for each 100 requests. Not thread-safe.
class retry_budget {
public:
    /// Extra attempts that may follow each other without new requests in between.
    static constexpr std::uint64_t burst = 10;

    /// A `percent` of zero allows no extra attempt, also not the burst.
    explicit retry_budget(std::uint32_t percent);

    /// Counts one new request.
    void add_request();

    /// Takes one extra attempt from the budget; false when it is used up.
    bool try_spend();

private:
    std::uint64_t percent_;
    /// In hundredths of an attempt.
    std::uint64_t balance_;
};

} // namespace egretstile
