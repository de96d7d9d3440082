#include "entry/entry_metrics.hpp"

namespace egretstile::daemon {

entry_metrics::entry_metrics()
    : attempts_(metrics_.counter("egretstile_request_attempts_total",
                                 "Attempts sent to agents, retries and hedges included."))
    , request_seconds_(metrics_.histogram("egretstile_request_seconds",
                                          "Time from a request's arrival to its outcome.",
                                          latency_bucket_bounds()))
    , vms_(metrics_.gauge("egretstile_vms", "VMs whose agents send heartbeats to this entry."))
    , owned_shards_(metrics_.gauge("egretstile_owned_shards", "Shards that this entry owns."))
    , queued_tasks_(
          metrics_.gauge("egretstile_queued_tasks", "Tasks of owned shards that wait for a VM."))
    , plan_revision_(
          metrics_.gauge("egretstile_plan_revision", "Revision of the plan in force here."))
    , received_bytes_(metrics_.gauge("egretstile_frame_received_bytes",
                                     "Bytes received from agents and entries."))
    , sent_bytes_(
          metrics_.gauge("egretstile_frame_sent_bytes", "Bytes sent to agents and entries.")) {
    for (const enum_name<wire::serve_outcome>& row : wire::serve_outcome_names) {
        requests_.at(static_cast<std::size_t>(row.value)) =
            &metrics_.counter("egretstile_requests_total", "Requests of callers by outcome.",
                              {{"outcome", std::string(row.name)}});
    }
    for (const enum_name<wire::task_call_outcome>& row : wire::task_call_outcome_names) {
        task_calls_.at(static_cast<std::size_t>(row.value)) =
            &metrics_.counter("egretstile_task_calls_total", "Calls about tasks by outcome.",
                              {{"outcome", std::string(row.name)}});
    }
}

void entry_metrics::count_request(const service_answer& answer, boot_clock::duration duration) {
    requests_.at(static_cast<std::size_t>(answer.outcome))->Increment();
    attempts_.Increment(answer.attempts);
    request_seconds_.Observe(std::chrono::duration<double>(duration).count());
}

void entry_metrics::count_task_call(const task_answer& answer) {
    task_calls_.at(static_cast<std::size_t>(answer.outcome))->Increment();
}

void entry_metrics::set_state(std::size_t vms, std::size_t owned_shards, std::size_t queued_tasks,
                              revision_number plan_revision) {
    vms_.Set(static_cast<double>(vms));
    owned_shards_.Set(static_cast<double>(owned_shards));
    queued_tasks_.Set(static_cast<double>(queued_tasks));
    plan_revision_.Set(static_cast<double>(plan_revision));
}

void entry_metrics::set_frame_bytes(std::uint64_t received, std::uint64_t sent) {
    received_bytes_.Set(static_cast<double>(received));
    sent_bytes_.Set(static_cast<double>(sent));
}

} // namespace egretstile::daemon
