#pragma once

#include <egretstile/core/job/image_separating_placer.hpp>
#include <egretstile/core/job/job_scheduler.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

/// A job of one step whose tasks need one core and have an estimated run time of 1 s.
inline job_spec make_plain_job(const job_id& id, std::uint32_t count) {
    job_spec job;
    job.id = id;
    job.queue = "queue";
    job.policy.name = "queue";
    job.policy.service = "service";
    job.policy.max_attempts = 3;
    job.policy.slack_factor = 2.0;
    job.accepted_epoch = 1;
    step_spec step;
    step.count = count;
    step.need.cpu_millicores = 1000;
    step.estimate_ms = 1000;
    job.steps = {step};
    return job;
}

/// A scheduler and VMs of ten cores, whose agents' reports are generated and can be changed by the
/// test.
class simulated_vms {
public:
    explicit simulated_vms(std::size_t count, std::size_t vms_of_rack = 2,
                           const scheduler_settings& settings = {})
        : simulated_vms(count, vms_of_rack, settings, std::make_unique<separating_placer>()) {}

    simulated_vms(std::size_t count, std::size_t vms_of_rack, const scheduler_settings& settings,
                  std::unique_ptr<task_placer> placer)
        : scheduler(settings, 1, std::move(placer),
                    [this](const decision& made) { decisions.push_back(made); }) {
        for (std::size_t number = 0; number < count; ++number) {
            const vm_name name = "vm-" + std::to_string(number);
            scheduler.register_vm(name);
            vm_report& report = reports[name];
            report.vm = name;
            report.epoch = 1;
            report.lists_known = true;
            report.runner.instance = name + "@1";
            report.runner.service = "service";
            report.runner.failure_domain = "domain";
            report.runner.rack = "rack-" + std::to_string(number / vms_of_rack);
            report.runner.capacity = {10000, 10000, 0};
            report.runner.state = runner_state::ready;
        }
    }

    boot_time now() const { return boot_time(time); }

    /// Advances the time by `pause`; then all VMs report, and carry out their starts and stops.
    /// Returns the starts.
    std::vector<start_order> exchange(milliseconds pause = milliseconds(100)) {
        time += pause;
        scheduler.confirm_leadership(now());
        if (confirms_closed_domains) {
            scheduler.confirm_closed_domains(now());
        }
        for (auto& [name, report] : reports) {
            ++report.sequence;
            scheduler.apply_report(report, now());
        }
        scheduler.schedule(now(), time.count());
        std::vector<start_order> starts;
        for (auto& [name, report] : reports) {
            const vm_orders orders = scheduler.take_orders(name, report.sequence);
            report.applied_order_number = orders.number;
            for (const start_order& order : orders.starts) {
                report.active.push_back({order.run, "", 0, 0});
                starts.push_back(order);
            }
            for (const task_attempt& run : orders.stops) {
                stops.push_back(run);
                end_run(name, run, run_outcome::stopped);
            }
        }
        return starts;
    }

    void end_run(const vm_name& vm, const task_attempt& run, run_outcome outcome) {
        vm_report& report = reports.at(vm);
        report.ended.push_back({report.ended.size() + 1, run, outcome, ""});
        std::erase_if(report.active,
                      [&run](const active_run& active) { return active.run == run; });
    }

    /// VM that reports the run as active; empty when none does.
    vm_name vm_of(const task_attempt& run) const {
        for (const auto& [name, report] : reports) {
            for (const active_run& active : report.active) {
                if (active.run == run) {
                    return name;
                }
            }
        }
        return {};
    }

    std::vector<decision> decisions;
    job_scheduler scheduler;
    std::map<vm_name, vm_report> reports;
    /// Whether the leader learns that its closed failure domains are complete.
    bool confirms_closed_domains{true};
    /// Runs that were ordered to stop.
    std::vector<task_attempt> stops;
    milliseconds time{1000};
};

} // namespace egretstile
