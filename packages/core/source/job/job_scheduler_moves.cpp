#include <egretstile/core/job/job_scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace egretstile {

namespace {

/// A VM whose last report is no older reports to this leader. Two report intervals of agents.
constexpr milliseconds fresh_report_age{1000};

double milliseconds_of(boot_clock::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void job_scheduler::move_off_draining_vms(boot_time now) {
    for (auto& [name, vm] : vms_) {
        if (!vm.usable || vm.runner.state != runner_state::draining) {
            continue;
        }
        std::vector<task_attempt> movable;
        for (const auto& [run, needs] : vm.runs) {
            const job_entry* const job = jobs_.find(run.task.job);
            if (job != nullptr && (job->spec.steps[run.task.step].long_running ||
                                   job->spec.steps[run.task.step].checkpointing)) {
                movable.push_back(run);
            }
        }
        for (const task_attempt& run : movable) {
            order_stop(vm, run, now);
        }
    }
}

void job_scheduler::move_stalled_tasks(boot_time now) {
    std::size_t moving = 0;
    std::vector<std::pair<job_entry*, task_ref>> candidates;
    for (job_entry* const job : jobs_.unfinished()) {
        for (const auto& [k, occurrence] : job->occurrences) {
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                const step_spec& step = job->spec.steps[s];
                if (step.long_running || step.gang) {
                    continue;
                }
                const std::vector<job_task>& tasks = occurrence.steps[s].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].runs.size() != 1) {
                        continue;
                    }
                    moving += tasks[i].runs.front().stopping ? 1 : 0;
                    if (is_stalled(step, tasks[i].runs.front(), now)) {
                        candidates.emplace_back(job, task_ref{job->spec.id, k, s, i});
                    }
                }
            }
        }
    }
    for (const auto& [job, task] : candidates) {
        if (moving >= settings_.max_concurrent_moves) {
            return;
        }
        moving += move_task(*job, task, now) ? 1 : 0;
    }
}

bool job_scheduler::is_stalled(const step_spec& step, const tracked_run& run, boot_time now) const {
    // A VM that reports to a later leader is silent here, and its runs may have ended long ago.
    if (!run.was_listed || run.stopping || may_have_left(run.vm, now)) {
        return false;
    }
    return milliseconds_of(now - run.progressed_at) >=
           std::max(static_cast<double>(settings_.stall_limit.count()),
                    step.estimate_ms * settings_.stall_share);
}

bool job_scheduler::may_have_left(const vm_name& name, boot_time now) const {
    const auto vm = vms_.find(name);
    const bool reports =
        vm != vms_.end() && vm->second.usable && now < vm->second.reported_at + fresh_report_age;
    return !reports && now >= leadership_confirmed_at_ + settings_.leader_lease;
}

bool job_scheduler::move_task(job_entry& job, const task_ref& task, boot_time now) {
    job_task& state = *jobs_.find_task(task);
    const tracked_run run = state.runs.front();
    if (alternative_vm(job, task, run.vm, now) == nullptr) {
        return false;
    }
    record_decision(
        decision_kind::move_task,
        "job=" + task.job + " task=" + to_string(task) + " vm=" + run.vm +
            " percent=" + std::to_string(run.percent) + " without_progress_ms=" +
            std::to_string(static_cast<std::int64_t>(milliseconds_of(now - run.progressed_at))));
    state.failed_on = run.vm;
    if (job.spec.steps[task.step].speculative) {
        return start_task(job, task, now) == start_result::started;
    }
    order_stop(vms_[run.vm], {task, run.attempt}, now);
    return true;
}

vm_state* job_scheduler::alternative_vm(const job_entry& job, const task_ref& task,
                                        const vm_name& present, boot_time now) {
    placement_request request;
    request.job = &job;
    request.step = &job.spec.steps[task.step];
    request.task = task;
    request.pressures = &pressures_;
    set_room_terms(request);
    request.health = health_demand_of(job, task, now);
    request.excluded = {present};
    return placer_->choose(request, vms_, closed_domains_, now);
}

} // namespace egretstile
