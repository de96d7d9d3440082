#pragma once

#include "load_report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <future>
#include <map>
#include <string>
#include <vector>

namespace egretstile::integration {

/// Result of a check that found no violation. A failed comparison with it prints the violations.
inline const std::vector<std::string> no_violations;

struct call_settings {
    std::vector<std::uint16_t> ports;
    /// Prefix of the labels; must differ between the loads of one test.
    std::string prefix{"call"};
    double rate{100};
    std::uint32_t threads{16};
    std::chrono::seconds duration{5};
    std::uint64_t max_count{100000};
    bool idempotent{true};
    std::chrono::milliseconds deadline{2000};
    std::size_t body_bytes{64};
};

/// Result of one request as its caller observed it.
struct recorded_call {
    /// First word of the body; identifies the request in the upstreams' logs.
    std::string label;
    load::call_result result{load::call_result::unknown};
    /// Whether the caller received a complete HTTP answer.
    bool replied{false};
    int status{0};
};

/// Sends requests to the service `lookup` at an even rate. Returns when each has an answer or has
/// timed out at its caller.
std::vector<recorded_call> make_calls(const call_settings& settings);

/// Does the same in another thread. The calling thread stays free to inject faults: processes must
/// be started in the test's main thread.
std::future<std::vector<recorded_call>> make_calls_async(const call_settings& settings);

std::size_t count_result(const std::vector<recorded_call>& calls, load::call_result result);

std::size_t count_without_reply(const std::vector<recorded_call>& calls);

/// Number of calls with each result, for the messages of failed checks.
std::string summary(const std::vector<recorded_call>& calls);

/// Labels of calls with the outcome `not-run` that an upstream started nevertheless. `start_counts`
/// has the number of starts by label.
std::vector<std::string>
not_run_but_started(const std::vector<recorded_call>& calls,
                    const std::map<std::string, std::size_t>& start_counts);

/// Labels of calls that the upstreams started more than once.
std::vector<std::string> started_again(const std::vector<recorded_call>& calls,
                                       const std::map<std::string, std::size_t>& start_counts);

} // namespace egretstile::integration
