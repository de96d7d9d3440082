#pragma once

#include "jobs/job_entry_metrics.hpp"
#include "jobs/leader_access.hpp"
#include "jobs/operator_view.hpp"

#include <egretstile/infrastructure/caller/caller_protocol.hpp>
#include <egretstile/runtime/http/http_server.hpp>

#include <functional>
#include <string>

namespace egretstile::daemon {

struct front_settings {
    /// Deadline of a request that names none; callers of the deployments wait 3 s.
    milliseconds default_deadline{3000};
    /// Kept free of a deadline for the way back to the caller.
    milliseconds answer_margin{150};
    /// One call to the store for a request.
    milliseconds store_timeout{900};
    /// The leader answers from memory within a few milliseconds; then the store is asked.
    milliseconds leader_timeout{250};
};

/// Callers' requests: stores submissions and cancellations, and tells states. For the event loop's
/// thread only.
class job_front {
public:
    job_front(event_loop& loop, infrastructure::coordination_store& store,
              const infrastructure::caller_protocol& protocol, const operator_view& operators,
              leader_access& leader, job_entry_metrics& metrics, const front_settings& settings);
    job_front(const job_front&) = delete;
    job_front& operator=(const job_front&) = delete;
    job_front(job_front&&) = delete;
    job_front& operator=(job_front&&) = delete;
    ~job_front() = default;

    void handle(http_request&& request, http_server::responder respond);

private:
    /// One submission or cancellation on its way to the store.
    struct stored_call {
        job_id id;
        infrastructure::store_transaction transaction;
        boot_time deadline{};
        /// An attempt may have taken effect without an answer.
        bool may_be_stored{false};
        /// Called with whether the key was there before.
        std::function<void(bool)> on_stored;
        http_server::responder respond;
    };

    /// Counts and times the call when it is answered.
    http_server::responder counted(job_call call, http_server::responder respond);
    void try_store_directly(const std::shared_ptr<stored_call>& call, milliseconds timeout);
    /// Lets the leader store the call, when this process does not reach the store.
    void try_store_by_leader(const std::shared_ptr<stored_call>& call, milliseconds timeout);
    void submit(const queue_policy& queue, const job_id& id, const http_request& request,
                http_server::responder respond);
    void show(const job_id& id, http_server::responder respond);
    void show_stored(const job_id& id, http_server::responder respond);
    void show_stored_progress(const job_id& id, bool cancelled, http_server::responder respond);
    void cancel(const job_id& id, const http_request& request, http_server::responder respond);
    /// For a job that the leader does not know.
    void cancel_stored(const job_id& id, boot_time deadline, http_server::responder respond);
    void store_cancellation(const job_id& id, boot_time deadline, http_server::responder respond);
    void show_pending(const queue_policy& queue, http_server::responder respond);
    void try_store(const std::shared_ptr<stored_call>& call);
    void store_failed(const std::shared_ptr<stored_call>& call, infrastructure::store_error error);
    boot_time deadline_of(const http_request& request) const;
    http_response state_response(job_state state) const;

    event_loop& loop_;
    infrastructure::coordination_store& store_;
    const infrastructure::caller_protocol& protocol_;
    const operator_view& operators_;
    leader_access& leader_;
    job_entry_metrics& metrics_;
    front_settings settings_;
    /// Until then the leader is asked to store first.
    boot_time leader_first_until_{};
    /// Spreads the times at which refused callers come back.
    std::uint32_t refusals_{0};
};

} // namespace egretstile::daemon
