#include "soak_run.hpp"

#include "wait_until.hpp"

#include <egretstile/core/job/job_progress.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

namespace egretstile::soak {

namespace {

using namespace platform::standins;

constexpr std::size_t callers = 3;
/// Pause between two checks while faults are played.
constexpr milliseconds check_interval{200};
constexpr milliseconds follow_interval{20};
constexpr milliseconds claim_interval{2000};
/// All jobs have to be complete this long after the end of the faults.
constexpr milliseconds completion_bound{60000};
constexpr std::size_t submissions = 6;
constexpr milliseconds submission_pause{300};
/// Status of a gateway timeout: the entry does not know whether the job was stored.
constexpr int unknown_status = 504;
constexpr int accepted_status = 200;

std::function<milliseconds(const std::string&)> durations_of(const soak_plan& plan) {
    std::map<std::string, milliseconds> durations;
    for (const planned_job& job : plan.jobs) {
        durations[job.id] = job.task_duration;
    }
    return [durations](const std::string& task) {
        // The task's name begins with the job's id and a dot.
        const auto found = durations.find(task.substr(0, task.find('.')));
        return found == durations.end() ? milliseconds(100) : found->second;
    };
}

registry_options registry_options_of(const soak_options& options, const soak_plan& plan) {
    registry_options shape;
    shape.entries = options.entries;
    shape.vms = options.vms;
    shape.duration = durations_of(plan);
    return shape;
}

} // namespace

soak_run::soak_run(const soak_options& options, const soak_plan& plan)
    : options_(options)
    , plan_(plan)
    , registry_(registry_options_of(options, plan))
    , entries_away_(options.entries)
    , agents_away_(options.vms)
    , jobs_(plan.jobs.size()) {
    if (!registry_.wait_ready()) {
        throw std::runtime_error("the deployment does not get ready");
    }
}

soak_result soak_run::run() {
    started_at_ = std::chrono::steady_clock::now();
    std::vector<std::future<void>> calls;
    for (std::size_t number = 0; number < callers; ++number) {
        calls.push_back(std::async(std::launch::async, [this, number] { play_caller(number); }));
    }
    threads_.push_back(std::async(std::launch::async, [this] { follow_jobs(); }));
    play_faults();
    const milliseconds faults_ended = elapsed();
    for (const std::future<void>& call : calls) {
        call.wait();
    }
    harness::wait_until(
        [this] {
            check_processes();
            check_history();
            std::this_thread::sleep_for(check_interval);
            return all_complete();
        },
        faults_ended + completion_bound - elapsed());
    const milliseconds settling = elapsed() - faults_ended;
    ended_ = true;
    threads_.clear();
    check_history();
    check_completion();
    check_refused_jobs();

    const std::lock_guard<std::mutex> lock(mutex_);
    soak_result result;
    for (const job_view& job : jobs_) {
        result.accepted += job.submission == answer::accepted ? 1 : 0;
        result.refused += job.submission == answer::refused ? 1 : 0;
        result.unknown += job.submission == answer::unknown ? 1 : 0;
        result.cancelled += job.cancelled ? 1 : 0;
    }
    for (const run_event& event : registry_.history().events()) {
        result.starts += event.kind == run_event_kind::started ? 1 : 0;
    }
    result.settling = settling;
    result.violations = violations_;
    return result;
}

milliseconds soak_run::elapsed() const {
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - started_at_);
}

void soak_run::wait_for(milliseconds time) const {
    std::this_thread::sleep_until(started_at_ + time);
}

void soak_run::play_faults() {
    struct action {
        const fault* planned{nullptr};
        bool begins{true};
    };

    std::multimap<milliseconds, action> actions;
    for (const fault& planned : plan_.faults) {
        actions.emplace(planned.start, action{&planned, true});
        actions.emplace(planned.end, action{&planned, false});
    }
    for (const auto& [time, next] : actions) {
        while (elapsed() + check_interval < time) {
            std::this_thread::sleep_for(check_interval);
            check_processes();
            check_history();
        }
        wait_for(time);
        if (next.begins) {
            begin(*next.planned);
        } else {
            end(*next.planned);
        }
    }
    wait_for(options_.duration);
}

harness::process& soak_run::process_of(const fault& injected) {
    return target_of(injected.kind) == fault_target::entry
               ? registry_.entry_process(injected.target)
               : registry_.agent_process(injected.target);
}

std::vector<bool>::reference soak_run::is_away(const fault& injected) {
    return target_of(injected.kind) == fault_target::entry ? entries_away_[injected.target]
                                                           : agents_away_[injected.target];
}

void soak_run::begin(const fault& started) {
    switch (started.kind) {
    case fault_kind::entry_killed:
    case fault_kind::agent_killed:
        is_away(started) = true;
        process_of(started).kill();
        break;
    case fault_kind::entry_terminated:
    case fault_kind::agent_terminated:
        is_away(started) = true;
        process_of(started).terminate();
        break;
    case fault_kind::entry_frozen:
    case fault_kind::agent_frozen:
        process_of(started).freeze();
        break;
    case fault_kind::runner_ended:
        on_runner(started, [](runner& present) { present.end_process(); });
        break;
    case fault_kind::runner_deregistered:
        on_runner(started, [](runner& present) { present.deregister_and_end(); });
        break;
    case fault_kind::answers_lost:
        on_runner(started, [](runner& present) { present.set_answers_lost(true); });
        break;
    case fault_kind::store_down:
        registry_.on_standins([this] { registry_.store().set_available(false); });
        break;
    case fault_kind::claims:
        threads_.push_back(
            std::async(std::launch::async, [this, &started] { make_claims(started); }));
        break;
    }
}

void soak_run::end(const fault& ended) {
    switch (target_of(ended.kind)) {
    case fault_target::entry:
    case fault_target::agent:
        if (is_away(ended)) {
            restart(ended);
        } else {
            process_of(ended).resume();
        }
        break;
    case fault_target::runner:
        on_runner(ended, [](runner& present) {
            present.end_process();
            present.start_process();
        });
        break;
    case fault_target::answers:
        on_runner(ended, [](runner& present) { present.set_answers_lost(false); });
        break;
    case fault_target::store:
        registry_.on_standins([this] { registry_.store().set_available(true); });
        break;
    case fault_target::claims:
        // Its thread ends by itself.
        break;
    }
}

void soak_run::restart(const fault& ended) {
    const int code = process_of(ended).wait(milliseconds(0)).value_or(0);
    if (code != 0 && code != -SIGKILL) {
        const std::lock_guard<std::mutex> lock(mutex_);
        report(std::string(name_of(fault_names, ended.kind)) + " " + std::to_string(ended.target) +
               ": exit with " + std::to_string(code));
    }
    if (target_of(ended.kind) == fault_target::entry) {
        registry_.restart_entry(ended.target);
    } else {
        registry_.restart_agent(ended.target);
    }
    is_away(ended) = false;
}

void soak_run::on_runner(const fault& injected, const std::function<void(runner&)>& function) {
    registry_.on_standins([&] { function(registry_.runner_of(injected.target)); });
}

void soak_run::make_claims(const fault& claimed) {
    while (elapsed() < claimed.end) {
        claim made;
        on_runner(claimed, [&](const runner& present) {
            made = make_claim(claimed.claim, present.options(), present.start_ms());
        });
        registry_.call_agent(claimed.target, made.path, made.body);
        std::this_thread::sleep_for(std::min(claim_interval, claimed.end - elapsed()));
    }
}

void soak_run::play_caller(std::size_t number) {
    struct action {
        std::size_t job{0};
        bool submits{true};
    };

    std::multimap<milliseconds, action> actions;
    for (std::size_t job = number; job < plan_.jobs.size(); job += callers) {
        actions.emplace(plan_.jobs[job].submitted, action{job, true});
        if (plan_.jobs[job].cancelled) {
            actions.emplace(*plan_.jobs[job].cancelled, action{job, false});
        }
    }
    caller calls = registry_.make_caller();
    for (const auto& [time, next] : actions) {
        wait_for(time);
        if (next.submits) {
            submit(calls, next.job);
            continue;
        }
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            jobs_[next.job].cancelled = true;
        }
        calls.cancel((plan_.jobs[next.job].entry + 1) % options_.entries, plan_.jobs[next.job].id);
    }
}

void soak_run::submit(caller& calls, std::size_t number) {
    const planned_job& job = plan_.jobs[number];
    const step_shape step{job.tasks, job.cpu_millicores, 256, job.task_duration.count()};
    bool may_be_stored = false;
    answer known = answer::unknown;
    // Without a clear answer the caller repeats the call with the same id at another entry.
    for (std::size_t attempt = 0; attempt < submissions && known == answer::unknown; ++attempt) {
        const std::size_t entry = (job.entry + attempt) % options_.entries;
        const int status = calls.submit(entry, job.id, step_text(step)).status;
        if (status == accepted_status) {
            known = answer::accepted;
        } else if (status == 0 || status == unknown_status) {
            may_be_stored = true;
            std::this_thread::sleep_for(submission_pause);
        } else {
            known = may_be_stored ? answer::unknown : answer::refused;
            break;
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs_[number].submission = known;
}

void soak_run::follow_jobs() {
    caller calls = registry_.make_caller();
    std::size_t entry = 0;
    while (!ended_) {
        for (std::size_t job = 0; job < plan_.jobs.size() && !ended_; ++job) {
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                if (jobs_[job].submission != answer::accepted) {
                    continue;
                }
            }
            entry = (entry + 1) % options_.entries;
            record_state(job, entry, calls.state(entry, plan_.jobs[job].id));
        }
        std::this_thread::sleep_for(follow_interval);
    }
}

void soak_run::record_state(std::size_t job, std::size_t entry, const std::string& state) {
    const std::optional<job_state> shown = value_of(job_state_names, state);
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string& final_state = jobs_[job].final_state;
    if (!shown || state == final_state) {
        return;
    }
    if (!final_state.empty()) {
        if (std::exchange(jobs_[job].is_reported, true)) {
            return;
        }
        report("job " + plan_.jobs[job].id + " is shown as " + state + " after " + final_state +
               " by entry " + std::to_string(entry));
    } else if (is_final(*shown)) {
        final_state = state;
    }
}

void soak_run::check_history() {
    const std::vector<std::string> simultaneous = registry_.history().simultaneous_runs();
    const std::vector<std::string> repeated = registry_.history().starts_after_acknowledged_done();
    const std::lock_guard<std::mutex> lock(mutex_);
    for (; simultaneous_seen_ < simultaneous.size(); ++simultaneous_seen_) {
        report("started while another run was active: " + simultaneous[simultaneous_seen_]);
    }
    for (; repeated_seen_ < repeated.size(); ++repeated_seen_) {
        report("started after an acknowledged end as done: " + repeated[repeated_seen_]);
    }
}

void soak_run::check_processes() {
    for (std::size_t entry = 0; entry < options_.entries; ++entry) {
        if (!entries_away_[entry]) {
            check_running(registry_.entry_process(entry), "entry " + std::to_string(entry));
        }
    }
    for (std::size_t vm = 0; vm < options_.vms; ++vm) {
        if (!agents_away_[vm]) {
            check_running(registry_.agent_process(vm), "agent " + std::to_string(vm));
        }
    }
}

void soak_run::check_running(harness::process& checked, const std::string& name) {
    if (!checked.running() && reported_.insert(checked.id()).second) {
        const std::lock_guard<std::mutex> lock(mutex_);
        report(name + " ended by itself with " + std::to_string(*checked.wait(milliseconds(0))));
    }
}

bool soak_run::all_complete() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::all_of(jobs_.begin(), jobs_.end(), [](const job_view& job) {
        return job.submission != answer::accepted || job.cancelled || !job.final_state.empty();
    });
}

void soak_run::check_completion() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::size_t job = 0; job < jobs_.size(); ++job) {
        const job_view& seen = jobs_[job];
        const std::string completed(name_of(job_state_names, job_state::completed));
        if (seen.submission == answer::accepted && !seen.cancelled &&
            seen.final_state != completed) {
            report("job " + plan_.jobs[job].id + " was accepted and is " +
                   (seen.final_state.empty() ? "not complete" : seen.final_state));
        }
    }
}

void soak_run::check_refused_jobs() {
    std::set<std::string> refused;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::size_t job = 0; job < jobs_.size(); ++job) {
        if (jobs_[job].submission == answer::refused) {
            refused.insert(plan_.jobs[job].id);
        }
    }
    for (const run_event& event : registry_.history().events()) {
        const std::string id = event.task.substr(0, event.task.find('.'));
        if (event.kind == run_event_kind::started && refused.count(id) != 0) {
            report("started for a refused job: " + event.task);
        }
    }
}

void soak_run::report(const std::string& violation) {
    violations_.push_back(to_text(elapsed()) + " " + violation);
}

} // namespace egretstile::soak
