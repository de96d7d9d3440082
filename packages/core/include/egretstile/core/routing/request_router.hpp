#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/routing/retry_budget.hpp>
#include <egretstile/core/routing/routing_types.hpp>
#include <egretstile/core/routing/upstream_pool.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace egretstile {

struct request_info {
    std::uint64_t id{0};
    std::string service;
    bool idempotent{true};
    boot_time deadline;
};

/// Send the request to `vm`. The same VM may get a request again after a refusal, so the id on the
/// wire must differ for each attempt.
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
///
/// The entry gives back one `attempt_finished` for each `send_attempt`, also when the agent's
/// connection is lost (`failed`) and when the request has finished meanwhile. A result that is
/// still missing `late_result_lifetime` after the deadline is not waited for.
class request_router {
public:
    static constexpr milliseconds late_result_lifetime{30000};

    explicit request_router(const routing_settings& settings);

    void observe_upstream(const upstream_view& view, boot_time now);
    void forget_upstream(const vm_name& vm);

    /// Precondition: no other request of this router has the same id.
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

    /// Requests that have not finished.
    std::size_t open_requests() const { return open_count_; }

    /// Requests that wait for a usable upstream.
    std::size_t waiting_requests() const;

    /// Attempts sent to `vm` whose result has not arrived.
    std::uint32_t outstanding(const vm_name& vm) const;

    /// Whether `vm` is set aside as an outlier.
    bool is_ejected(const vm_name& vm, boot_time now) const;

private:
    struct attempt_state {
        vm_name vm;
        boot_time sent_at;
        bool pending{true};
        /// Counted as a failure of the upstream at the request's deadline.
        bool timed_out{false};
    };

    /// A request until all its attempts have results, which may be after its finish.
    struct request_state {
        request_info info;
        std::vector<attempt_state> attempts;
        bool finished{false};
        /// An attempt may have run.
        bool uncertain{false};
        refusal last_refusal{refusal::none};
        /// Place in the service's waiting list; zero: not waiting.
        std::uint64_t waiting_number{0};
        std::optional<boot_time> hedge_at;
        /// Its entry in `timers_`.
        boot_time timer;
    };

    struct service_state {
        explicit service_state(const routing_settings& settings);

        upstream_pool pool;
        retry_budget budget;
        /// Waiting requests in order of arrival.
        std::map<std::uint64_t, std::uint64_t> waiting;
        /// Entries of `requests_` that name this service.
        std::size_t requests{0};
    };

    using steps = std::vector<routing_step>;

    service_state& service_of(const std::string& name);
    void drop_service_if_unused(const std::string& name);
    static std::uint32_t pending_attempts(const request_state& request);
    bool may_attempt(const request_state& request, boot_time now) const;
    static std::optional<vm_name> choose(const request_state& request, service_state& service,
                                         bool hedge, boot_time now);
    static milliseconds::rep elapsed_us(const attempt_state& attempt, boot_time now);
    std::chrono::nanoseconds hedge_delay(const service_state& service) const;
    void send(request_state& request, service_state& service, const vm_name& vm, boot_time now,
              steps& out);
    bool try_send(request_state& request, service_state& service, boot_time now, steps& out);
    void send_or_wait(request_state& request, service_state& service, boot_time now, steps& out);
    void dispatch(service_state& service, boot_time now, steps& out);
    void finish(request_state& request, const finish_request& step, steps& out);
    void finish_without_answer(request_state& request, refusal reason, steps& out);
    static void feed_pool(service_state& service, attempt_state& attempt, attempt_result result,
                          refusal reason, boot_time now);
    void continue_request(request_state& request, service_state& service, bool ran, boot_time now,
                          steps& out);
    void hedge(request_state& request, service_state& service, boot_time now, steps& out);
    void handle_timer(std::uint64_t id, boot_time now, steps& out);
    void update_timer(request_state& request);
    void drop_if_complete(std::uint64_t id);
    void drop(std::uint64_t id);

    routing_settings settings_;
    /// Service of each known upstream.
    std::unordered_map<vm_name, std::string> service_names_;
    std::unordered_map<std::string, service_state> services_;
    std::unordered_map<std::uint64_t, request_state> requests_;
    std::set<std::pair<boot_time, std::uint64_t>> timers_;
    std::size_t open_count_{0};
    std::uint64_t next_waiting_number_{1};
    /// When waiting requests are tried again; set while there are any.
    std::optional<boot_time> retry_waiting_at_;
};

} // namespace egretstile
