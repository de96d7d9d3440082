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

/// What a check finds when a guarantee held; comparing with it shows what was found instead.
inline const std::vector<std::string> none;

struct call_settings {
    std::vector<std::uint16_t> ports;
    /// Prefix of the labels; must differ between loads of one test.
    std::string prefix{"call"};
    double rate{100};
    std::uint32_t threads{16};
    std::chrono::seconds duration{5};
    std::uint64_t max_count{100000};
    bool idempotent{true};
    std::chrono::milliseconds deadline{2000};
    std::size_t body_bytes{64};
};

/// One request as its caller saw it.
struct recorded_call {
    /// First word of the body, by which the upstreams' logs name the request.
    std::string label;
    load::call_fate fate{load::call_fate::unknown};
    /// Whether there was a whole HTTP answer.
    bool replied{false};
    int status{0};
};

/// Sends requests to `lookup` at an even rate; returns when each has ended for its caller.
std::vector<recorded_call> make_calls(const call_settings& settings);

/// The same beside the calling thread, which alone may start processes.
std::future<std::vector<recorded_call>> make_calls_beside(const call_settings& settings);

std::size_t count_fate(const std::vector<recorded_call>& calls, load::call_fate fate);

std::size_t count_without_reply(const std::vector<recorded_call>& calls);

/// Counts of the fates, for messages of failed checks.
std::string summary(const std::vector<recorded_call>& calls);

/// Labels of calls that were told `not-run` although an upstream began them; correct: none.
std::vector<std::string> not_run_but_begun(const std::vector<recorded_call>& calls,
                                           const std::map<std::string, std::size_t>& begun);

/// Labels that the upstreams began more than once.
std::vector<std::string> begun_again(const std::vector<recorded_call>& calls,
                                     const std::map<std::string, std::size_t>& begun);

} // namespace egretstile::integration
