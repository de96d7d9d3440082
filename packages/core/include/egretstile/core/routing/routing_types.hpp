#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace egretstile {

/// How an upstream is chosen for a request. `least_reserved` takes the one with the smallest share
/// of used slots; `adaptive` is described at `routing_settings::adaptive_choices`. `random` and
/// `least_reserved` exist as baselines for comparison.
enum class routing_policy : std::uint8_t { random, least_reserved, adaptive };

inline constexpr std::array<enum_name<routing_policy>, 3> routing_policy_names{
    {{routing_policy::random, "random"},
     {routing_policy::least_reserved, "least_reserved"},
     {routing_policy::adaptive, "adaptive"}}};

struct routing_settings {
    routing_policy policy{routing_policy::adaptive};
    /// Retries and hedges allowed for each 100 requests; see `retry_budget`.
    std::uint32_t retry_percent{10};
    /// Maximum attempts of one request, including the first.
    std::uint32_t max_attempts{3};
    /// An upstream whose last report is older than this is not used.
    milliseconds report_lifetime{2000};
    /// Maximum attempts of this entry without a result at one upstream, including those queued
    /// there.
    std::uint32_t max_outstanding{64};
    std::uint64_t seed{1};
    /// Maximum requests of one service that wait for a usable upstream; further ones finish as
    /// `not_run`.
    std::uint32_t max_waiting{1000};
    /// Delay before a hedge while the service has too few answers for a 95th percentile.
    milliseconds initial_hedge_delay{100};
    /// Number of upstreams, drawn at random, that `adaptive` compares for each decision. It chooses
    /// the one with the fewest outstanding attempts of this entry and, among equals, the one with
    /// the lowest expected latency.
    std::uint32_t adaptive_choices{16};
    /// Maximum share, in percent, of the ready upstreams of a service that are ejected at the same
    /// time. Of two or more, one may always be ejected, but never all.
    std::uint32_t max_ejected_percent{30};
};

/// State of an upstream as its agent last reported it.
struct upstream_status {
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
    answered, ///< A complete answer arrived.
    refused,  ///< The agent refused the attempt without running it.
    failed,   ///< It may have run: the upstream failed or the connection was lost.
    not_sent  ///< The attempt could not be written to the connection to the agent.
};

} // namespace egretstile
