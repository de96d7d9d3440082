#include <egretstile/core/job/job_scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>

namespace egretstile {

namespace {

/// Runs that start up, restore a checkpoint or wait for their gang make no progress at first.
constexpr milliseconds usual_startup{1000};

/// Differences of speed below this are those of the estimates.
constexpr double equal_speed = 0.7;

double milliseconds_of(boot_clock::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

double median_of(std::vector<double>& values) {
    const auto middle = std::next(values.begin(), static_cast<std::ptrdiff_t>(values.size() / 2));
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void job_scheduler::move_from_draining(boot_time now) {
    for (auto& [name, vm] : vms_) {
        if (!vm.usable || vm.runner.state != runner_state::draining) {
            continue;
        }
        std::vector<task_attempt> leaving;
        for (const auto& [run, needs] : vm.runs) {
            const job_entry* const job = jobs_.find(run.task.job);
            if (job != nullptr && (job->spec.steps[run.task.step].long_running ||
                                   job->spec.steps[run.task.step].checkpointing)) {
                leaving.push_back(run);
            }
        }
        for (const task_attempt& run : leaving) {
            order_stop(vm, run, now);
        }
    }
}

void job_scheduler::observe_speed(vm_state& vm, const step_spec& step, const active_run& active,
                                  const tracked_run& tracked, boot_time now) {
    // Tasks that fill or wait for others are slow for other reasons.
    if (step.fills_idle_cpu || step.long_running || step.gang || step.estimate_ms == 0 ||
        !tracked.seen_active || tracked.stopping || !step.preferred_rack.empty()) {
        return;
    }
    const bool has_begun =
        tracked.percent > tracked.first_percent || now >= tracked.started_at + usual_startup;
    if (!has_begun || active.percent < tracked.percent) {
        return;
    }
    const double worth = step.estimate_ms * (active.percent - tracked.percent) / 100.0;
    vm.speed.observe(milliseconds(static_cast<std::int64_t>(worth)),
                     std::chrono::duration_cast<milliseconds>(now - tracked.listed_at), now);
}

void job_scheduler::compare_speeds(boot_time now) {
    std::map<std::string, std::vector<double>> speeds;
    for (const auto& [name, vm] : vms_) {
        if (vm.usable) {
            speeds[vm.runner.service].push_back(vm.speed.value(now));
        }
    }
    for (auto& [name, vm] : vms_) {
        std::vector<double>& others = speeds[vm.runner.service];
        if (!others.empty()) {
            const double relative = vm.speed.value(now) / std::max(median_of(others), 0.01);
            vm.relative_speed = relative >= equal_speed ? 1.0 : relative;
        }
    }
}

void job_scheduler::move_slow(boot_time now) {
    std::size_t moving = 0;
    std::vector<std::pair<job_entry*, task_ref>> candidates;
    for (job_entry* const job : jobs_.unfinished()) {
        for (std::uint32_t k = 0; k < job->occurrences.size(); ++k) {
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                const step_spec& step = job->spec.steps[s];
                if (step.long_running || step.gang) {
                    continue;
                }
                const std::vector<job_task>& tasks = job->occurrences[k].steps[s].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].runs.size() != 1) {
                        continue;
                    }
                    moving += tasks[i].runs.front().stopping ? 1 : 0;
                    if (is_worth_moving(step, tasks[i].runs.front(), now)) {
                        candidates.emplace_back(job, task_ref{job->spec.id, k, s, i});
                    }
                }
            }
        }
    }
    for (const auto& [job, task] : candidates) {
        if (moving >= settings_.moves_at_a_time) {
            return;
        }
        moving += move_task(*job, task, now) ? 1 : 0;
    }
}

bool job_scheduler::is_worth_moving(const step_spec& step, const tracked_run& run,
                                    boot_time now) const {
    if (!run.seen_active || run.stopping) {
        return false;
    }
    const double without_progress = milliseconds_of(now - run.progressed_at);
    if (without_progress >= std::max(static_cast<double>(settings_.stall_limit.count()),
                                     step.estimate_ms * settings_.stall_share)) {
        return true;
    }
    const auto vm = vms_.find(run.vm);
    if (vm == vms_.end() || vm->second.relative_speed >= settings_.slow_speed) {
        return false;
    }
    const double left = step.estimate_ms * (100 - std::min(run.percent, 100U)) / 100.0;
    const double again = step.checkpointing ? left : static_cast<double>(step.estimate_ms);
    return left / std::max(vm->second.relative_speed, 0.01) >
           again + static_cast<double>(settings_.move_cost.count());
}

bool job_scheduler::move_task(job_entry& job, const task_ref& task, boot_time now) {
    job_task& state = *jobs_.find_task(task);
    const tracked_run run = state.runs.front();
    const vm_state* const target = better_vm(job, task, run.vm, now);
    if (target == nullptr || target->relative_speed < settings_.slow_speed) {
        return false;
    }
    note(decision_kind::move_task,
         "job=" + task.job + " task=" + to_string(task) + " vm=" + run.vm +
             " percent=" + std::to_string(run.percent) + " relative_speed=" +
             std::to_string(vms_[run.vm].relative_speed) + " without_progress_ms=" +
             std::to_string(static_cast<std::int64_t>(milliseconds_of(now - run.progressed_at))));
    state.failed_on = run.vm;
    if (job.spec.steps[task.step].speculative) {
        return start_task(job, task, now);
    }
    order_stop(vms_[run.vm], {task, run.attempt}, now);
    return true;
}

vm_state* job_scheduler::better_vm(const job_entry& job, const task_ref& task,
                                   const vm_name& present, boot_time now) {
    placement_request request;
    request.job = &job;
    request.step = &job.spec.steps[task.step];
    request.task = task;
    request.pressures = &pressures_;
    request.excluded = {present};
    return placer_->choose(request, vms_, closed_domains_, now);
}

} // namespace egretstile
