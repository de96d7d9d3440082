#pragma once

#include <cstdint>

namespace egretstile {

/// Limits retries and hedges, which are the attempts after the first one of a request, so that they
/// do not multiply the load in an outage. A token bucket: it allows at most `burst` extra attempts
/// plus `percent` extra attempts for each 100 requests. Not thread-safe.
class retry_budget {
public:
    /// Extra attempts that are allowed without a new request in between.
    static constexpr std::uint64_t burst = 10;

    /// If `percent` is zero, no extra attempt is allowed, not even `burst`.
    explicit retry_budget(std::uint32_t percent);

    /// Adds the share of one new request to the budget.
    void add_request();

    /// Takes one extra attempt from the budget; returns false if the budget is used up.
    bool try_spend();

private:
    std::uint64_t percent_;
    /// Remaining budget in hundredths of an attempt.
    std::uint64_t balance_;
};

} // namespace egretstile
