#include "jobs/job_entry_metrics.hpp"

#include <string>

namespace egretstile::daemon {

job_call_outcome outcome_of_status(int status) {
    switch (status) {
    case 429:
    case 503:
        return job_call_outcome::refused;
    case 502:
    case 504:
        return job_call_outcome::unknown;
    case 404:
    case 410:
        return job_call_outcome::absent;
    default:
        return status >= 200 && status < 300 ? job_call_outcome::answered
                                             : job_call_outcome::invalid;
    }
}

namespace {

prometheus::Gauge& near_waits_gauge(metrics& registry, const std::string& event) {
    return registry.gauge("egretstile_near_waits",
                          "Waits of tasks for places near their data, since this entry leads.",
                          {{"event", event}});
}

} // namespace

job_entry_metrics::job_entry_metrics()
    : call_seconds_(metrics_.histogram("egretstile_job_call_seconds",
                                       "Time from a caller's request to its response.",
                                       latency_bucket_bounds()))
    , leader_epoch_(metrics_.gauge("egretstile_leader_epoch",
                                   "Epoch with which this entry leads; 0: it does not lead."))
    , config_version_(metrics_.gauge("egretstile_config_version",
                                     "Version of the configuration in force here."))
    , config_age_(
          metrics_.gauge("egretstile_config_age_seconds",
                         "Time since the store confirmed that no later configuration exists."))
    , longest_round_(metrics_.gauge("egretstile_loop_round_seconds",
                                    "Longest round of the event loop since the last reading."))
    , jobs_(metrics_.gauge("egretstile_jobs", "Jobs that this entry knows as the leader."))
    , unfinished_jobs_(
          metrics_.gauge("egretstile_unfinished_jobs", "Jobs of the leader without a final state."))
    , job_memory_bytes_(metrics_.gauge("egretstile_job_memory_bytes",
                                       "Memory that the jobs take on this leader, as counted for "
                                       "their acceptance."))
    , unstarted_jobs_(metrics_.gauge("egretstile_unstarted_jobs",
                                     "Unfinished jobs of which no task has started."))
    , ordered_jobs_(
          metrics_.gauge("egretstile_ordered_jobs",
                         "Unstarted jobs with an ordered start that is not confirmed yet."))
    , vms_(metrics_.gauge("egretstile_leader_vms", "VMs on which this leader may start tasks."))
    , connections_(metrics_.gauge("egretstile_caller_connections", "Open connections of callers."))
    , dropped_log_lines_(
          metrics_.gauge("egretstile_log_left_out_lines",
                         "Log lines that were left out since the start of the process."))
    , near_waits_begun_(near_waits_gauge(metrics_, "begun"))
    , near_waits_ended_near_(near_waits_gauge(metrics_, "ended_near"))
    , near_waits_ended_remote_(near_waits_gauge(metrics_, "ended_remote"))
    , near_waits_dropped_(near_waits_gauge(metrics_, "dropped"))
    , near_wait_seconds_(
          metrics_.gauge("egretstile_near_wait_seconds",
                         "Time that tasks have waited for places near their data.")) {
    for (const enum_name<job_call>& call : job_call_names) {
        for (const enum_name<job_call_outcome>& outcome : job_call_outcome_names) {
            calls_.at(static_cast<std::size_t>(call.value))
                .at(static_cast<std::size_t>(outcome.value)) = &metrics_.counter(
                "egretstile_job_calls_total", "Callers' requests by call and outcome.",
                {{"call", std::string(call.name)}, {"outcome", std::string(outcome.name)}});
        }
    }
    for (const enum_name<decision_kind>& row : decision_kind_names) {
        decisions_.at(static_cast<std::size_t>(row.value)) = &metrics_.counter(
            "egretstile_decisions_total", "Decisions of this entry as the leader.",
            {{"decision", std::string(row.name)}});
    }
}

void job_entry_metrics::count_call(job_call call, int status, boot_clock::duration duration) {
    calls_.at(static_cast<std::size_t>(call))
        .at(static_cast<std::size_t>(outcome_of_status(status)))
        ->Increment();
    call_seconds_.Observe(std::chrono::duration<double>(duration).count());
}

void job_entry_metrics::count_decision(decision_kind kind) {
    decisions_.at(static_cast<std::size_t>(kind))->Increment();
}

void job_entry_metrics::set_state(const job_entry_state& state) {
    leader_epoch_.Set(static_cast<double>(state.leader_epoch));
    config_version_.Set(static_cast<double>(state.config_version));
    config_age_.Set(state.config_age_seconds);
    longest_round_.Set(state.longest_round_seconds);
    jobs_.Set(static_cast<double>(state.jobs));
    unfinished_jobs_.Set(static_cast<double>(state.unfinished_jobs));
    job_memory_bytes_.Set(static_cast<double>(state.job_memory_bytes));
    unstarted_jobs_.Set(static_cast<double>(state.unstarted.all));
    ordered_jobs_.Set(static_cast<double>(state.unstarted.ordered));
    vms_.Set(static_cast<double>(state.vms));
    connections_.Set(static_cast<double>(state.connections));
    dropped_log_lines_.Set(static_cast<double>(state.dropped_log_lines));
    near_waits_begun_.Set(static_cast<double>(state.near_waits.begun));
    near_waits_ended_near_.Set(static_cast<double>(state.near_waits.ended_near));
    near_waits_ended_remote_.Set(static_cast<double>(state.near_waits.ended_remote));
    near_waits_dropped_.Set(static_cast<double>(state.near_waits.dropped));
    near_wait_seconds_.Set(std::chrono::duration<double>(state.near_waits.waited).count());
    set_rooms(state.rooms);
}

job_entry_metrics::room_gauges& job_entry_metrics::room_gauges_of(const std::string& service) {
    const auto [found, added] = rooms_.try_emplace(service);
    if (added) {
        for (const enum_name<room_part>& row : room_part_names) {
            found->second.at(static_cast<std::size_t>(row.value)) =
                &metrics_.gauge("egretstile_room_millicores",
                                "Processor time of the service's VMs by part, at the leader.",
                                {{"service", service}, {"part", std::string(row.name)}});
        }
    }
    return found->second;
}

void job_entry_metrics::set_rooms(const std::map<std::string, service_room>& rooms) {
    for (const auto& [service, room] : rooms) {
        room_gauges_of(service);
    }
    for (const auto& [service, gauges] : rooms_) {
        const auto room = rooms.find(service);
        for (std::size_t part = 0; part < gauges.size(); ++part) {
            gauges.at(part)->Set(
                room == rooms.end() ? 0.0 : static_cast<double>(room->second.parts.at(part)));
        }
    }
}

} // namespace egretstile::daemon
