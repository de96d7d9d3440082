#pragma once

#include <cstdint>

namespace egretstile {

/// Resources that a VM provides or that a task requires. Each amount is at least zero, except in a
/// difference.
struct resources {
    std::int64_t cpu_millicores{0};
    std::int64_t memory_mb{0};
    std::int64_t accelerators{0};

    friend bool operator==(const resources&, const resources&) = default;
};

/// Adds the amounts. The sums must not overflow. Thread-safe.
constexpr resources operator+(const resources& left, const resources& right) {
    return {left.cpu_millicores + right.cpu_millicores, left.memory_mb + right.memory_mb,
            left.accelerators + right.accelerators};
}

/// Subtracts the amounts. The differences may be negative. Thread-safe.
constexpr resources operator-(const resources& left, const resources& right) {
    return {left.cpu_millicores - right.cpu_millicores, left.memory_mb - right.memory_mb,
            left.accelerators - right.accelerators};
}

/// Whether no amount of `need` exceeds that of `available`. Thread-safe.
constexpr bool fits(const resources& need, const resources& available) {
    return need.cpu_millicores <= available.cpu_millicores &&
           need.memory_mb <= available.memory_mb && need.accelerators <= available.accelerators;
}

} // namespace egretstile
