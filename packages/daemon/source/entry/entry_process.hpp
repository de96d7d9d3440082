#pragma once

#include "entry/entry_metrics.hpp"
#include "entry/fleet.hpp"
#include "entry/member_directory.hpp"
#include "entry/peer_links.hpp"
#include "entry/plan_client.hpp"
#include "entry/plan_submitter.hpp"
#include "entry/request_service.hpp"
#include "entry/scheduler.hpp"
#include "entry/session.hpp"
#include "entry/task_service.hpp"
#include "net/frame_server.hpp"
#include "net/http_service.hpp"
#include "settings/entry_settings.hpp"
#include "telemetry/tracer.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/interference/interference_model.hpp>
#include <egretstile/infrastructure/key_value/http_key_value_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace egretstile::daemon {

class caller_api;
class operator_api;

/// The entry process: owns its components and connects them.
class entry_process {
public:
    /// Binds all ports. Throws Poco::Exception when one cannot be bound.
    explicit entry_process(entry_settings settings);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    entry_process(entry_process&&) = delete;
    entry_process& operator=(entry_process&&) = delete;
    ~entry_process();

    /// Runs the event loop. Returns when a stop started by `request_stop` is complete.
    void run();

    /// Starts a planned stop: `/readyz` fails, open requests are finished and shards are released.
    /// Then, or after `stop_timeout` even if some are left, the session is closed. Thread-safe.
    void request_stop();

    event_loop& loop() { return loop_; }

    const entry_settings& settings() const { return settings_; }

    tracer& traces() { return tracer_; }

    entry_metrics& counters() { return metrics_; }

    /// The accessors from here to `id` are for the event loop's thread only. The exception is
    /// `plans().change`, which must be called on another thread.
    request_service& requests() { return requests_; }

    task_service& tasks() { return tasks_; }

    const fleet& vm_fleet() const { return fleet_; }

    plan_client& plans() { return plans_; }

    scheduler& task_scheduler() { return scheduler_; }

    const member_directory& directory() const { return directory_; }

    const entry_id& id() const { return session_.id(); }

    /// Whether load balancers should send callers here: the session is open, a plan is confirmed
    /// and no stop is in progress. Thread-safe.
    bool is_ready() const { return ready_; }

    /// Submit, query or cancel a task: in this process when it owns the task's shard or no other
    /// entry should, otherwise by a call to the entry that should own the shard. `done` is called
    /// exactly once. For the event loop's thread only.
    void submit_task(const task_spec& spec, boot_time deadline,
                     const task_service::answer_callback& done);
    void query_task(const task_key& key, boot_time deadline,
                    const task_service::answer_callback& done);
    void cancel_task(const task_key& key, boot_time deadline,
                     const task_service::answer_callback& done);

private:
    void start_timers();
    void write_ports_file() const;
    frame_connection::handlers peer_handlers();
    void handle_message(frame_connection& connection, wire::message&& message);
    void handle_heartbeat(frame_connection& connection, const wire::heartbeat& heartbeat);
    /// Reports the runs that have ended to the scheduler, each only with the reply that
    /// acknowledges its end, so that it counts once although the agent repeats its report.
    void record_ended_runs(const wire::heartbeat& heartbeat, const wire::heartbeat_reply& reply,
                           boot_time now);
    void handle_forwarded_call(frame_connection& connection, const wire::message& message);
    void connection_closed(const frame_connection& connection);
    void members_changed();
    void session_opened(const entry_id& id, boot_time sent_at);
    void update_ready();
    void update_metrics();
    void begin_stop();
    void continue_stop();
    void finish_stop();
    /// The other entry that should own the key's shard; empty when that is this entry, or when no
    /// live entry is known.
    entry_id remote_owner(const task_key& key) const;

    entry_settings settings_;
    event_loop loop_;
    tracer tracer_;
    entry_metrics metrics_;
    infrastructure::http_key_value_store store_;
    fleet fleet_;
    member_directory directory_;
    plan_client plans_;
    session session_;
    task_service tasks_;
    request_service requests_;
    peer_links peers_;
    scheduler scheduler_;
    plan_submitter plan_submitter_;
    frame_server peer_server_;
    std::unique_ptr<caller_api> caller_api_;
    std::unique_ptr<operator_api> operator_api_;
    std::unique_ptr<http_service> callers_;
    std::unique_ptr<http_service> operators_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> stop_requested_{false};
    bool stopping_{false};
    boot_time stop_deadline_{};
    boot_time stop_accepting_at_{};
};

} // namespace egretstile::daemon
