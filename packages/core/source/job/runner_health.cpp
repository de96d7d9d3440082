#include <egretstile/core/job/runner_health.hpp>

#include <algorithm>
#include <set>

namespace egretstile {

namespace {

/// Most failures that are kept for each VM.
constexpr std::size_t max_ends = 16;
/// Most steps whose ends are kept; the one that ended longest ago is removed first.
constexpr std::size_t max_steps = 2000;
constexpr std::uint32_t quick_points = 2;
constexpr std::uint32_t late_points = 1;
/// Estimate that is assumed for a task without one.
constexpr milliseconds default_estimate(2000);

} // namespace

health_verdict judge_start(const vm_health& health, const vm_name& vm,
                           const health_demand& demand) {
    if (!demand.enabled) {
        return health_verdict::may_start;
    }
    if (health.suspect) {
        return demand.may_be_trial && !health.has_trial && demand.now >= health.trial_at
                   ? health_verdict::may_start
                   : health_verdict::suspect;
    }
    const bool proven = demand.now < health.proven_until;
    if (demand.needs_proof && (!proven || health.quick_failures > 0)) {
        return health_verdict::unproven;
    }
    // One quick failure on a proven VM may be due to chance.
    const bool limited = !proven || health.quick_failures > 1;
    if (demand.limits_open_starts && limited &&
        (health.open_starts >= health.max_open_starts || demand.now < health.paused_until)) {
        return health_verdict::unproven;
    }
    const bool refused = demand.refuses_failed_vms &&
                         std::find(demand.failed_vms.begin(), demand.failed_vms.end(), vm) !=
                             demand.failed_vms.end();
    return refused ? health_verdict::unproven : health_verdict::may_start;
}

runner_health::runner_health(const runner_health_settings& settings)
    : settings_(settings) {}

std::vector<health_change> runner_health::note_report(const vm_name& vm,
                                                      const runner_registration& runner,
                                                      std::uint32_t done, std::uint32_t failed,
                                                      boot_time now) {
    record& known = records_[vm];
    known.service = runner.service;
    if (known.instance == runner.instance) {
        return {};
    }
    const bool first = known.instance.empty();
    const bool was_suspect = known.suspect;
    known = record();
    known.instance = runner.instance;
    known.service = runner.service;
    if (done > 0) {
        known.proven_until = now + settings_.proof_age;
    }
    known.reported_failing = first && done == 0 && failed >= settings_.reported_failures;
    if (known.reported_failing) {
        last_failures_[runner.service] = now;
    }
    return was_suspect ? std::vector<health_change>{{vm, false, "new_instance"}}
                       : std::vector<health_change>{};
}

void runner_health::remove_vm(const vm_name& vm) {
    records_.erase(vm);
    for (auto& [step, ends] : steps_) {
        ends.done_and_failed.erase(vm);
    }
}

void runner_health::note_start(const vm_name& vm, const task_attempt& run, boot_time now) {
    record& known = records_[vm];
    known.open[run] = now;
    known.started[run] = now;
    if (known.suspect && !known.has_trial) {
        known.has_trial = true;
        known.trial = run;
    }
}

void runner_health::note_active(const vm_name& vm, const task_attempt& run, boot_time now) {
    const auto found = records_.find(vm);
    if (found == records_.end()) {
        return;
    }
    record& known = found->second;
    const auto open = known.open.find(run);
    if (open != known.open.end() && now >= open->second + settings_.settle_time) {
        refute_failures(known, open->second, false);
        known.open.erase(open);
    }
}

void runner_health::refute_failures(record& known, boot_time started_at, bool done) {
    std::erase_if(known.failures, [&](const past_end& failure) {
        return failure.started_at <= started_at && (done || failure.quick);
    });
}

std::vector<health_change> runner_health::note_end(const vm_name& vm, const task_attempt& run,
                                                   run_outcome outcome, milliseconds estimate,
                                                   boot_time now) {
    record& known = records_[vm];
    const auto start = known.started.find(run);
    const bool seen = start != known.started.end();
    const boot_time started_at = seen ? start->second : now;
    if (seen) {
        known.started.erase(start);
    }
    const bool survived = known.open.erase(run) == 0;
    const step_key step{run.task.job, run.task.step};
    if (outcome == run_outcome::done) {
        note_step_end(vm, step, true, now);
        // The start of a run of an earlier leader is not known, so it refutes nothing.
        if (seen) {
            refute_failures(known, started_at, true);
        }
        known.reported_failing = false;
        known.proven_until = now + settings_.proof_age;
    } else if (outcome == run_outcome::failed) {
        note_step_end(vm, step, false, now);
        last_failures_[known.service] = now;
        known.last_failure = now;
        const milliseconds expected = estimate.count() == 0 ? default_estimate : estimate;
        const milliseconds quick =
            std::chrono::duration_cast<milliseconds>(expected * settings_.quick_share) +
            settings_.report_delay;
        known.failures.push_back({step, started_at, now, !survived && now - started_at <= quick});
        if (known.failures.size() > max_ends) {
            known.failures.pop_front();
        }
    }
    if (!known.has_trial || !(known.trial == run)) {
        return {};
    }
    end_trial(known, outcome, now);
    if (known.good_trials < settings_.trials_to_trust) {
        return {};
    }
    trust(known);
    return {{vm, false, "trials"}};
}

void runner_health::end_trial(record& known, run_outcome outcome, boot_time now) const {
    known.has_trial = false;
    if (outcome == run_outcome::done) {
        ++known.good_trials;
        known.trial_at = now;
        return;
    }
    if (outcome == run_outcome::failed) {
        known.good_trials = 0;
        known.pause = std::min(known.pause * 2, settings_.longest_pause);
    }
    known.trial_at = now + known.pause;
}

void runner_health::note_dropped(const vm_name& vm, const task_attempt& run, boot_time now) {
    const auto found = records_.find(vm);
    if (found == records_.end()) {
        return;
    }
    record& known = found->second;
    known.open.erase(run);
    known.started.erase(run);
    if (known.has_trial && known.trial == run) {
        end_trial(known, run_outcome::lapsed, now);
    }
}

void runner_health::note_step_end(const vm_name& vm, const step_key& step, bool done,
                                  boot_time now) {
    if (steps_.size() >= max_steps && steps_.count(step) == 0) {
        steps_.erase(
            std::min_element(steps_.begin(), steps_.end(), [](const auto& left, const auto& right) {
                return left.second.last_end < right.second.last_end;
            }));
    }
    step_record& ends = steps_[step];
    ends.last_end = now;
    std::pair<std::uint32_t, std::uint32_t>& counts = ends.done_and_failed[vm];
    ++(done ? counts.first : counts.second);
}

bool runner_health::fails_several_jobs(const record& known) const {
    std::set<job_id> jobs;
    for (const past_end& failure : known.failures) {
        if (failure.quick) {
            jobs.insert(failure.step.first);
        }
    }
    return jobs.size() > 1;
}

bool runner_health::fails_elsewhere(const step_key& step, const vm_name& vm) const {
    const auto found = steps_.find(step);
    if (found == steps_.end()) {
        return false;
    }
    std::uint32_t done = 0;
    std::uint32_t failed = 0;
    for (const auto& [name, counts] : found->second.done_and_failed) {
        const auto other = records_.find(name);
        const bool at_fault =
            other != records_.end() && (other->second.suspect || fails_several_jobs(other->second));
        if (name != vm && !at_fault) {
            done += counts.first;
            failed += counts.second;
        }
    }
    return failed > done;
}

bool runner_health::is_failing(const vm_name& vm, boot_time now) const {
    const auto found = records_.find(vm);
    if (found == records_.end()) {
        return false;
    }
    const record& known = found->second;
    if (known.reported_failing) {
        return true;
    }
    if (known.failures.empty()) {
        return false;
    }
    std::map<job_id, std::uint32_t> points_of_jobs;
    for (const past_end& failure : known.failures) {
        const bool recent = now - failure.ended_at <= settings_.evidence_age;
        // A run that was started at the same time may still be reported as active.
        const bool settled = now >= failure.started_at + settings_.settle_time;
        if (recent && settled && !fails_elsewhere(failure.step, vm)) {
            std::uint32_t& points = points_of_jobs[failure.step.first];
            points = std::min(points + (failure.quick ? quick_points : late_points),
                              settings_.max_points_of_job);
        }
    }
    std::uint32_t total = 0;
    for (const auto& [job, points] : points_of_jobs) {
        total += points;
    }
    return total >= settings_.suspect_points;
}

std::vector<health_change> runner_health::end_overdue_suspicion(const vm_name& vm, boot_time now) {
    const auto found = records_.find(vm);
    if (found == records_.end() || !found->second.suspect || found->second.has_trial ||
        now < found->second.trial_at + settings_.longest_trial_wait) {
        return {};
    }
    const auto waiting = waiting_at_.find(found->second.service);
    if (waiting == waiting_at_.end() || now - waiting->second > settings_.first_pause) {
        return {};
    }
    trust(found->second);
    return {{vm, false, "no_trial_task"}};
}

std::vector<health_change> runner_health::judge(const vm_name& vm, std::size_t ready_vms,
                                                boot_time now) {
    const auto judged = records_.find(vm);
    if (judged == records_.end() || !is_failing(vm, now)) {
        return {};
    }
    std::size_t failing = 0;
    std::vector<vm_name> suspects;
    for (const auto& [name, known] : records_) {
        if (known.service != judged->second.service) {
            continue;
        }
        if (known.suspect) {
            suspects.push_back(name);
        }
        failing += known.suspect || is_failing(name, now) ? 1 : 0;
    }
    std::vector<health_change> changes;
    if (2 * failing > ready_vms) {
        for (const vm_name& name : suspects) {
            record& suspect = records_[name];
            // Its failures still count, in case the other VMs recover and this one does not.
            const std::deque<past_end> failures = suspect.failures;
            const bool reported_failing = suspect.reported_failing;
            trust(suspect);
            suspect.failures = failures;
            suspect.reported_failing = reported_failing;
            changes.push_back({name, false, "most_vms_fail"});
        }
        return changes;
    }
    const std::size_t limit = std::max<std::size_t>(ready_vms / 4, 1);
    if (judged->second.suspect || suspects.size() >= limit) {
        return {};
    }
    const std::string reason = judged->second.reported_failing ? "reported_ends" : "failed_runs";
    make_suspect(judged->second, now);
    return {{vm, true, reason}};
}

void runner_health::make_suspect(record& known, boot_time now) const {
    known.suspect = true;
    known.has_trial = false;
    known.good_trials = 0;
    known.pause = settings_.first_pause;
    known.trial_at = now + known.pause;
}

void runner_health::trust(record& known) {
    known.suspect = false;
    known.reported_failing = false;
    known.has_trial = false;
    known.good_trials = 0;
    known.failures.clear();
}

std::uint32_t runner_health::quick_failures(const record& known) {
    return static_cast<std::uint32_t>(
        std::count_if(known.failures.begin(), known.failures.end(),
                      [](const past_end& failure) { return failure.quick; }));
}

bool runner_health::has_recent_failure(const std::string& service, boot_time now) const {
    const auto found = last_failures_.find(service);
    return found != last_failures_.end() && now - found->second <= settings_.proof_age;
}

vm_health runner_health::health_of(const vm_name& vm) const {
    vm_health health;
    const auto found = records_.find(vm);
    if (found == records_.end()) {
        health.max_open_starts = settings_.unproven_starts;
        return health;
    }
    const record& known = found->second;
    health.suspect = known.suspect;
    health.has_trial = known.has_trial;
    health.trial_at = known.trial_at;
    health.proven_until = known.proven_until;
    health.open_starts = static_cast<std::uint32_t>(known.open.size());
    // A VM that reports failures only counts as one that has failed several runs.
    health.quick_failures =
        known.reported_failing ? settings_.reported_failures : quick_failures(known);
    health.max_open_starts =
        health.quick_failures > 0 ? settings_.failing_starts : settings_.unproven_starts;
    if (health.quick_failures * quick_points >= settings_.suspect_points) {
        health.paused_until = known.last_failure + settings_.first_pause;
    }
    return health;
}

} // namespace egretstile
