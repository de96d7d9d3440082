#include <egretstile/core/job/job_scheduler.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace egretstile {

namespace {

/// Time between the order to stop a run and the start of the next one; agents report at least every
/// 500 ms, and sooner when a run has ended.
constexpr milliseconds stop_round_trip(300);
/// A move must save at least this share of the run time near the data, because the predictions of
/// both ends are uncertain.
constexpr double min_move_gain = 0.25;
/// Racks with the most free processor time that a gang may wait for.
constexpr std::size_t max_gang_racks = 8;

milliseconds scaled(milliseconds time, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

milliseconds until(boot_time time, boot_time now) {
    return std::chrono::duration_cast<milliseconds>(std::max(time, now) - now);
}

/// VMs on which more than single trials may start.
std::vector<vm_state*> without_suspects(const std::vector<vm_state*>& vms) {
    std::vector<vm_state*> trusted;
    std::copy_if(vms.begin(), vms.end(), std::back_inserter(trusted),
                 [](const vm_state* vm) { return !vm->health.suspect; });
    return trusted;
}

/// Whether the task, which has one attempt left, may start only on some of the VMs that a forecast
/// counts.
bool needs_chosen_vms(const health_demand& demand) {
    return demand.needs_proof || (demand.refuses_failed_vms && !demand.failed_vms.empty());
}

place_need place_need_of(const step_spec& step) {
    const vm_run needs = needs_of(step);
    return {needs.reserved, step.fills_idle_cpu ? step.need.cpu_millicores : 0, step.max_per_vm};
}

} // namespace

void job_scheduler::begin_locality_pass(boot_time now) {
    if (!locality_.is_enabled()) {
        return;
    }
    near_places_.clear();
    for (const auto& [task, wait] : locality_.begin_pass(now)) {
        record_wait_end(task, wait, "dropped", now);
    }
}

job_scheduler::near_places& job_scheduler::places_of(const job_entry& job, const step_spec& step,
                                                     const std::string& rack, boot_time now) {
    const place_need need = place_need_of(step);
    std::vector<near_places>& known = near_places_[rack];
    const auto found = std::find_if(known.begin(), known.end(), [&](const near_places& places) {
        return places.need == need && places.service == job.policy.service &&
               places.label == step.required_label && places.image == step.image;
    });
    if (found != known.end()) {
        return *found;
    }
    if (racks_.empty()) {
        for (auto& [name, vm] : vms_) {
            racks_[vm.runner.rack].push_back(&vm);
        }
    }
    std::vector<vm_state*> vms;
    for (vm_state* const vm : racks_[rack]) {
        placement_request request;
        request.job = &job;
        request.step = &step;
        request.accept_slow = true;
        const placement_obstacle obstacle = obstacle_of(*vm, request, closed_domains_);
        const bool may_have_room = obstacle == placement_obstacle::none ||
                                   obstacle == placement_obstacle::no_room ||
                                   obstacle == placement_obstacle::limit_per_vm;
        if (may_have_room && vm->avoided_until <= now) {
            vms.push_back(vm);
        }
    }
    rack_forecast forecast(without_suspects(vms), need, now);
    known.push_back({job.policy.service, step.required_label, step.image, need, std::move(vms),
                     std::move(forecast), false, std::nullopt});
    return known.back();
}

wait_case job_scheduler::wait_case_of(const placement_request& request) const {
    const step_spec& step = *request.step;
    wait_case known;
    known.rack = step.preferred_rack;
    known.priority = request.job->policy.priority;
    known.need = step.need;
    known.run_time =
        scaled(milliseconds(step.estimate_ms), run_time_history_.near_ratio(step.image).mean);
    known.remote_factor =
        run_time_history_.remote_factor(step.image, locality_.settings().remote_factor);
    const job_task& task = request.job->occurrences[request.task.occurrence]
                               .steps[request.task.step]
                               .tasks[request.task.index];
    if (!task.progress.checkpoint.empty()) {
        known.restore_time = locality_.settings().restore_time;
    }
    known.due_in = due_in(*request.job, step);
    return known;
}

job_scheduler::near_choice job_scheduler::choose_near(placement_request request, boot_time now) {
    near_places& places = places_of(*request.job, *request.step, request.step->preferred_rack, now);
    request.candidates = &places.vms;
    vm_state* vm = places.full ? nullptr : placer_->choose(request, vms_, closed_domains_, now);
    if (vm != nullptr && vm->name == request.last_failed_vm) {
        return {};
    }
    if (vm != nullptr) {
        if (vm_state* const faster = faster_elsewhere(*vm, request, places, now)) {
            return {faster, false};
        }
    }
    if (vm == nullptr && !places.full) {
        // The VMs with room are excluded for this task alone, or run as many tasks of its step as
        // they may; the forecast does not cover this.
        if (!request.excluded.empty() || needs_chosen_vms(request.health) ||
            refused_for_health(request, places) ||
            (places.need.max_per_vm > 0 && places.forecast.free_places() > 0)) {
            return {};
        }
        if (places.forecast.free_places() > 0) {
            // Other tasks have taken the room in this pass.
            places.forecast = rack_forecast(without_suspects(places.vms), places.need, now);
        }
        // A filling task that accepts a slow place may find one where others do not, as may a
        // task that can be the trial of a suspect VM.
        places.full = places.need.max_per_vm == 0 &&
                      (!request.step->fills_idle_cpu || request.accept_slow) &&
                      (!request.health.enabled || request.health.may_be_trial);
    }
    std::size_t ahead = 0;
    // The trial of a suspect VM is none of the places that are waited for, and a task that few VMs
    // suit leaves none of them to others.
    const bool competes = vm != nullptr && !vm->health.suspect && !needs_chosen_vms(request.health);
    if (competes && locality_.is_awaited(request.step->preferred_rack)) {
        ahead = locality_.count_ahead(request.task, wait_case_of(request));
    }
    if (vm != nullptr && (ahead == 0 || ahead < places.forecast.free_places())) {
        if (!vm->health.suspect) {
            places.forecast.take(scaled(milliseconds(request.step->estimate_ms),
                                        run_time_history_.near_ratio(request.step->image).mean));
        }
        return {vm, false};
    }
    if (needs_chosen_vms(request.health)) {
        return {};
    }
    if (waits_near(request, places, ahead, now)) {
        return {nullptr, true};
    }
    if (vm == nullptr) {
        return {};
    }
    // The near place is left to another waiting task, unless there is no other place. The VM may
    // refuse that task, and this one has waited as long as it may.
    vm_state* const elsewhere = choose_elsewhere(request, places, now);
    return {elsewhere != nullptr ? elsewhere : vm, false};
}

bool job_scheduler::refused_for_health(const placement_request& request,
                                       const near_places& places) const {
    return request.health.enabled &&
           std::any_of(places.vms.begin(), places.vms.end(), [&](const vm_state* vm) {
               return !vm->health.suspect &&
                      obstacle_of(*vm, request, closed_domains_) == placement_obstacle::unproven_vm;
           });
}

vm_state* job_scheduler::choose_elsewhere(placement_request request, const near_places& places,
                                          boot_time now) {
    request.candidates = nullptr;
    for (const vm_state* const near : places.vms) {
        request.excluded.insert(near->name);
    }
    return placer_->choose(request, vms_, closed_domains_, now);
}

vm_state* job_scheduler::faster_elsewhere(const vm_state& near, const placement_request& request,
                                          const near_places& places, boot_time now) {
    if (!request.step->fills_idle_cpu) {
        return nullptr;
    }
    const double least =
        expected_speed(near, request) *
        run_time_history_.remote_factor(request.step->image, locality_.settings().remote_factor);
    if (least >= 1.0) {
        return nullptr;
    }
    vm_state* const elsewhere = choose_elsewhere(request, places, now);
    return elsewhere != nullptr && expected_speed(*elsewhere, request) > least ? elsewhere
                                                                               : nullptr;
}

double job_scheduler::speed_elsewhere(const placement_request& request, near_places& places,
                                      boot_time now) {
    if (!request.step->fills_idle_cpu) {
        return 1.0;
    }
    if (!places.speed_elsewhere) {
        const vm_state* const best = choose_elsewhere(request, places, now);
        places.speed_elsewhere = best == nullptr ? 0.0 : expected_speed(*best, request);
    }
    return *places.speed_elsewhere;
}

bool job_scheduler::waits_near(const placement_request& request, near_places& places,
                               std::size_t ahead, boot_time now) {
    const step_spec& step = *request.step;
    if (step.long_running || step.estimate_ms == 0) {
        return false;
    }
    wait_case known = wait_case_of(request);
    const double speed = speed_elsewhere(request, places, now);
    if (speed <= 0) {
        return false;
    }
    known.remote_factor /= speed;
    std::optional<boot_time> next;
    if (ahead == 0) {
        next = places.forecast.next();
    } else {
        // Those ahead take the places that are free now when their turn comes in this pass.
        rack_forecast after = places.forecast;
        for (std::size_t taken = 0; taken < ahead; ++taken) {
            after.take(known.run_time);
        }
        next = after.next();
    }
    if (next) {
        known.near_free_in = until(*next, now);
    }
    const wait_verdict verdict = locality_.decide(request.task, known, now);
    if (verdict == wait_verdict::start) {
        return false;
    }
    if (verdict == wait_verdict::begins) {
        record_wait_begin(request.task, known.rack);
    }
    places.forecast.take(known.run_time);
    return true;
}

bool job_scheduler::gang_waits(const job_entry& job, const task_ref& first,
                               const std::vector<std::string>& racks, boot_time now) {
    const step_spec& step = job.spec.steps[first.step];
    if (!locality_.is_enabled() || !step.rack_local || step.long_running || step.estimate_ms == 0) {
        return false;
    }
    // A gang with one attempt left waits for proven VMs instead, which the forecast does not tell.
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const task_ref member{first.job, first.occurrence, first.step, index};
        if (needs_chosen_vms(health_demand_of(job, member, now))) {
            return false;
        }
    }
    std::optional<boot_time> earliest;
    for (std::size_t k = 0; k < std::min(racks.size(), max_gang_racks); ++k) {
        if (racks[k].empty()) {
            continue;
        }
        const std::optional<boot_time> free =
            places_of(job, step, racks[k], now).forecast.when_free(step.count);
        if (free && (!earliest || *free < *earliest)) {
            earliest = free;
        }
    }
    placement_request request;
    request.job = &job;
    request.step = &step;
    request.task = first;
    wait_case known = wait_case_of(request);
    if (earliest) {
        known.near_free_in = until(*earliest, now);
    }
    const wait_verdict verdict = locality_.decide(first, known, now);
    if (verdict == wait_verdict::begins) {
        record_wait_begin(first, known.rack);
    }
    return verdict != wait_verdict::start;
}

void job_scheduler::record_wait_begin(const task_ref& task, const std::string& rack) {
    const near_wait& wait = *locality_.find(task, rack);
    record_decision(decision_kind::wait_begins,
                    "job=" + task.job + " task=" + to_string(task) + " rack=" + rack +
                        " near_end_ms=" + std::to_string(wait.near_end.count()) +
                        " remote_end_ms=" + std::to_string(wait.remote_end.count()) +
                        " until_ms=" + std::to_string(until(wait.until, wait.since).count()));
}

void job_scheduler::finish_wait(const task_ref& task, const std::string& rack, wait_end end,
                                boot_time now) {
    if (const std::optional<near_wait> wait = locality_.finish(task, rack, end, now)) {
        record_wait_end(task, *wait, end == wait_end::near ? "near" : "remote", now);
    }
}

void job_scheduler::record_wait_end(const task_ref& task, const near_wait& wait,
                                    std::string_view end, boot_time now) {
    record_decision(decision_kind::wait_ends,
                    "job=" + task.job + " task=" + to_string(task) + " end=" + std::string(end) +
                        " waited_ms=" + std::to_string(until(now, wait.since).count()) +
                        " near_end_ms=" + std::to_string(wait.near_end.count()) +
                        " remote_end_ms=" + std::to_string(wait.remote_end.count()));
}

void job_scheduler::expect_end(vm_state& vm, const task_attempt& run, const step_spec& step,
                               std::uint32_t percent, boot_time now) {
    if (!locality_.is_enabled() || step.long_running || step.estimate_ms == 0) {
        return;
    }
    const run_time_ratio& ratio = run_time_history_.near_ratio(step.image);
    const bool remote = !step.preferred_rack.empty() && vm.runner.rack != step.preferred_rack;
    const double factor =
        remote ? run_time_history_.remote_factor(step.image, locality_.settings().remote_factor)
               : 1.0;
    const milliseconds whole = scaled(milliseconds(step.estimate_ms), ratio.mean * factor);
    const double left = 1.0 - static_cast<double>(std::min<std::uint32_t>(percent, 100)) / 100.0;
    vm_run& known = vm.runs.at(run);
    known.expected_end = now + scaled(whole, left);
    known.likely_error = scaled(whole, ratio.spread * left);
}

void job_scheduler::learn_run_time(const vm_state& vm, const job_entry& job, const ended_run& end,
                                   boot_time now) {
    const tracked_run* const run = find_run(end.run);
    const step_spec& step = job.spec.steps[end.run.task.step];
    // The start of a run that was adopted or resumed from a checkpoint is not known.
    if (!locality_.is_enabled() || run == nullptr || run->order_number == 0 ||
        end.outcome != run_outcome::done || step.long_running || step.gang ||
        !jobs_.find_task(end.run.task)->progress.checkpoint.empty()) {
        return;
    }
    const bool remote = !step.preferred_rack.empty() && vm.runner.rack != step.preferred_rack;
    run_time_history_.record(step.image, remote, milliseconds(step.estimate_ms),
                             now - run->started_at);
}

void job_scheduler::move_tasks_near(boot_time now) {
    if (!locality_.is_enabled()) {
        return;
    }
    std::size_t moved = 0;
    for (const job_entry* const job : jobs_.unfinished()) {
        for (const auto& [k, occurrence] : job->occurrences) {
            for (std::uint32_t s = 0; s < job->spec.steps.size(); ++s) {
                const step_spec& step = job->spec.steps[s];
                if (step.preferred_rack.empty() || step.estimate_ms == 0 || step.long_running ||
                    step.gang || step.speculative || step.fills_idle_cpu ||
                    locality_.is_awaited(step.preferred_rack)) {
                    continue;
                }
                for (std::uint32_t i = 0; i < step.count; ++i) {
                    if (moved >= settings_.max_concurrent_moves) {
                        return;
                    }
                    moved += move_task_near(*job, {job->spec.id, k, s, i}, now) ? 1 : 0;
                }
            }
        }
    }
}

bool job_scheduler::move_task_near(const job_entry& job, const task_ref& task, boot_time now) {
    job_task& state = *jobs_.find_task(task);
    if (state.moved_near || state.runs.size() != 1 || state.runs.front().stopping ||
        !state.runs.front().was_listed) {
        return false;
    }
    const tracked_run& run = state.runs.front();
    const auto present = vms_.find(run.vm);
    placement_request request;
    request.job = &job;
    request.step = &job.spec.steps[task.step];
    request.task = task;
    request.last_failed_vm = state.failed_on;
    request.pressures = &pressures_;
    set_room_terms(request);
    request.health = health_demand_of(job, task, now);
    if (present == vms_.end() || present->second.runner.rack == request.step->preferred_rack) {
        return false;
    }
    const auto here = present->second.runs.find({task, run.attempt});
    if (here == present->second.runs.end() || here->second.expected_end == boot_time::max()) {
        return false;
    }
    const milliseconds whole = scaled(milliseconds(request.step->estimate_ms),
                                      run_time_history_.near_ratio(request.step->image).mean);
    milliseconds near_end = stop_round_trip + whole;
    if (!state.progress.checkpoint.empty()) {
        const double left = 1.0 - std::min<std::uint32_t>(run.percent, 100) / 100.0;
        near_end = stop_round_trip + locality_.settings().restore_time + scaled(whole, left);
    }
    const milliseconds present_end = until(expected_end_of(here->second, now), now);
    if (near_end + scaled(whole, min_move_gain) >= present_end) {
        return false;
    }
    near_places& places = places_of(job, *request.step, request.step->preferred_rack, now);
    request.candidates = &places.vms;
    const vm_state* const near = placer_->choose(request, vms_, closed_domains_, now);
    if (near == nullptr || near->name == state.failed_on || near->health.suspect) {
        return false;
    }
    places.forecast.take(whole);
    record_decision(decision_kind::move_near,
                    "job=" + task.job + " task=" + to_string(task) + " vm=" + run.vm +
                        " rack=" + request.step->preferred_rack +
                        " near_end_ms=" + std::to_string(near_end.count()) +
                        " present_end_ms=" + std::to_string(present_end.count()));
    state.moved_near = true;
    order_stop(present->second, {task, run.attempt}, now);
    return true;
}

} // namespace egretstile
