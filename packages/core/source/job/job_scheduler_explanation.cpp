#include <egretstile/core/job/job_scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace egretstile {

namespace {

/// Adds the steps of an occurrence that has not been opened.
void explain_next_occurrence(const job_spec& spec, std::uint32_t occurrence,
                             job_explanation& result) {
    for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
        step_explanation step;
        step.occurrence = occurrence;
        step.step = s;
        step.tasks = spec.steps[s].count;
        step.waiting = spec.steps[s].count;
        step.waits_for = step_wait::due_time;
        result.steps.push_back(std::move(step));
    }
}

} // namespace

std::optional<job_explanation> job_scheduler::explain(const job_id& id, boot_time now,
                                                      std::int64_t wall_ms) const {
    const job_entry* const job = jobs_.find(id);
    if (job == nullptr) {
        return std::nullopt;
    }
    job_explanation result;
    result.state = job->state;
    result.queue = job->spec.queue;
    result.priority = job->policy.priority;
    for (const auto& [k, occurrence] : job->occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            result.steps.push_back(explain_step(*job, k, s, now, wall_ms));
        }
    }
    if (const std::optional<std::uint32_t> next = job->occurrences.next()) {
        explain_next_occurrence(job->spec, *next, result);
    }
    return result;
}

step_explanation job_scheduler::explain_step(const job_entry& job, std::uint32_t occurrence,
                                             std::uint32_t step, boot_time now,
                                             std::int64_t wall_ms) const {
    const step_state& state = job.occurrences[occurrence].steps[step];
    step_explanation result;
    result.occurrence = occurrence;
    result.step = step;
    result.tasks = state.tasks.size();
    result.done = state.done_count;
    result.waiting = state.waiting.size();
    for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
        const task_ref task{job.spec.id, occurrence, step, index};
        for (const tracked_run& run : state.tasks[index].runs) {
            result.running.push_back(
                {task, run.attempt, run.vm, run.percent, run.stopping, run.was_listed});
        }
    }
    if (state.waiting.empty() || is_final(job.state)) {
        return result;
    }
    const task_ref next{job.spec.id, occurrence, step, *state.waiting.begin()};
    result.waits_for = wait_reason_of(job, next, now, wall_ms);
    if (result.waits_for == step_wait::near_place) {
        result.near_rack = job.spec.steps[step].preferred_rack;
        const near_wait& wait = *locality_.find(next, result.near_rack);
        result.near_wait_left_ms =
            std::chrono::duration_cast<milliseconds>(std::max(wait.until, now) - now).count();
    }
    if (result.waits_for == step_wait::room) {
        placement_request request;
        request.job = &job;
        request.step = &job.spec.steps[step];
        request.task = next;
        request.pressures = &pressures_;
        set_room_terms(request);
        request.health = health_demand_of(job, next, now);
        for (const auto& [name, vm] : vms_) {
            ++result.obstacles[obstacle_of(vm, request, closed_domains_)];
        }
        if (request.step->fills_idle_cpu) {
            result.room = account_room(now)[job.policy.service];
        }
    }
    return result;
}

std::map<std::string, service_room> job_scheduler::account_room(boot_time now) const {
    return egretstile::account_room(
        vms_, closed_domains_,
        [this](const std::string& service) { return placement_headroom(service); }, now);
}

step_wait job_scheduler::wait_reason_of(const job_entry& job, const task_ref& next, boot_time now,
                                        std::int64_t wall_ms) const {
    const occurrence_state& occurrence = job.occurrences[next.occurrence];
    const step_state& state = occurrence.steps[next.step];
    const job_task& task = state.tasks[next.index];
    if (occurrence.due_ms > wall_ms) {
        return step_wait::due_time;
    }
    if (!is_step_ready(job, occurrence, next.step)) {
        return step_wait::earlier_steps;
    }
    if (may_have_unreported_run(job, task)) {
        return step_wait::unseen_runs;
    }
    if (job.spec.steps[next.step].gang && state.waiting.size() < state.tasks.size()) {
        return step_wait::gang_members;
    }
    if (task.retry_at > now) {
        return step_wait::retry_pause;
    }
    const near_wait* const wait = locality_.find(next, job.spec.steps[next.step].preferred_rack);
    return wait != nullptr && !wait->over ? step_wait::near_place : step_wait::room;
}

} // namespace egretstile
