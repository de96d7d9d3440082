#include "jobs/job_agent_metrics.hpp"

#include <string>

namespace egretstile::daemon {

job_agent_metrics::job_agent_metrics()
    : active_tasks_(metrics_.gauge("egretstile_active_tasks", "Tasks that the runner lists."))
    , epoch_(metrics_.gauge("egretstile_followed_epoch",
                            "Epoch of the leader whose orders this agent carries out."))
    , permission_(
          metrics_.gauge("egretstile_permission_seconds",
                         "Time until tasks may no longer run without a word of the leader."))
    , runner_lapse_(metrics_.gauge(
          "egretstile_runner_lapse_seconds",
          "Time until all tasks of the runner have certainly ended if it gets no other lease."))
    , headroom_(
          metrics_.gauge("egretstile_least_headroom",
                         "Smallest ratio of target to latency among the serving tasks of the VM."))
    , dropped_log_lines_(
          metrics_.gauge("egretstile_log_left_out_lines",
                         "Log lines that were left out since the start of the process.")) {
    for (const enum_name<runner_call>& call : runner_call_names) {
        for (std::size_t outcome = 0; outcome < outcome_count; ++outcome) {
            const std::string name =
                outcome == 0
                    ? "done"
                    : std::string(infrastructure::runner_refusal_names.at(outcome - 1).name);
            calls_.at(static_cast<std::size_t>(call.value)).at(outcome) = &metrics_.counter(
                "egretstile_runner_calls_total", "Calls to the runner by call and outcome.",
                {{"call", std::string(call.name)}, {"outcome", name}});
        }
    }
}

void job_agent_metrics::count_done(runner_call call) {
    calls_.at(static_cast<std::size_t>(call)).front()->Increment();
}

void job_agent_metrics::count_refused(runner_call call, infrastructure::runner_refusal refusal) {
    calls_.at(static_cast<std::size_t>(call))
        .at(static_cast<std::size_t>(refusal) + 1)
        ->Increment();
}

void job_agent_metrics::set_state(const job_agent_state& state) {
    active_tasks_.Set(static_cast<double>(state.active_tasks));
    epoch_.Set(static_cast<double>(state.epoch));
    permission_.Set(state.permission_seconds);
    runner_lapse_.Set(state.runner_lapse_seconds);
    headroom_.Set(state.least_headroom);
    dropped_log_lines_.Set(static_cast<double>(state.dropped_log_lines));
}

} // namespace egretstile::daemon
