#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace egretstile::load {

/// Result of one call as its caller observes it.
enum class call_result : std::uint8_t {
    answered,
    not_run,
    unknown, ///< The outcome is `unknown`, or there was no complete answer.
    wrong    ///< The answer does not belong to this request, or its outcome is not a known one.
};

/// Counts and latencies of calls. Thread-safe.
class load_report {
public:
    /// `latency` is measured from the time at which the call was due. Otherwise a stall of the
    /// system would not be visible in the latencies of the calls that it delayed.
    void add(call_result result, std::chrono::microseconds latency);

    /// Adds the final state of a task, or the last one that was read.
    void add_state(const std::string& state);

    std::uint64_t count(call_result result) const;

    /// Latency in microseconds that the given share (0 to 1) of the answered calls does not exceed;
    /// zero when there are none.
    std::int64_t percentile_us(double share) const;

    /// Number of tasks in each state that was added.
    std::map<std::string, std::uint64_t> states() const;

    std::string to_json() const;

private:
    mutable std::mutex mutex_;
    std::map<call_result, std::uint64_t> counts_;
    std::map<std::string, std::uint64_t> states_;
    std::vector<std::int64_t> latencies_us_;
};

} // namespace egretstile::load
