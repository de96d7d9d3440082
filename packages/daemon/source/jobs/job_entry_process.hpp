#pragma once

#include "jobs/job_api.hpp"
#include "jobs/job_entry_metrics.hpp"
#include "jobs/job_leader.hpp"
#include "jobs/job_room.hpp"
#include "jobs/leader_access.hpp"
#include "jobs/leader_election.hpp"
#include "jobs/leader_link.hpp"
#include "jobs/operator_state_exchange.hpp"
#include "jobs/operator_view.hpp"
#include "jobs/state_page.hpp"
#include "net/frame_server.hpp"
#include "net/http_limits.hpp"
#include "net/operations_server.hpp"
#include "settings/job_settings.hpp"

#include <egretstile/runtime/http/http_server.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/runtime/platform_access.hpp>
#include <egretstile/runtime/telemetry/bounded_output.hpp>

#include <map>
#include <memory>
#include <string>

namespace egretstile::daemon {

/// An entry: serves callers' requests, takes part in the leader election and runs the scheduler
/// while it is the leader. `request_stop` is thread-safe; everything else is for one thread.
class job_entry_process {
public:
    /// `platform` and `log_output` must outlive this object.
    job_entry_process(job_entry_settings settings, const platform_access& platform,
                      const bounded_output& log_output);
    job_entry_process(const job_entry_process&) = delete;
    job_entry_process& operator=(const job_entry_process&) = delete;
    job_entry_process(job_entry_process&&) = delete;
    job_entry_process& operator=(job_entry_process&&) = delete;
    ~job_entry_process() = default;

    /// Runs the event loop until the shutdown that `request_stop` begins is complete.
    void run();
    /// Resigns from the leadership and lets requests in progress finish, within the stop time-out.
    void request_stop();

    /// Calls `function` at this interval during `run`. Precondition: `run` has not been called.
    void call_every(milliseconds interval, std::function<void()> function) {
        loop_.call_every(interval, std::move(function));
    }

private:
    struct entry_ping {
        std::uint64_t config_version{0};
        boot_time received_at{};
        std::size_t job_memory_limit{0};
    };

    void handle_control_change();
    void handle_operator_change();
    /// Applies the operators' limits to the callers' address.
    void apply_request_limits();
    void handle_closed_domains_confirmed();
    void start_peer_server();
    void start_leading(const leadership& acquired);
    void stop_leading();
    void handle_peer_opened(frame_connection& connection, const wire::hello& hello);
    void handle_peer_closed(frame_connection& connection);
    void handle_peer_message(frame_connection& connection, wire::message&& message);
    /// At the leader: another process has read in the store that it no longer leads.
    void handle_leadership_ended(const frame_connection& connection,
                                 const wire::leadership_ended& ended);
    /// At the leader.
    void answer_ping(frame_connection& connection, const wire::leader_ping& ping);
    /// At an entry that follows the leader.
    void handle_leader_message(const wire::message& message);
    bool send_to_agent(const vm_name& name, const wire::message& message);
    void answer_readiness(const http_request& request, const http_server::responder& respond) const;
    job_entry_state current_state() const;
    deployment_state deployment() const;
    std::uint64_t config_version() const;
    std::optional<operations_page> find_page(const std::string& path);
    operations_page job_page(const job_id& id) const;
    /// Memory that each entry that takes part has for jobs when it leads, in bytes.
    std::size_t common_job_memory() const;
    void begin_stop();
    void continue_stop();

    endpoint peer_address() const { return {settings_.common.host, settings_.common.first_port}; }

    wire::hello own_hello() const;

    job_api_settings api_settings() const;

    job_entry_settings settings_;
    const platform_access& platform_;
    const bounded_output& log_output_;
    job_entry_metrics metrics_;
    http_limits http_limits_;
    event_loop loop_;
    std::unique_ptr<infrastructure::coordination_store> store_;
    /// Newest connection of each VM's agent.
    std::map<vm_name, std::weak_ptr<frame_connection>> agents_;
    /// Last ping of each entry that has sent one to this process as the leader.
    std::map<std::string, entry_ping> entry_pings_;
    std::unique_ptr<frame_server> peer_server_;
    leader_link link_;
    leader_access leader_access_;
    std::unique_ptr<job_leader> leader_;
    operator_view operators_;
    operator_state_exchange operator_exchange_;
    control_view control_;
    leader_election election_;
    job_room job_room_;
    job_api job_api_;
    http_server caller_server_;
    http_server readiness_server_;
    /// Null when the settings have no metrics port.
    std::unique_ptr<http_server> operations_server_;
    bool stopping_{false};
    boot_time stop_deadline_{};
    boot_time stop_not_before_{};
};

} // namespace egretstile::daemon
