#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

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

struct request_info {
    std::uint64_t id{0};
    std::string service;
    bool idempotent{true};
    boot_time deadline;
};

enum class attempt_result : std::uint8_t {
    answered, ///< A whole answer arrived.
    refused,  ///< The agent confirmed that it did not run.
    failed,   ///< Unknown whether it ran: error of the upstream or lost connection.
    not_sent  ///< The attempt could not be written to the agent's connection.
};

/// Send the request to `vm`.
struct send_attempt {
    std::uint64_t request_id{0};
    std::uint32_t attempt{0};
    vm_name vm;
};

/// Final outcome for the caller; `attempt` names the one whose answer is delivered.
struct finish_request {
    enum class outcome_kind : std::uint8_t { answered, not_run, unknown };
    std::uint64_t request_id{0};
    outcome_kind outcome{outcome_kind::unknown};
    std::uint32_t attempt{0};
    refusal reason{refusal::none};
};

using routing_step = std::variant<send_attempt, finish_request>;

/// Routes the requests of one entry. Makes no calls: the entry carries out the steps. Each request
/// ends with exactly one `finish_request`. Not thread-safe; `now` must not go back.
class request_router {
public:
    explicit request_router(const routing_settings& settings);

    void observe_upstream(const upstream_view& view, boot_time now);
    void forget_upstream(const vm_name& vm);

    std::vector<routing_step> begin(const request_info& request, boot_time now);
    /// Late results of requests that have finished are ignored, but feed the health of the
    /// upstream.
    std::vector<routing_step> attempt_finished(std::uint64_t request_id, std::uint32_t attempt,
                                               attempt_result result, refusal reason,
                                               boot_time now);
    /// Hedges, requests waiting for a free upstream, and deadlines.
    std::vector<routing_step> tick(boot_time now);
    /// When `tick` has something to do next; nothing when no request is open.
    std::optional<boot_time> next_tick() const;
};

} // namespace egretstile
