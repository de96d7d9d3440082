#include <egretstile/core/job/job_scheduler.hpp>

#include <algorithm>

namespace egretstile {

namespace {

/// The task at which the failed attempts of a task are recorded: the first one of a gang.
task_ref counted_task(const job_entry& job, const task_ref& task) {
    return {task.job, task.occurrence, task.step, job.spec.steps[task.step].gang ? 0 : task.index};
}

const job_task& task_of(const job_entry& job, const task_ref& task) {
    return job.occurrences[task.occurrence].steps[task.step].tasks[task.index];
}

} // namespace

std::size_t job_scheduler::attempts_left(const job_entry& job, const task_ref& task) const {
    const job_task& counted = task_of(job, counted_task(job, task));
    // The run of a task that is moved ends as stopped; a copy runs beside it.
    const std::size_t running = job.spec.steps[task.step].speculative ? counted.runs.size() : 0;
    const std::size_t used = counted.progress.failed_attempts.size() + running;
    return job.policy.max_attempts - std::min<std::size_t>(used, job.policy.max_attempts);
}

bool job_scheduler::is_last_attempt(const job_entry& job, const task_ref& task) const {
    return settings_.track_runner_health && !job.spec.steps[task.step].long_running &&
           attempts_left(job, task) <= 1;
}

health_demand job_scheduler::health_demand_of(const job_entry& job, const task_ref& task,
                                              boot_time now) const {
    health_demand demand;
    demand.enabled = settings_.track_runner_health;
    demand.now = now;
    const step_spec& step = job.spec.steps[task.step];
    if (!demand.enabled || step.long_running) {
        return demand;
    }
    demand.limits_open_starts = !step.gang;
    if (!is_last_attempt(job, task)) {
        demand.may_be_trial = true;
        return demand;
    }
    const job_task& counted = task_of(job, counted_task(job, task));
    demand.failed_vms = task_of(job, task).failed_vms;
    const bool waits = !counted.proof_wait_until || now < *counted.proof_wait_until;
    // Where no run fails, a wait for a proven VM would only delay a task that has not failed.
    demand.needs_proof = waits && (!counted.progress.failed_attempts.empty() ||
                                   health_.has_recent_failure(job.policy.service, now));
    demand.refuses_failed_vms = waits;
    return demand;
}

void job_scheduler::begin_proof_wait(job_entry& job, const task_ref& task, boot_time now) {
    health_.note_waiting(job.policy.service, now);
    job_task& counted = *jobs_.find_task(counted_task(job, task));
    if (counted.proof_wait_until) {
        return;
    }
    const milliseconds spare = spare_time(job, pass_wall_ms_);
    counted.proof_wait_until = now + (spare > milliseconds(0) ? spare : settings_.late_proof_wait);
}

void job_scheduler::note_runner_report(vm_state& vm, const vm_report& report, boot_time now) {
    if (settings_.track_runner_health) {
        apply_health_changes(health_.note_report(vm.name, report.runner, report.recent_done,
                                                 report.recent_failed, now));
    }
}

void job_scheduler::note_started(vm_state& vm, const task_attempt& run, boot_time now) {
    if (!settings_.track_runner_health) {
        return;
    }
    health_.note_start(vm.name, run, now);
    if (vm.health.suspect) {
        record_decision(decision_kind::start_trial,
                        "job=" + run.task.job + " task=" + to_string(run.task) +
                            " attempt=" + std::to_string(run.attempt) + " vm=" + vm.name);
    }
    vm.health = health_.health_of(vm.name);
}

void job_scheduler::note_dropped(vm_state& vm, const task_attempt& run, boot_time now) {
    if (settings_.track_runner_health) {
        health_.note_dropped(vm.name, run, now);
        vm.health = health_.health_of(vm.name);
    }
}

void job_scheduler::note_ended(vm_state& vm, const ended_run& end, boot_time now) {
    if (!settings_.track_runner_health) {
        return;
    }
    const job_entry* const job = jobs_.find(end.run.task.job);
    const bool known = job != nullptr && end.run.task.step < job->spec.steps.size();
    const milliseconds estimate(known ? job->spec.steps[end.run.task.step].estimate_ms : 0);
    apply_health_changes(health_.note_end(vm.name, end.run, end.outcome, estimate, now));
}

void job_scheduler::judge_health(vm_state& vm, const vm_report& report, boot_time now) {
    if (!settings_.track_runner_health) {
        return;
    }
    for (const active_run& active : report.active) {
        health_.note_active(vm.name, active.run, now);
    }
    if (vm.health.suspect) {
        apply_health_changes(health_.end_overdue_suspicion(vm.name, now));
    }
    if (health_.is_failing(vm.name, now)) {
        apply_health_changes(health_.judge(vm.name, count_ready_vms(vm.runner.service), now));
    }
    vm.health = health_.health_of(vm.name);
}

void job_scheduler::apply_health_changes(const std::vector<health_change>& changes) {
    for (const health_change& change : changes) {
        const auto vm = vms_.find(change.vm);
        if (vm != vms_.end()) {
            vm->second.health = health_.health_of(change.vm);
        }
        record_decision(change.suspect ? decision_kind::suspect_vm : decision_kind::trust_vm,
                        "vm=" + change.vm + " reason=" + change.reason);
    }
}

std::size_t job_scheduler::count_ready_vms(const std::string& service) const {
    return static_cast<std::size_t>(
        std::count_if(vms_.begin(), vms_.end(), [&service](const auto& row) {
            return row.second.usable && row.second.runner.state == runner_state::ready &&
                   row.second.runner.service == service;
        }));
}

} // namespace egretstile
