#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>
#include <optional>

namespace egretstile {

/// Bounds the log lines about events whose rate others determine: a number of lines in each
/// interval, and the count of those left out with the first line of the next one. Not thread-safe.
class log_limiter {
public:
    /// Number of lines that were left out before this one; nothing when this line is to be left out
    /// too.
    std::optional<std::uint64_t> admit(boot_time now) {
        if (now >= began_at_ + interval) {
            began_at_ = now;
            lines_ = 0;
        }
        if (lines_ >= max_lines) {
            ++left_out_;
            return std::nullopt;
        }
        ++lines_;
        const std::uint64_t left_out = left_out_;
        left_out_ = 0;
        return left_out;
    }

    static constexpr milliseconds interval{10000};
    static constexpr std::uint32_t max_lines = 20;

private:
    boot_time began_at_{};
    std::uint32_t lines_{0};
    std::uint64_t left_out_{0};
};

} // namespace egretstile
