#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace egretstile::load {

/// Fate of one call as the caller sees it.
enum class call_fate : std::uint8_t {
    answered,
    not_run,
    unknown, ///< The entry said so, or there was no whole answer.
    wrong    ///< The answer is not the one to this request, or has no known outcome.
};

/// Counts and latencies of calls. Thread-safe.
class load_report {
public:
    /// `latency` counts from when the call was due, so that a stalled system cannot hide its
    /// stalls by delaying later calls.
    void add(call_fate fate, std::chrono::microseconds latency);

    /// Final or last seen state of a task.
    void add_state(const std::string& state);

    std::uint64_t count(call_fate fate) const;

    /// Latency in microseconds of answered calls that `share` of them (0 to 1) do not exceed.
    std::int64_t percentile_us(double share) const;

    /// Number of tasks in each state that was added.
    std::map<std::string, std::uint64_t> states() const;

    std::string to_json() const;

private:
    mutable std::mutex mutex_;
    std::map<call_fate, std::uint64_t> counts_;
    std::map<std::string, std::uint64_t> states_;
    std::vector<std::int64_t> latencies_us_;
};

} // namespace egretstile::load
