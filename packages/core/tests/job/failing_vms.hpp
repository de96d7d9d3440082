#pragma once

#include "simulated_vms.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

inline scheduler_settings health_settings(bool tracked = true) {
    scheduler_settings settings;
    settings.track_runner_health = tracked;
    return settings;
}

/// VMs that carry out their runs on a simulated clock. Runs on failing VMs and of jobs whose id
/// begins with "bad" fail. Reports arrive every 100 ms to 500 ms; the leader's pass is every 4 ms.
class failing_vms : public simulated_vms {
public:
    explicit failing_vms(std::size_t count, bool tracked = true, std::uint32_t seed = 1)
        : simulated_vms(count, 2, health_settings(tracked))
        , random_(seed) {
        scheduler.confirm_leadership(now());
        exchange();
    }

    /// Share of the VM's runs that fail 60 ms after their start.
    std::map<vm_name, double> failing_share;
    /// Share of all runs that fail at a random time, wherever they run.
    double chance_share{0};
    std::size_t failed_runs{0};
    std::map<vm_name, std::size_t> failed_on;
    std::map<vm_name, std::size_t> started_on;

    job_spec make_filling_job(const job_id& id, std::uint32_t count) const {
        job_spec job = make_plain_job(id, count);
        job.policy.max_attempts = 2;
        job.policy.target_completion = milliseconds(1000);
        job.steps[0].fills_idle_cpu = true;
        job.steps[0].image = "filling";
        job.accepted_at_ms = time.count();
        return job;
    }

    void add(job_spec job) {
        job.accepted_at_ms = time.count();
        scheduler.add_job(job);
    }

    /// Advances by `length`; `every_pass` is called before each pass.
    void run(milliseconds length, const std::function<void()>& every_pass = {}) {
        for (milliseconds elapsed(0); elapsed < length; elapsed += pass_interval) {
            time += pass_interval;
            scheduler.confirm_leadership(now());
            scheduler.confirm_closed_domains(now());
            if (every_pass) {
                every_pass();
            }
            for (auto& [name, report] : reports) {
                end_due_runs(name);
                send_report(name, report);
            }
            scheduler.schedule(now(), time.count());
            carry_out_orders();
            for (const job_entry* const job : scheduler.changed_jobs(1000)) {
                scheduler.mark_stored(job->spec.id, job->version, now());
            }
        }
    }

    std::size_t count(decision_kind kind) const {
        return static_cast<std::size_t>(
            std::count_if(decisions.begin(), decisions.end(),
                          [kind](const decision& made) { return made.kind == kind; }));
    }

    bool is_suspect(const vm_name& vm) const { return scheduler.vms().at(vm).health.suspect; }

    std::size_t suspects() const {
        std::size_t found = 0;
        for (const auto& [name, vm] : scheduler.vms()) {
            found += vm.health.suspect ? 1 : 0;
        }
        return found;
    }

    job_state state_of(const job_id& id) const { return scheduler.jobs().find(id)->state; }

    std::size_t jobs_in(job_state state) const {
        std::size_t found = 0;
        for (std::uint32_t number = 0; number < submitted; ++number) {
            const job_entry* const job = scheduler.jobs().find("job-" + std::to_string(number));
            found += job != nullptr && job->state == state ? 1 : 0;
        }
        return found;
    }

    /// Submits a job of short tasks, which prove their VMs.
    void submit_short_job(std::uint32_t tasks) {
        job_spec job = make_plain_job("job-" + std::to_string(submitted++), tasks);
        job.steps[0].estimate_ms = 650;
        job.policy.target_completion = milliseconds(2000);
        add(job);
    }

    std::uint32_t submitted{0};
    /// Reports of this VM are not sent.
    vm_name silent;

private:
    static constexpr milliseconds pass_interval{4};
    static constexpr milliseconds failing_time{60};

    struct fate {
        milliseconds ends_at{0};
        run_outcome outcome{run_outcome::done};
        milliseconds started_at{0};
    };

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    fate fate_of(const vm_name& vm, const start_order& order) {
        const job_entry& job = *scheduler.jobs().find(order.run.task.job);
        const step_spec& step = job.spec.steps[order.run.task.step];
        const milliseconds length(step.estimate_ms);
        const auto share = failing_share.find(vm);
        if (share != failing_share.end() && draw() < share->second) {
            return {time + failing_time, run_outcome::failed};
        }
        if (order.run.task.job.rfind("bad", 0) == 0) {
            return {time + length * 9 / 10, run_outcome::failed};
        }
        if (draw() < chance_share) {
            return {time + std::chrono::duration_cast<milliseconds>(length * draw()),
                    run_outcome::failed};
        }
        return step.long_running ? fate{milliseconds::max(), run_outcome::done}
                                 : fate{time + length, run_outcome::done};
    }

    void end_due_runs(const vm_name& vm) {
        for (auto row = fates_[vm].begin(); row != fates_[vm].end();) {
            if (row->second.ends_at > time) {
                ++row;
                continue;
            }
            add_end(vm, row->first, row->second.outcome);
            row = fates_[vm].erase(row);
        }
    }

    void add_end(const vm_name& vm, const task_attempt& run, run_outcome outcome) {
        vm_report& report = reports.at(vm);
        report.ended.push_back({++ends_[vm], run, outcome, ""});
        std::erase_if(report.active, [&](const active_run& active) { return active.run == run; });
        if (outcome == run_outcome::failed) {
            ++failed_runs;
            ++failed_on[vm];
        }
        // An end is reported sooner than at the usual interval.
        next_report_[vm] = std::min(next_report_[vm], last_report_[vm] + milliseconds(100));
    }

    void send_report(const vm_name& vm, vm_report& report) {
        if (time < next_report_[vm] || vm == silent) {
            return;
        }
        ++report.sequence;
        for (active_run& active : report.active) {
            const fate& planned = fates_[vm][active.run];
            active.percent = static_cast<std::uint32_t>(
                100 * (time - planned.started_at).count() /
                std::max<std::int64_t>((planned.ends_at - planned.started_at).count(), 1));
        }
        scheduler.apply_report(report, now());
        last_report_[vm] = time;
        next_report_[vm] = time + milliseconds(400 + static_cast<int>(draw() * 100));
    }

    void carry_out_orders() {
        for (auto& [name, report] : reports) {
            const vm_orders orders = scheduler.take_orders(name, report.sequence);
            report.applied_order_number = orders.number;
            for (const start_order& order : orders.starts) {
                report.active.push_back({order.run, "", 0, 0});
                fate& planned = fates_[name][order.run];
                planned = fate_of(name, order);
                planned.started_at = time;
                ++started_on[name];
            }
            for (const task_attempt& run : orders.stops) {
                if (fates_[name].erase(run) != 0) {
                    add_end(name, run, run_outcome::stopped);
                }
            }
            std::erase_if(report.ended, [&orders](const ended_run& end) {
                return end.number <= orders.acknowledged_ends;
            });
        }
    }

    std::mt19937 random_;
    std::map<vm_name, std::map<task_attempt, fate>> fates_;
    std::map<vm_name, std::uint64_t> ends_;
    std::map<vm_name, milliseconds> last_report_;
    std::map<vm_name, milliseconds> next_report_;
};

} // namespace egretstile
