#pragma once

#include "agent/entry_links.hpp"
#include "agent/upstream_client.hpp"
#include "agent/upstream_monitor.hpp"
#include "agent/worker_caller.hpp"
#include "net/http_service.hpp"
#include "settings/agent_settings.hpp"
#include "telemetry/tracer.hpp"

#include <egretstile/core/admission/admission_controller.hpp>
#include <egretstile/core/admission/request_limiter.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/infrastructure/worker/http_worker.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace egretstile::daemon {

/// The agent of one VM: runs beside the VM's upstream and worker and decides which requests and
/// tasks are admitted. Private methods run on the event loop's thread, except
/// `handle_announcement`.
class agent_process {
public:
    /// Binds the port for announcements. Throws Poco::Exception when it cannot be bound.
    explicit agent_process(agent_settings settings);

    /// Runs the event loop. Returns when a stop requested by `request_stop` is complete.
    void run();

    /// Starts a planned stop: nothing more is admitted, and requests in progress are finished until
    /// the stop timeout. Running tasks stay on the worker and are taken over by the next agent.
    /// Thread-safe.
    void request_stop();

private:
    /// A request that waits for a slot of the upstream or is being processed by it.
    struct open_request {
        std::weak_ptr<frame_connection> connection;
        wire::serve_request message;
        boot_time deadline;
        std::unique_ptr<span> trace_span;
    };

    void start_timers();
    void write_ports_file() const;
    http_answer handle_announcement(const http_request& request);

    void handle_message(frame_connection& connection, wire::message&& message);
    void handle_heartbeat_reply(const frame_connection& connection,
                                const wire::heartbeat_reply& reply);
    void handle_start(frame_connection& connection, const wire::start_task& message);
    void send_start_reply(const task_run& run, call_result result);
    void handle_request(frame_connection& connection, wire::serve_request&& message);
    void handle_cancel(const frame_connection& connection, const wire::cancel_request& message);

    void send_heartbeats();
    wire::heartbeat make_heartbeat(boot_time now) const;
    void advance();

    void detect_pause(boot_time now);
    wire::upstream_state advertised_state(boot_time now) const;
    void update_limiter(boot_time now);
    void apply_outcomes(const std::vector<waiting_outcome>& outcomes);
    void call_upstream(const request_id& id);
    void handle_upstream_answer(const request_id& id, const upstream_answer& answer);
    void send_reply(const request_id& id, const wire::serve_reply& reply);
    void refuse_request(const request_id& id, refusal reason);
    void finish_stop_if_ready();

    agent_settings settings_;
    incarnation_number incarnation_;
    event_loop loop_;
    tracer tracer_;
    infrastructure::http_worker worker_;
    admission_controller admission_;
    request_limiter limiter_;
    upstream_monitor upstream_;
    std::map<request_id, open_request> open_requests_;
    std::map<task_run, std::weak_ptr<frame_connection>> waiting_starts_;
    worker_caller worker_caller_;
    upstream_client upstream_client_;
    entry_links links_;
    http_service announcements_;
    std::atomic<bool> stop_requested_{false};
    bool stopping_{false};
    boot_time stop_deadline_{};
    boot_time earliest_stop_{};
    /// Last time at which the event loop was observed to run.
    boot_time last_active_{};
    /// Until this time the upstream is reported as leaving, see `detect_pause`.
    boot_time confirm_until_{};
};

} // namespace egretstile::daemon
