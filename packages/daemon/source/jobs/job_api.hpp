#pragma once

#include "jobs/job_entry_metrics.hpp"
#include "jobs/job_room.hpp"
#include "jobs/leader_access.hpp"
#include "jobs/operator_view.hpp"

#include <egretstile/infrastructure/caller/caller_protocol.hpp>
#include <egretstile/runtime/http/http_server.hpp>
#include <egretstile/runtime/telemetry/log_limiter.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

namespace egretstile::daemon {

struct job_api_settings {
    /// Time allowed for a request without a deadline header; callers in the deployments wait 3 s.
    milliseconds default_deadline{3000};
    /// Subtracted from each deadline, so that the response reaches the caller in time.
    milliseconds response_margin{150};
    /// Longest time-out of one call to the store.
    milliseconds store_timeout{900};
    /// Time-out of a query to the leader, which answers from memory within a few milliseconds. The
    /// state of a job is read from the store when the leader does not answer.
    milliseconds leader_timeout{250};
    /// Largest value that the store takes, in bytes.
    std::size_t max_value_bytes{std::size_t{1024} * 1024};
};

/// HTTP interface for callers: stores submissions and cancellations of jobs, and answers queries
/// for the states of jobs and the lengths of queues. For the event loop's thread only.
class job_api {
public:
    job_api(event_loop& loop, infrastructure::coordination_store& store,
            const infrastructure::caller_protocol& protocol, operator_view& operators,
            leader_access& leader, job_room& room, job_entry_metrics& metrics,
            const job_api_settings& settings);
    job_api(const job_api&) = delete;
    job_api& operator=(const job_api&) = delete;
    job_api(job_api&&) = delete;
    job_api& operator=(job_api&&) = delete;
    ~job_api() = default;

    /// Refusal of a request with a body of `body_bytes`, which has only been read up to the end of
    /// its header; nothing when the request may be handled.
    std::optional<http_response> check_head(const http_request& head, std::size_t body_bytes);

    /// Answers a request; calls `respond` once, possibly later.
    void handle(http_request&& request, http_server::responder respond);

private:
    /// A submission or cancellation that is being stored.
    struct pending_write {
        job_id id;
        infrastructure::store_transaction transaction;
        boot_time deadline{};
        /// Whether an attempt had no answer, so that it may have taken effect.
        bool may_be_stored{false};
        /// Revision of the configuration under which the key may be written; zero: under any.
        revision_number config_revision{0};
        /// Called instead of the other callbacks when the store holds another configuration; the
        /// key was not written then and will not be.
        std::function<void()> on_config_changed;
        /// Called once the key is in the store; true when it was there before.
        std::function<void(bool)> on_stored;
        http_server::responder respond;
    };

    /// Refusal of a request that no queue accepts; nothing when `queue` is one.
    std::optional<http_response> check_queue(const http_request& request,
                                             const queue_policy* queue) const;
    /// Wraps `respond` so that the call is counted and timed when it is answered.
    http_server::responder with_metrics(job_call call, http_server::responder respond);
    void try_store_directly(const std::shared_ptr<pending_write>& call, milliseconds timeout);
    /// Has the leader write the key. Used after a failed write, because this process may be unable
    /// to reach the store.
    void try_store_via_leader(const std::shared_ptr<pending_write>& call, milliseconds timeout);
    /// Routes a call by the configuration. `deadline` is that of a write.
    void route(const http_request& request, boot_time deadline,
               const http_server::responder& respond);
    /// Stores the job under the condition that the configuration by which it was routed is still
    /// the newest; routes it again otherwise.
    void submit(const queue_policy& queue, const job_id& id, const http_request& request,
                boot_time deadline, http_server::responder respond);
    /// Why the job, whose record has this size, cannot be stored; empty when it can.
    std::string size_problem(const job_spec& job, std::size_t record_bytes) const;
    /// Answers a submission for which the leader has no memory: refuses it unless the job has been
    /// accepted before.
    void refuse_without_room(const job_id& id, http_server::responder respond);
    void show(const job_id& id, http_server::responder respond);
    void show_stored(const job_id& id, http_server::responder respond);
    void show_stored_progress(const job_id& id, bool cancelled, http_server::responder respond);
    void cancel(const job_id& id, boot_time deadline, http_server::responder respond);
    /// Cancels the job if the store contains it. Used when the leader does not know the job or does
    /// not answer.
    void cancel_stored(const job_id& id, boot_time deadline, http_server::responder respond);
    void store_cancellation(const job_id& id, boot_time deadline, http_server::responder respond);
    void show_pending(const queue_policy& queue, http_server::responder respond);
    void try_store(const std::shared_ptr<pending_write>& call);
    void handle_conflict(const std::shared_ptr<pending_write>& call,
                         const infrastructure::store_conflict& conflict);
    void handle_store_failure(const std::shared_ptr<pending_write>& call,
                              infrastructure::store_error error);
    boot_time deadline_of(const http_request& request) const;
    http_response state_response(job_state state) const;

    event_loop& loop_;
    infrastructure::coordination_store& store_;
    const infrastructure::caller_protocol& protocol_;
    operator_view& operators_;
    leader_access& leader_;
    job_room& room_;
    job_entry_metrics& metrics_;
    job_api_settings settings_;
    /// Until this time keys are written through the leader instead of directly to the store.
    boot_time prefer_leader_until_{};
    /// Varies the `Retry-After` header, so that refused callers do not all retry at the same time.
    std::uint32_t refusals_{0};
    /// For lines about requests that no queue accepts, and about malformed jobs.
    mutable log_limiter unknown_queue_log_;
    log_limiter malformed_job_log_;
    log_limiter no_room_log_;
};

} // namespace egretstile::daemon
