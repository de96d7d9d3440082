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

/// Instructs the entry to send the request to `vm`. A VM that refused a request may get it again,
/// so each attempt needs its own id on the wire.
struct send_attempt {
    std::uint64_t request_id{0};
    std::uint32_t attempt{0};
    vm_name vm;
};

/// Instructs the entry to report the final outcome to the caller. `attempt` is the number of the
/// attempt whose answer is delivered; it is set only if the outcome is `answered`.
struct finish_request {
    enum class outcome_kind : std::uint8_t { answered, not_run, unknown };
    std::uint64_t request_id{0};
    outcome_kind outcome{outcome_kind::unknown};
    std::uint32_t attempt{0};
    refusal reason{refusal::none};
};

using routing_step = std::variant<send_attempt, finish_request>;

/// Routes the requests of one entry to upstreams. The router does no input or output itself: it
/// returns steps, and the entry carries them out. Each request ends with exactly one
/// `finish_request`. Not thread-safe; `now` must not decrease from call to call.
///
/// The entry calls `attempt_finished` once for each `send_attempt`, also if the connection to the
/// agent is lost (result `failed`) and if the request has already finished. An attempt that has no
/// result `late_result_timeout` after the deadline of its request is abandoned.
class request_router {
public:
    static constexpr milliseconds late_result_timeout{30000};

    explicit request_router(const routing_settings& settings);

    /// Adds the upstream or updates it with a new report of its agent. An upstream whose service
    /// changed moves to the other service.
    void update_upstream(const upstream_status& status, boot_time now);
    /// Stops routing requests to the upstream; has no effect if it is not known. Results of
    /// attempts that were sent to it are still accepted.
    void remove_upstream(const vm_name& vm);

    /// Starts a request: it is sent, waits for a usable upstream or finishes at once. Precondition:
    /// no other request of this router has the same id; a request whose id is in use is ignored.
    std::vector<routing_step> begin(const request_info& request, boot_time now);
    /// Handles the result of an attempt; `reason` is used only for the results `refused` and
    /// `not_sent`. A late result of a finished request does not change its outcome, but counts for
    /// the health of the upstream. A second result of the same attempt is ignored.
    std::vector<routing_step> attempt_finished(std::uint64_t request_id, std::uint32_t attempt,
                                               attempt_result result, refusal reason,
                                               boot_time now);
    /// Handles everything that is due at `now`: sends hedges, sends waiting requests if an upstream
    /// has become usable, and finishes requests that have reached their deadline.
    std::vector<routing_step> tick(boot_time now);
    /// The next time at which `tick` must be called; empty if no request is open.
    std::optional<boot_time> next_tick() const;

    /// Requests that have not finished.
    std::size_t open_requests() const { return open_count_; }

    /// Requests that are waiting for a usable upstream.
    std::size_t waiting_requests() const;

    /// Number of attempts sent to `vm` that have no result yet.
    std::uint32_t outstanding(const vm_name& vm) const;

    /// Whether `vm` is ejected as an outlier at `now`.
    bool is_ejected(const vm_name& vm, boot_time now) const;

private:
    struct attempt_state {
        vm_name vm;
        boot_time sent_at;
        bool pending{true};
        /// The deadline has passed without a result, and the pool was notified of the time-out.
        bool timed_out{false};
    };

    /// A request. It is kept until all its attempts have results, which may be after it has
    /// finished.
    struct request_state {
        request_info info;
        std::vector<attempt_state> attempts;
        bool finished{false};
        /// At least one of the attempts that have a result may have run.
        bool may_have_run{false};
        refusal last_refusal{refusal::none};
        /// Key of the request in `service_state::waiting`; zero if it is not waiting.
        std::uint64_t waiting_sequence{0};
        std::optional<boot_time> hedge_at;
        /// Time of the request's entry in `timers_`.
        boot_time timer;
    };

    struct service_state {
        explicit service_state(const routing_settings& settings);

        upstream_pool pool;
        retry_budget budget;
        /// Ids of the waiting requests by sequence number, which is the order of arrival.
        std::map<std::uint64_t, std::uint64_t> waiting;
        /// Number of requests in `requests_` that are for this service.
        std::size_t requests{0};
    };

    using steps = std::vector<routing_step>;

    service_state& service_of(const std::string& name);
    void erase_service_if_unused(const std::string& name);
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
    void dispatch_waiting(service_state& service, boot_time now, steps& out);
    void finish(request_state& request, const finish_request& step, steps& out);
    void finish_without_answer(request_state& request, refusal reason, steps& out);
    static void record_result(service_state& service, attempt_state& attempt, attempt_result result,
                              refusal reason, boot_time now);
    void retry_or_finish(request_state& request, service_state& service, bool possibly_ran,
                         boot_time now, steps& out);
    void hedge(request_state& request, service_state& service, boot_time now, steps& out);
    void handle_timer(std::uint64_t id, boot_time now, steps& out);
    void update_timer(request_state& request);
    void erase_if_complete(std::uint64_t id);
    void erase_request(std::uint64_t id);

    routing_settings settings_;
    /// Service of each upstream.
    std::unordered_map<vm_name, std::string> service_names_;
    std::unordered_map<std::string, service_state> services_;
    std::unordered_map<std::uint64_t, request_state> requests_;
    /// The next due time and the id of each request in `requests_`.
    std::set<std::pair<boot_time, std::uint64_t>> timers_;
    std::size_t open_count_{0};
    std::uint64_t next_waiting_sequence_{1};
    /// When `tick` next tries to send the waiting requests. Empty until a request has had to wait.
    std::optional<boot_time> retry_waiting_at_;
};

} // namespace egretstile
