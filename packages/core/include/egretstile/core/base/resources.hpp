#pragma once

#include <cstdint>

namespace egretstile {

/// Amounts of what a VM has or a task needs. Each amount is at least zero.
struct resources {
    std::int64_t cpu_millicores{0};
    std::int64_t memory_mb{0};
    std::int64_t accelerators{0};

    friend bool operator==(const resources&, const resources&) = default;
};

/// Sum of both. Thread-safe; the amounts must not overflow.
constexpr resources operator+(const resources& left, const resources& right) {
    return {left.cpu_millicores + right.cpu_millicores, left.memory_mb + right.memory_mb,
            left.accelerators + right.accelerators};
}

/// Difference of both; amounts may become negative. Thread-safe.
constexpr resources operator-(const resources& left, const resources& right) {
    return {left.cpu_millicores - right.cpu_millicores, left.memory_mb - right.memory_mb,
            left.accelerators - right.accelerators};
}

/// Whether `need` is at most `available` in every amount. Thread-safe.
constexpr bool fits(const resources& need, const resources& available) {
    return need.cpu_millicores <= available.cpu_millicores &&
           need.memory_mb <= available.memory_mb && need.accelerators <= available.accelerators;
}

} // namespace egretstile
