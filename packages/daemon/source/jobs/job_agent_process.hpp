#pragma once

#include "jobs/control_view.hpp"
#include "jobs/job_agent_metrics.hpp"
#include "jobs/leader_link.hpp"
#include "jobs/registered_runner.hpp"
#include "net/http_limits.hpp"
#include "settings/job_settings.hpp"

#include <egretstile/core/interference/latency_guard.hpp>
#include <egretstile/core/job/run_tracker.hpp>
#include <egretstile/runtime/http/http_server.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/runtime/platform_access.hpp>
#include <egretstile/runtime/telemetry/bounded_output.hpp>

#include <memory>
#include <set>
#include <string>

namespace egretstile::daemon {

/// The agent beside the task runner of a VM: accepts the runner's registration, carries out the
/// leader's orders and reports the runs to the leader. `request_stop` is thread-safe; everything
/// else is for one thread.
class job_agent_process {
public:
    /// `platform` and `log_output` must outlive this object.
    job_agent_process(job_agent_settings settings, const platform_access& platform,
                      const bounded_output& log_output);
    job_agent_process(const job_agent_process&) = delete;
    job_agent_process& operator=(const job_agent_process&) = delete;
    job_agent_process(job_agent_process&&) = delete;
    job_agent_process& operator=(job_agent_process&&) = delete;
    ~job_agent_process() = default;

    /// Runs the event loop until `request_stop` is called.
    void run();
    void request_stop();

    /// Calls `function` at this interval during `run`. Precondition: `run` has not been called.
    void call_every(milliseconds interval, std::function<void()> function) {
        loop_.call_every(interval, std::move(function));
    }

private:
    void handle_registration_request(const http_request& request,
                                     const http_server::responder& respond);
    void handle_heartbeat(const infrastructure::runner_heartbeat& heartbeat);
    void apply_orders(const vm_orders& orders);
    void run_pending_actions();
    void send_starts();
    void send_start(const start_order& order);
    void handle_start_answer(const task_attempt& run,
                             const std::variant<infrastructure::runner_confirmation,
                                                infrastructure::runner_refusal>& answer);
    void send_stops();
    void renew();
    /// Calls the runner without extending its lease, to learn which instance answers.
    void check_claim();
    /// Reads the runner's lists; `in_flight` is set until there is an answer.
    void read_lists(const infrastructure::lease_renewal& renewal,
                    bool job_agent_process::*in_flight);
    /// `instance` is the one that was registered when the lists were requested, `fence` the one of
    /// that call.
    void handle_lists(infrastructure::runner_lists&& lists, const std::string& instance,
                      const runner_fence& fence);
    /// Records that the registered runner has carried out a call with this fence.
    void confirm_fence(const runner_fence& fence);
    /// Time until all tasks of the runner have certainly ended if it gets no other lease.
    milliseconds lapses_in() const;
    /// Takes the runner that `registered_runner_` has newly registered.
    void take_registered_runner();
    void handle_renewal_failure(infrastructure::runner_refusal refusal);
    /// Reports that the registered runner has ended. Precondition: `evidence` is not `none`.
    void mark_runner_gone(runner_end_evidence evidence);
    std::vector<guarded_run> guarded_runs() const;
    void guard_latency();
    void send_report();

    template <typename Result>
    void count_call(runner_call call,
                    const std::variant<Result, infrastructure::runner_refusal>& answer) {
        if (const infrastructure::runner_refusal* const refusal =
                std::get_if<infrastructure::runner_refusal>(&answer)) {
            metrics_.count_refused(call, *refusal);
        } else {
            metrics_.count_done(call);
        }
    }

    void schedule_report();
    job_agent_state current_state() const;

    job_agent_settings settings_;
    const bounded_output& log_output_;
    job_agent_metrics metrics_;
    http_limits http_limits_;
    event_loop loop_;
    const platform_access& platform_;
    std::unique_ptr<infrastructure::coordination_store> store_;
    std::unique_ptr<infrastructure::task_runner> runner_;
    run_tracker tracker_;
    latency_guard guard_;
    /// Runs with a change of speed that the runner has not answered yet.
    std::set<task_attempt> changing_speed_;
    /// Whether the next report carries all pressures that `guard_` has estimated: the connection to
    /// the leader is new, so the leader may not have them.
    bool send_pressures_{false};
    leader_link link_;
    control_view control_;
    http_server registration_server_;
    /// Null when the settings have no metrics port.
    std::unique_ptr<http_server> operations_server_;
    registered_runner registered_runner_;
    bool renewing_{false};
    boot_time renewed_at_{};
    bool checking_claim_{false};
    boot_time claim_checked_at_{};
    /// Numbers of the last call for the runner's lists, and of the latest one that was answered.
    std::uint64_t list_calls_{0};
    std::uint64_t answered_list_call_{0};
    /// Number of the last call that had been sent when one failed.
    std::uint64_t calls_before_failure_{0};
    bool report_scheduled_{false};
    boot_time reported_at_{};
};

} // namespace egretstile::daemon
