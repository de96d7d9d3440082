#include <egretstile/core/job/job_scheduler.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace egretstile {

namespace {

/// Number of attempts that one leader may make for a task. Each leader's attempt numbers begin
/// above the range of the previous one, because it cannot know all starts that are still under way.
constexpr attempt_number attempts_of_epoch = 1000;

/// Whether the job can still meet its objective. Jobs that can come first; jobs whose result will
/// be too late to be of use to the caller come last.
enum class timeliness : std::uint8_t { in_time, late, too_late };

/// A job that takes longer than its objective is late up to this multiple of it, and too late
/// beyond.
constexpr double late_factor = 3.0;

/// Tasks with one attempt left of one step for which a VM is searched in one pass. The other ones
/// mostly wait for the same VMs.
constexpr std::size_t max_refused_last_attempts = 4;

/// First open occurrence that is not done. Precondition: the job has an open occurrence.
const occurrence_state& current_occurrence(const job_entry& job) {
    const auto found = std::find_if(job.occurrences.begin(), job.occurrences.end(),
                                    [](const auto& row) { return !row.second.is_done(); });
    return found == job.occurrences.end() ? std::prev(found)->second : found->second;
}

/// Expected run time of one task of the step in milliseconds; zero when all tasks are done.
double remaining_run_time(const job_entry& job, const step_spec& step, const step_state& state,
                          const run_time_model* run_times) {
    if (state.done_count == state.tasks.size()) {
        return 0.0;
    }
    const bool learned = run_times != nullptr && step.fills_idle_cpu;
    return (learned ? run_times->ratio(job.spec.queue) : 1.0) * step.estimate_ms;
}

/// Largest sum of the run times that are left along a chain of dependent steps of the occurrence.
/// `run_times` is null when tasks are expected to take as long as estimated.
milliseconds remaining_critical_path(const job_entry& job, const occurrence_state& occurrence,
                                     const run_time_model* run_times) {
    milliseconds longest(0);
    std::vector<milliseconds> path_lengths(job.spec.steps.size(), milliseconds(0));
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        milliseconds before(0);
        for (const std::uint32_t earlier : job.spec.steps[step].after) {
            before = std::max(before, path_lengths[earlier]);
        }
        path_lengths[step] =
            before + milliseconds(static_cast<std::int64_t>(remaining_run_time(
                         job, job.spec.steps[step], occurrence.steps[step], run_times)));
        longest = std::max(longest, path_lengths[step]);
    }
    return longest;
}

/// Wall-clock time in milliseconds since 1970 at which the occurrence has taken `multiple` times
/// the job's objective.
std::int64_t objective_end_ms(const job_entry& job, const occurrence_state& occurrence,
                              double multiple) {
    const double objective =
        static_cast<double>(job.critical_path.count()) * job.policy.slack_factor +
        static_cast<double>(job.policy.target_completion.count());
    // The objective of a scheduled occurrence counts from its due time, not from the acceptance.
    return std::max(job.spec.accepted_at_ms, occurrence.due_ms) +
           static_cast<std::int64_t>(objective * multiple);
}

/// Placement order of jobs: by priority, then by timeliness, then by the time at which the job
/// should be done, then by id.
struct job_rank {
    std::uint32_t priority{0};
    timeliness timely{timeliness::in_time};
    std::int64_t objective_ms{0};
    job_entry* job{nullptr};

    friend bool operator<(const job_rank& left, const job_rank& right) {
        return std::tie(left.priority, left.timely, left.objective_ms, left.job->spec.id) <
               std::tie(right.priority, right.timely, right.objective_ms, right.job->spec.id);
    }
};

job_rank rank_of(job_entry& job, std::int64_t wall_ms, const run_time_model* run_times) {
    const occurrence_state& occurrence = current_occurrence(job);
    const std::int64_t expected_end_ms =
        wall_ms + remaining_critical_path(job, occurrence, run_times).count();
    job_rank rank;
    rank.priority = job.policy.priority;
    rank.objective_ms = objective_end_ms(job, occurrence, 1.0);
    rank.job = &job;
    if (expected_end_ms > rank.objective_ms) {
        rank.objective_ms = objective_end_ms(job, occurrence, late_factor);
        rank.timely = expected_end_ms > rank.objective_ms ? timeliness::too_late : timeliness::late;
    }
    // Jobs without estimated run times, such as long-running ones, have no end to be late for.
    if (job.critical_path.count() == 0) {
        rank.timely = timeliness::in_time;
    }
    return rank;
}

std::int64_t age_ms(boot_time from, boot_time now) {
    return std::chrono::duration_cast<milliseconds>(now - from).count();
}

/// `run_times` is null when tasks are expected to take as long as estimated.
std::vector<job_rank> sorted_by_rank(const job_set& jobs, std::int64_t wall_ms,
                                     const run_time_model* run_times) {
    std::vector<job_rank> ranks;
    ranks.reserve(jobs.size());
    for (job_entry* const job : jobs) {
        // A schedule between two due times has nothing to place.
        if (job->occurrences.begin() != job->occurrences.end()) {
            ranks.push_back(rank_of(*job, wall_ms, run_times));
        }
    }
    std::sort(ranks.begin(), ranks.end());
    return ranks;
}

} // namespace

std::optional<milliseconds> job_scheduler::due_in(const job_entry& job,
                                                  const step_spec& step) const {
    if (job.critical_path.count() == 0) {
        return std::nullopt;
    }
    const occurrence_state& occurrence = current_occurrence(job);
    const milliseconds later_steps =
        remaining_critical_path(job, occurrence, nullptr) - milliseconds(step.estimate_ms);
    return milliseconds(objective_end_ms(job, occurrence, 1.0) - pass_wall_ms_) - later_steps;
}

const run_time_model* job_scheduler::learned_run_times() const {
    return settings_.place_by_contention ? &run_times_ : nullptr;
}

milliseconds job_scheduler::spare_time(const job_entry& job, std::int64_t wall_ms) const {
    const occurrence_state& occurrence = current_occurrence(job);
    return milliseconds(objective_end_ms(job, occurrence, 1.0) - wall_ms) -
           remaining_critical_path(job, occurrence, learned_run_times());
}

void job_scheduler::schedule(boot_time now, std::int64_t wall_ms) {
    pass_wall_ms_ = wall_ms;
    jobs_.update_occurrences(wall_ms, settings_.job_memory_limit);
    give_up_silent_vms(now);
    exclude_overdue_vms(now);
    move_off_draining_vms(now);
    if (now >= checkpoints_marked_at_ + settings_.checkpoint_interval) {
        checkpoints_marked_at_ = now;
        mark_new_progress();
    }
    if (!check_starts_allowed(now)) {
        return;
    }
    begin_locality_pass(now);
    if (now >= moves_considered_at_ + settings_.move_interval) {
        moves_considered_at_ = now;
        move_stalled_tasks(now);
        move_tasks_near(now);
    }
    start_waiting_tasks(now, wall_ms);
}

boot_time job_scheduler::starts_allowed_until() const {
    return closed_domains_confirmed_at_ == boot_time()
               ? boot_time()
               : closed_domains_confirmed_at_ + settings_.closure_age_limit;
}

bool job_scheduler::check_starts_allowed(boot_time now) {
    const bool allowed = now < starts_allowed_until();
    if (starts_paused_ == allowed) {
        starts_paused_ = !allowed;
        const std::string age = closed_domains_confirmed_at_ == boot_time()
                                    ? "never"
                                    : std::to_string(age_ms(closed_domains_confirmed_at_, now));
        record_decision(allowed ? decision_kind::starts_resumed : decision_kind::starts_paused,
                        "closed_domains_age_ms=" + age +
                            " limit_ms=" + std::to_string(settings_.closure_age_limit.count()));
    }
    return allowed;
}

void job_scheduler::mark_new_progress() {
    for (job_entry* const job : jobs_.unfinished()) {
        if (job->has_unmarked_progress) {
            jobs_.mark_changed(*job);
        }
    }
}

void job_scheduler::give_up_silent_vms(boot_time now) {
    for (auto& [name, vm] : vms_) {
        // A VM may be silent because it reports to a later leader, which has adopted its runs.
        const bool still_leader = leadership_confirmed_at_ >= vm.may_run_until;
        if (!vm.runs.empty() && now >= vm.may_run_until && still_leader) {
            give_up_runs(vm, {}, now, "silent");
            vm.usable = false;
        }
    }
    for (auto expected = expected_vms_.begin(); expected != expected_vms_.end();) {
        // A VM that has not reported here may have reported to a later leader.
        if (now >= expected->second && leadership_confirmed_at_ >= expected->second) {
            record_decision(decision_kind::vm_stays_silent, "vm=" + expected->first);
            expected = expected_vms_.erase(expected);
        } else {
            ++expected;
        }
    }
}

void job_scheduler::exclude_overdue_vms(boot_time now) {
    for (auto& [name, vm] : vms_) {
        vm.pacing.advance(now);
        if (vm.usable && now >= vm.reported_at + settings_.report_age_limit) {
            vm.usable = false;
            record_decision(decision_kind::vm_overdue,
                            "vm=" + name + " runs=" + std::to_string(vm.runs.size()) +
                                " report_age_ms=" + std::to_string(age_ms(vm.reported_at, now)));
        }
    }
}

std::vector<vm_name> job_scheduler::expected_vms() const {
    std::vector<vm_name> names;
    for (const auto& [name, silent_until] : expected_vms_) {
        names.push_back(name);
    }
    return names;
}

std::vector<vm_name> job_scheduler::idle_vms(boot_time now) const {
    std::vector<vm_name> names;
    for (const auto& [name, vm] : vms_) {
        const bool runs_expired =
            now >= vm.may_run_until && leadership_confirmed_at_ >= vm.may_run_until;
        const bool silent = now >= vm.reported_at + settings_.forget_after;
        const bool gone = vm.lapsed_since != boot_time() &&
                          now >= vm.lapsed_since + settings_.forget_lapsed_after;
        if (vm.runs.empty() && ((runs_expired && silent) || gone) &&
            expected_vms_.count(name) == 0) {
            names.push_back(name);
        }
    }
    return names;
}

void job_scheduler::start_waiting_tasks(boot_time now, std::int64_t wall_ms) {
    unplaceable_.clear();
    half_idle_.clear();
    std::set<std::string> contended;
    for (const job_rank& rank : sorted_by_rank(jobs_.unfinished(), wall_ms, learned_run_times())) {
        job_entry* const job = rank.job;
        for (const auto& [k, occurrence] : job->occurrences) {
            if (occurrence.due_ms > wall_ms) {
                break;
            }
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                if (occurrence.steps[s].waiting.empty() || !is_step_ready(*job, occurrence, s)) {
                    continue;
                }
                const step_spec& step = job->spec.steps[s];
                const bool had_room =
                    step.gang ? start_gang(*job, k, s, now) : start_step(*job, k, s, now);
                if (!had_room && step.fills_idle_cpu && !step.long_running &&
                    rank.timely != timeliness::too_late) {
                    contended.insert(job->policy.service);
                }
            }
        }
    }
    contended_services_ = std::move(contended);
}

bool job_scheduler::is_contended(const std::string& service) const {
    return settings_.place_by_contention && contended_services_.count(service) != 0;
}

double job_scheduler::placement_headroom(const std::string& service) const {
    return is_contended(service) ? sharing_model{}.contended_placement_headroom
                                 : sharing_model{}.min_placement_headroom;
}

void job_scheduler::set_room_terms(placement_request& request) const {
    const std::string& service = request.job->policy.service;
    request.placement_headroom = placement_headroom(service);
    request.min_speed = is_contended(service) ? sharing_model{}.contended_start_speed
                                              : sharing_model{}.min_start_speed;
}

bool job_scheduler::start_step(job_entry& job, std::uint32_t occurrence, std::uint32_t step,
                               boot_time now) {
    const std::set<std::uint32_t> waiting = job.occurrences[occurrence].steps[step].waiting;
    std::size_t refused = 0;
    for (const std::uint32_t index : waiting) {
        const task_ref task{job.spec.id, occurrence, step, index};
        const job_task& state = *jobs_.find_task(task);
        if (state.retry_at > now || may_have_unreported_run(job, state)) {
            continue;
        }
        const bool last_attempt = is_last_attempt(job, task);
        if (last_attempt && refused >= max_refused_last_attempts) {
            begin_proof_wait(job, task, now);
            continue;
        }
        if (start_task(job, task, now) != start_result::no_room) {
            continue;
        }
        record_waiting_step(job, occurrence, step, now);
        if (!last_attempt) {
            return false;
        }
        // Tasks with attempts to spare may start where this one must not.
        begin_proof_wait(job, task, now);
        ++refused;
    }
    return true;
}

void job_scheduler::record_waiting_step(job_entry& job, std::uint32_t occurrence,
                                        std::uint32_t step, boot_time now) {
    step_state& state = job.occurrences[occurrence].steps[step];
    if (std::exchange(state.waiting_recorded, true)) {
        return;
    }
    std::size_t usable = 0;
    std::int64_t free_millicores = 0;
    boot_time oldest_report = now;
    for (const auto& [name, vm] : vms_) {
        if (vm.usable && vm.runner.service == job.policy.service &&
            has_label(vm, job.spec.steps[step].required_label)) {
            ++usable;
            free_millicores += std::max<std::int64_t>(vm.free_millicores(), 0);
            oldest_report = std::min(oldest_report, vm.reported_at);
        }
    }
    record_decision(
        decision_kind::step_waits,
        "job=" + job.spec.id + " step=" + std::to_string(occurrence) + "." + std::to_string(step) +
            " waiting=" + std::to_string(state.waiting.size()) +
            " need_millicores=" + std::to_string(job.spec.steps[step].need.cpu_millicores) +
            " required_label=" + job.spec.steps[step].required_label + " usable_vms=" +
            std::to_string(usable) + " free_millicores=" + std::to_string(free_millicores) +
            " oldest_report_ms=" + std::to_string(age_ms(oldest_report, now)) +
            " config=" + std::to_string(config_.version));
}

bool job_scheduler::may_have_unreported_run(const job_entry& job, const job_task& task) const {
    return is_recovering() && job.spec.accepted_epoch < epoch_ && !task.located;
}

bool job_scheduler::is_unplaceable(const job_entry& job, const step_spec& step) const {
    if (!step.fills_idle_cpu) {
        return false;
    }
    const auto failed = unplaceable_.find({job.policy.service, step.image});
    return failed != unplaceable_.end() && fits(failed->second, step.need);
}

job_scheduler::start_result job_scheduler::start_task(job_entry& job, const task_ref& task,
                                                      boot_time now) {
    const job_task& state = *jobs_.find_task(task);
    placement_request request;
    request.job = &job;
    request.step = &job.spec.steps[task.step];
    request.task = task;
    request.last_failed_vm = state.failed_on;
    request.pressures = &pressures_;
    set_room_terms(request);
    request.health = health_demand_of(job, task, now);
    for (const tracked_run& run : state.runs) {
        request.excluded.insert(run.vm);
    }
    if (request.step->fills_idle_cpu && !has_runs(job)) {
        const auto known = half_idle_.find(job.policy.service);
        request.accept_slow =
            known == half_idle_.end()
                ? half_idle_.emplace(job.policy.service, is_half_idle(job.policy.service))
                      .first->second
                : known->second;
    }
    if (!request.accept_slow && is_unplaceable(job, *request.step)) {
        return start_result::no_room;
    }
    near_choice near;
    if (locality_.is_enabled()) {
        request.wanted_racks = &locality_.wanted_racks();
        if (!request.step->preferred_rack.empty()) {
            near = choose_near(request, now);
        }
    }
    if (near.waits) {
        return start_result::waits_near;
    }
    vm_state* const vm =
        near.vm != nullptr ? near.vm : placer_->choose(request, vms_, closed_domains_, now);
    if (vm == nullptr) {
        // Tasks that wait ahead may be refused the near place for their health demand. Their waits
        // must end then, or they would keep the place from all others for ever.
        if (!request.health.enabled) {
            locality_.renew_without_alternative(task, request.step->preferred_rack, now);
        }
        if (request.health.enabled && !request.health.may_be_trial) {
            health_.note_waiting(job.policy.service, now);
        }
        // A task with one attempt left is refused VMs that others of its image may take.
        if (request.step->fills_idle_cpu && !is_last_attempt(job, task)) {
            unplaceable_[{job.policy.service, request.step->image}] = request.step->need;
        }
        return start_result::no_room;
    }
    order_start(job, task, next_attempt(job, state.progress), *vm, now);
    finish_wait(task, request.step->preferred_rack,
                vm->runner.rack == request.step->preferred_rack ? wait_end::near : wait_end::remote,
                now);
    return start_result::started;
}

void job_scheduler::order_start(job_entry& job, const task_ref& task, attempt_number attempt,
                                vm_state& vm, boot_time now) {
    job_task& state = *jobs_.find_task(task);
    const step_spec& step = job.spec.steps[task.step];
    vm.add_run({task, attempt}, needs_of(step));
    expect_end(vm, {task, attempt}, step, 0, now);
    update_consumed_headroom(vm);
    vm.pacing.note_ordered(now);
    note_started(vm, {task, attempt}, now);
    tracked_run run;
    run.attempt = attempt;
    run.vm = vm.name;
    run.order_number = vm.orders_sent + 1;
    run.started_at = now;
    run.progressed_at = now;
    run.attributes_known = true;
    run.runs_whole_task = state.progress.checkpoint.empty();
    state.progress.last_attempt = std::max(state.progress.last_attempt, attempt);
    job_table::add_run(job, task, std::move(run));
    start_order order = attributes_of(job, {task, attempt});
    order.payload = job.spec.payload;
    order.checkpoint = state.progress.checkpoint;
    outboxes_[vm.name].starts.push_back(std::move(order));
    record_decision(decision_kind::start_task,
                    "job=" + task.job + " task=" + to_string(task) +
                        " attempt=" + std::to_string(attempt) + " vm=" + vm.name +
                        " free_millicores=" + std::to_string(vm.free_millicores()) +
                        " report_age_ms=" + std::to_string(age_ms(vm.reported_at, now)) +
                        " config=" + std::to_string(config_.version));
}

attempt_number job_scheduler::next_attempt(const job_entry& job,
                                           const task_progress& progress) const {
    const epoch_number epochs = epoch_ - std::min(epoch_, job.spec.accepted_epoch);
    return std::max(progress.last_attempt,
                    static_cast<attempt_number>(epochs) * attempts_of_epoch) +
           1;
}

} // namespace egretstile
