#include "jobs/job_agent_process.hpp"

#include "jobs/metered_store.hpp"
#include "net/operations_server.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

namespace {

using namespace infrastructure;

/// Long, because a watch ends as soon as the leader changes, and the connection shows when the
/// leader is silent.
constexpr milliseconds control_watch_wait{10000};
/// Longer than `report_interval`, because the leader answers each report.
constexpr milliseconds leader_silence_limit{1500};
constexpr milliseconds report_interval{500};
/// Runs that end within this time of each other are reported together.
constexpr milliseconds report_delay{5};
/// The runner answers a renewal when a run ends, or after this time. The next renewal then comes
/// well before the lease of 3 s ends.
constexpr milliseconds renewal_wait{400};
/// Shortest time between two renewals while ended runs wait for their acknowledgement.
constexpr milliseconds unacknowledged_renewal_delay{25};
constexpr milliseconds pending_action_interval{30};
/// A claim about the runner that is not decided yet is checked again after this time.
constexpr milliseconds claim_check_interval{100};
/// Interval at which the control keys are read again while the agent is not connected to a leader.
constexpr milliseconds control_refresh_interval{400};

run_tracker_settings tracker_settings(const job_agent_settings& settings) {
    run_tracker_settings limits;
    limits.longest_runner_lease = settings.runner_lease_limit;
    return limits;
}

std::string fields_of(const task_attempt& run) {
    return "job=" + run.task.job + " task=" + to_string(run.task) +
           " attempt=" + std::to_string(run.attempt);
}

} // namespace

job_agent_process::job_agent_process(job_agent_settings settings, const platform_access& platform,
                                     const bounded_output& log_output)
    : settings_(std::move(settings))
    , log_output_(log_output)
    , http_limits_(metrics_.registry(), settings_.common.memory_mb, settings_.common.max_fds)
    , platform_(platform)
    , store_(std::make_unique<metered_store>(platform_.make_store(loop_, settings_.common.store),
                                             metrics_.registry()))
    , runner_(platform_.make_runner(loop_, settings_.runner))
    , tracker_(tracker_settings(settings_), boot_now())
    , link_(loop_,
            {wire::peer_role::agent, settings_.common.vm,
             static_cast<incarnation_number>(boot_now().time_since_epoch().count())},
            leader_silence_limit,
            {[this](wire::message&& message) {
                 if (const vm_orders* const orders = std::get_if<vm_orders>(&message)) {
                     apply_orders(*orders);
                 } else if (std::holds_alternative<wire::not_leading>(message) ||
                            std::holds_alternative<wire::verify_leader>(message)) {
                     control_.refresh_if_due();
                 }
             },
             [this] {
                 send_pressures_ = true;
                 send_report();
             }})
    , control_(loop_, *store_, control_watch_wait,
               [this] { link_.follow(control_.leader(), control_.peer_key()); })
    , registration_server_(
          loop_, settings_.registration, http_limits_.limits_for(http_address::registration),
          [this](http_request&& request, const http_server::responder& respond) {
              handle_registration_request(request, respond);
          },
          {}, http_limits_.observer_for(http_address::registration))
    , operations_server_(
          serve_operations(loop_, settings_.common, http_limits_,
                           [this](const std::string& path) -> std::optional<operations_page> {
                               if (path != metrics_path) {
                                   return std::nullopt;
                               }
                               metrics_.set_state(current_state());
                               http_limits_.update_gauges();
                               return operations_page{200, metrics_.registry().text()};
                           })) {}

void job_agent_process::run() {
    control_.start();
    loop_.call_every(pending_action_interval, [this] { run_pending_actions(); });
    loop_.call_every(control_refresh_interval, [this] {
        if (!link_.is_open() && control_.is_connected()) {
            control_.refresh();
        }
    });
    write_log(log_part::process, log_level::info, "Agent started.",
              "vm=" + settings_.common.vm + " domain=" + settings_.common.failure_domain);
    loop_.run();
    write_log(log_part::process, log_level::info, "Agent stopped.", "vm=" + settings_.common.vm);
}

void job_agent_process::request_stop() {
    // The agent has no state to save, and the runner continues under its lease.
    loop_.stop();
}

void job_agent_process::handle_registration_request(const http_request& request,
                                                    const http_server::responder& respond) {
    const std::variant<runner_heartbeat, runner_deregistration, malformed_call> call =
        platform_.registrations().decode(request.method, request.path, request.body);
    http_response response;
    response.headers["Content-Type"] = "application/json";
    response.body = "{}";
    if (const malformed_call* const malformed = std::get_if<malformed_call>(&call)) {
        write_log(log_part::worker, log_level::warning, "Ignored a call of the runner.",
                  "reason=\"" + malformed->reason + "\" path=" + request.path +
                      " bytes=" + std::to_string(request.body.size()) +
                      " registered=" + registered_runner_.id());
        response.status = 400;
    } else if (const runner_deregistration* const departure =
                   std::get_if<runner_deregistration>(&call)) {
        const bool applies = registered_runner_.apply_departure(*departure);
        write_log(log_part::worker, log_level::info,
                  applies ? "The runner announced that it is shutting down."
                          : "Ignored a deregistration of another runner.",
                  "runner=" + departure->runner_id +
                      " born_ms=" + std::to_string(departure->instance_start_ms) +
                      " registered=" + tracker_.registration().instance +
                      " bytes=" + std::to_string(request.body.size()));
        if (applies) {
            check_claim();
        }
    } else {
        handle_heartbeat(std::get<runner_heartbeat>(call));
    }
    respond(std::move(response));
}

void job_agent_process::handle_heartbeat(const runner_heartbeat& heartbeat) {
    switch (registered_runner_.apply(heartbeat)) {
    case heartbeat_verdict::stale:
        return;
    case heartbeat_verdict::unconfirmed:
        write_log(log_part::worker, log_level::info,
                  "A runner that has not answered a call sent a heartbeat.",
                  "runner=" + heartbeat.registration.instance +
                      " registered=" + tracker_.registration().instance);
        check_claim();
        return;
    case heartbeat_verdict::refreshed:
        tracker_.apply_registration(heartbeat.registration);
        break;
    }
    renew();
    if (tracker_.take_urgent_change()) {
        schedule_report();
    }
}

void job_agent_process::take_registered_runner() {
    const runner_heartbeat& heartbeat = registered_runner_.heartbeat();
    write_log(log_part::worker, log_level::info, "A runner registered.",
              "runner=" + heartbeat.runner_id +
                  " born_ms=" + std::to_string(heartbeat.instance_start_ms) + " service=" +
                  heartbeat.registration.service + " former=" + tracker_.registration().instance);
    tracker_.apply_registration(heartbeat.registration);
}

void job_agent_process::apply_orders(const vm_orders& orders) {
    if (!tracker_.apply_orders(orders, boot_now())) {
        return;
    }
    for (const image_pressure& pressure : orders.pressures) {
        guard_.merge_pressure(pressure);
    }
    run_pending_actions();
}

void job_agent_process::run_pending_actions() {
    send_starts();
    send_stops();
    renew();
    if (registered_runner_.has_open_claim() &&
        boot_now() >= claim_checked_at_ + claim_check_interval) {
        check_claim();
    }
    if (tracker_.take_urgent_change() || boot_now() >= reported_at_ + report_interval) {
        schedule_report();
    }
}

void job_agent_process::send_starts() {
    if (!registered_runner_.is_reachable()) {
        return; // Another instance would start tasks that were ordered for the registered one.
    }
    while (const std::optional<start_order> order = tracker_.next_start(boot_now())) {
        send_start(*order);
    }
}

void job_agent_process::send_start(const start_order& order) {
    const std::optional<std::int64_t> lease = tracker_.lease_until_ms(boot_now());
    if (!lease) {
        tracker_.start_rejected(order.run, "no_permission");
        return;
    }
    task_start start;
    start.run = order.run;
    start.payload = order.payload;
    start.checkpoint = order.checkpoint;
    start.ticket = order.ticket;
    start.lease_until_ms = *lease;
    start.runner_id = registered_runner_.id();
    const std::string instance = tracker_.registration().instance;
    runner_->start(start, tracker_.fence(),
                   [this, run = order.run,
                    instance](std::variant<runner_confirmation, runner_refusal>&& answer) {
                       count_call(runner_call::start, answer);
                       if (instance == tracker_.registration().instance) {
                           handle_start_answer(run, answer);
                       }
                   });
}

void job_agent_process::handle_start_answer(
    const task_attempt& run, const std::variant<runner_confirmation, runner_refusal>& answer) {
    if (const runner_confirmation* const done = std::get_if<runner_confirmation>(&answer)) {
        tracker_.start_done(run, done->clock_ms);
        // A task starts at full speed; beside serving tasks it may have to be throttled at once.
        guard_latency();
        return;
    }
    const runner_refusal refusal = std::get<runner_refusal>(answer);
    write_log(log_part::worker, log_level::info, "A call to start a task failed.",
              fields_of(run) + " reason=" + std::string(name_of(runner_refusal_names, refusal)));
    // A repeated start is refused as old when the run of the first one has already ended. The
    // runner's lists show what happened.
    if (refusal == runner_refusal::no_answer || refusal == runner_refusal::old_run) {
        tracker_.start_unanswered(run);
    } else {
        tracker_.start_rejected(run, std::string(name_of(runner_refusal_names, refusal)));
    }
    schedule_report();
}

void job_agent_process::send_stops() {
    while (const std::optional<task_attempt> run = tracker_.next_stop()) {
        const std::string instance = tracker_.registration().instance;
        runner_->stop(*run, tracker_.fence(),
                      [this, run = *run,
                       instance](std::variant<runner_confirmation, runner_refusal>&& answer) {
                          count_call(runner_call::stop, answer);
                          if (instance != tracker_.registration().instance) {
                              return;
                          }
                          if (const runner_confirmation* const done =
                                  std::get_if<runner_confirmation>(&answer)) {
                              tracker_.stop_done(run, done->clock_ms);
                          } else {
                              tracker_.stop_unanswered(run);
                          }
                      });
    }
}

void job_agent_process::renew() {
    // The runner answers without waiting while it lists ended runs. The delay limits the rate of
    // renewals until their acknowledgement arrives from the leader.
    if (tracker_.has_unacknowledged_ends() &&
        boot_now() < renewed_at_ + unacknowledged_renewal_delay) {
        return;
    }
    if (renewing_ || tracker_.epoch() == 0 || registered_runner_.id().empty() ||
        tracker_.registration().state == runner_state::absent) {
        return;
    }
    renewed_at_ = boot_now();
    lease_renewal renewal;
    if (registered_runner_.is_reachable()) {
        renewal.lease_until_ms = tracker_.lease_until_ms(boot_now()).value_or(0);
        renewal.acknowledged_ends = tracker_.acknowledged_ends();
        renewal.wait = tracker_.lists_known() ? renewal_wait : milliseconds(0);
    }
    read_lists(renewal, &job_agent_process::renewing_);
}

void job_agent_process::check_claim() {
    if (checking_claim_ || tracker_.epoch() == 0) {
        return;
    }
    claim_checked_at_ = boot_now();
    read_lists({}, &job_agent_process::checking_claim_);
}

void job_agent_process::read_lists(const lease_renewal& renewal,
                                   bool job_agent_process::*in_flight) {
    this->*in_flight = true;
    const std::uint64_t number = ++list_calls_;
    const std::string instance = tracker_.registration().instance;
    const runner_fence fence = tracker_.fence();
    runner_->renew(renewal, fence,
                   [this, in_flight, number, instance,
                    fence](std::variant<runner_lists, runner_refusal>&& answer) {
                       this->*in_flight = false;
                       count_call(runner_call::renew, answer);
                       if (number < answered_list_call_) {
                           return; // A later call has been answered, perhaps by another instance.
                       }
                       const bool failed = std::holds_alternative<runner_refusal>(answer);
                       if (failed && number <= calls_before_failure_) {
                           return; // Sent beside a call that has failed; it says nothing new.
                       }
                       calls_before_failure_ = failed ? list_calls_ : calls_before_failure_;
                       if (const runner_refusal* const refusal =
                               std::get_if<runner_refusal>(&answer)) {
                           if (instance == tracker_.registration().instance) {
                               handle_renewal_failure(*refusal);
                           }
                       } else {
                           answered_list_call_ = number;
                           handle_lists(std::get<runner_lists>(std::move(answer)), instance, fence);
                       }
                   });
}

void job_agent_process::handle_lists(runner_lists&& lists, const std::string& instance,
                                     const runner_fence& fence) {
    const bool had_open_claim = registered_runner_.has_open_claim();
    switch (registered_runner_.observe_answer(lists.instance_start_ms)) {
    case answer_verdict::registered:
        if (had_open_claim && !registered_runner_.has_open_claim()) {
            write_log(log_part::worker, log_level::info,
                      "The registered runner answers; the heartbeat of another one is ignored.",
                      "runner=" + tracker_.registration().instance);
        }
        if (instance != tracker_.registration().instance) {
            return;
        }
        break;
    case answer_verdict::replaced:
        take_registered_runner();
        break;
    case answer_verdict::unknown:
        // Its first heartbeat comes soon. It is reported together with its runs, which may include
        // one that was ordered for the former instance.
        if (tracker_.registration().state != runner_state::absent && tracker_.lists_known() &&
            tracker_.has_lapsed(boot_now())) {
            mark_runner_gone(runner_end_evidence::other_instance);
        }
        return;
    }
    confirm_fence(fence);
    tracker_.apply_lists(std::move(lists.runs), boot_now());
    guard_.observe(guarded_runs(), tracker_.registration().capacity.cpu_millicores, boot_now());
    guard_latency();
    if (tracker_.take_urgent_change()) {
        schedule_report();
    }
    run_pending_actions();
}

void job_agent_process::confirm_fence(const runner_fence& fence) {
    const bool was_confirmed = tracker_.is_fence_confirmed();
    tracker_.fence_accepted(fence, boot_now());
    if (!was_confirmed && tracker_.is_fence_confirmed()) {
        write_log(log_part::worker, log_level::info,
                  "The runner no longer takes calls that were meant for its former processes.",
                  "runner=" + tracker_.registration().instance + " epoch=" +
                      std::to_string(fence.epoch) + " agent=" + std::to_string(fence.agent) +
                      " process=" + std::to_string(fence.process) +
                      " lapses_in_ms=" + std::to_string(lapses_in().count()));
    }
}

milliseconds job_agent_process::lapses_in() const {
    return std::max(std::chrono::duration_cast<milliseconds>(tracker_.lapses_at() - boot_now()),
                    milliseconds(0));
}

void job_agent_process::handle_renewal_failure(runner_refusal refusal) {
    const runner_end_evidence evidence = registered_runner_.observe_failure(
        refusal, tracker_.lists_known() && tracker_.has_lapsed(boot_now()));
    if (registered_runner_.consecutive_failures() == 1) {
        write_log(log_part::worker, log_level::warning, "Cannot renew the lease of the runner.",
                  "reason=" + std::string(name_of(runner_refusal_names, refusal)) +
                      " lapses_in_ms=" + std::to_string(lapses_in().count()) +
                      " fenced=" + (tracker_.is_fence_confirmed() ? "1" : "0"));
    }
    if (evidence != runner_end_evidence::none &&
        tracker_.registration().state != runner_state::absent) {
        mark_runner_gone(evidence);
    }
}

void job_agent_process::mark_runner_gone(runner_end_evidence evidence) {
    write_log(log_part::worker, log_level::warning, "The runner has ended.",
              "runner=" + tracker_.registration().instance +
                  " evidence=" + std::string(name_of(runner_end_evidence_names, evidence)) +
                  " active=" + std::to_string(tracker_.active().size()) +
                  " lease_ended=" + (tracker_.has_lapsed(boot_now()) ? "1" : "0"));
    tracker_.mark_runner_gone(evidence);
    schedule_report();
}

std::vector<guarded_run> job_agent_process::guarded_runs() const {
    std::vector<guarded_run> runs;
    for (const active_run& active : tracker_.active()) {
        if (const start_order* const run_attributes = tracker_.attributes(active.run)) {
            runs.push_back(guarded_run_of(active, *run_attributes));
        }
    }
    for (const task_attempt& run : tracker_.unlisted()) {
        if (const start_order* const run_attributes = tracker_.attributes(run)) {
            runs.push_back(guarded_run_of({run, "", 0, 0}, *run_attributes));
        }
    }
    return runs;
}

void job_agent_process::guard_latency() {
    const std::vector<guarded_run> runs = guarded_runs();
    for (const speed_change& change :
         guard_.update(runs, tracker_.registration().capacity.cpu_millicores, boot_now())) {
        // Calls on different connections can overtake each other, so a run's next change waits for
        // the answer to the last one.
        if (!changing_speed_.insert(change.run).second) {
            guard_.change_failed(change.run);
            continue;
        }
        write_log(log_part::worker, log_level::info, "Changing the speed of a task.",
                  fields_of(change.run) + " percent=" + std::to_string(change.percent) +
                      " least_headroom=" + std::to_string(guard_.least_headroom()));
        runner_->throttle(
            change.run, change.percent, tracker_.fence(),
            [this, run = change.run](std::variant<runner_confirmation, runner_refusal>&& answer) {
                count_call(runner_call::throttle, answer);
                changing_speed_.erase(run);
                const runner_refusal* const refusal = std::get_if<runner_refusal>(&answer);
                if (refusal == nullptr) {
                    return;
                }
                if (*refusal == runner_refusal::no_answer) {
                    guard_.change_unanswered(run, boot_now());
                } else {
                    guard_.change_failed(run);
                }
            });
    }
}

void job_agent_process::schedule_report() {
    if (!std::exchange(report_scheduled_, true)) {
        loop_.call_at(boot_now() + report_delay, [this] { send_report(); });
    }
}

void job_agent_process::send_report() {
    report_scheduled_ = false;
    reported_at_ = boot_now();
    if (link_.is_open()) {
        vm_report current = tracker_.make_report(settings_.common.vm, reported_at_);
        if (std::exchange(send_pressures_, false)) {
            current.pressures = guard_.pressures();
        }
        link_.send(current);
    }
}

job_agent_state job_agent_process::current_state() const {
    job_agent_state state;
    state.active_tasks = tracker_.active().size();
    state.epoch = tracker_.epoch();
    state.permission_seconds = std::max(
        0.0, std::chrono::duration<double>(tracker_.permission_until() - boot_now()).count());
    state.runner_lapse_seconds = std::chrono::duration<double>(lapses_in()).count();
    state.least_headroom = guard_.least_headroom();
    state.dropped_log_lines = log_output_.dropped_lines();
    return state;
}

} // namespace egretstile::daemon
