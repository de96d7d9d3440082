#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace egretstile {

/// How requests choose an upstream. `random` and `least_reserved` are baselines.
enum class routing_policy : std::uint8_t { random, least_reserved, adaptive };

inline constexpr std::array<enum_name<routing_policy>, 3> routing_policy_names{
    {{routing_policy::random, "random"},
     {routing_policy::least_reserved, "least_reserved"},
     {routing_policy::adaptive, "adaptive"}}};

struct routing_settings {
    routing_policy policy{routing_policy::adaptive};
    /// Retries and hedges allowed for each 100 requests.
    std::uint32_t retry_percent{10};
    /// Most attempts of one request, the first included.
    std::uint32_t max_attempts{3};
    /// An upstream's report older than this is not used.
    milliseconds report_lifetime{2000};
    /// Requests that one upstream may have from this entry, waiting ones included.
    std::uint32_t max_outstanding{64};
    std::uint64_t seed{1};
    /// Requests of one service that wait for a usable upstream; above it they finish as not_run.
    std::uint32_t max_waiting{1000};
    /// Hedging delay until enough answer times are known.
    milliseconds initial_hedge_delay{100};
    /// Upstreams, drawn at random, that `adaptive` compares for each decision: the one with the
    /// fewest requests of this entry wins, then the one with the least expected latency.
    std::uint32_t adaptive_choices{16};
    /// Most of the ready upstreams of a service that are ejected at the same time, in percent; one
    /// of two or more may always be ejected, but never all.
    std::uint32_t max_ejected_percent{30};
};

/// What an agent last said about its upstream.
struct upstream_view {
    vm_name vm;
    failure_domain_name failure_domain;
    std::string service;
    bool ready{false};
    bool domain_in_service{true};
    std::uint32_t slots{0};
    std::uint32_t slots_in_use{0};
    milliseconds::rep latency_us{0};
};

enum class attempt_result : std::uint8_t {
    answered, ///< A whole answer arrived.
    refused,  ///< The agent confirmed that it did not run.
    failed,   ///< Unknown whether it ran: error of the upstream or lost connection.
    not_sent  ///< The attempt could not be written to the agent's connection.
};

} // namespace egretstile
