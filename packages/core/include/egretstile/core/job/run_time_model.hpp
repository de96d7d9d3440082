#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace egretstile {

/// Learns for each queue how many times as long as estimated its tasks take: an exponentially
/// weighted mean of the ratio of the time from start to end to the estimate. Not thread-safe.
class run_time_model {
public:
    /// Bounds of a ratio. Tasks that ended early are no reason to expect that others do, and a few
    /// very late ones must not make all jobs of a queue count as too late.
    static constexpr double min_ratio = 1.0;
    static constexpr double max_ratio = 4.0;

    /// Records that a task of the queue has taken `actual` from its start to its end. Does nothing
    /// when `estimate_ms` is zero.
    void observe(const std::string& queue, boot_clock::duration actual, std::uint32_t estimate_ms);

    /// Expected ratio of the time of a task of the queue to its estimate; 1 before the first
    /// observation.
    double ratio(const std::string& queue) const;

private:
    std::map<std::string, double> ratios_;
};

} // namespace egretstile
