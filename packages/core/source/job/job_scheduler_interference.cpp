#include <egretstile/core/interference/latency_guard.hpp>
#include <egretstile/core/job/job_scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace egretstile {

namespace {

/// A slope is sent again only when it has changed by at least both of these: an absolute
/// difference, and a share of its present value.
constexpr double sent_slope_change = 0.5;
constexpr double sent_slope_ratio = 0.15;

} // namespace

void job_scheduler::observe_pressure(vm_state& vm, const vm_report& report, boot_time now) {
    std::vector<guarded_run> runs;
    for (const active_run& active : report.active) {
        const job_entry* const job = jobs_.find(active.run.task.job);
        if (job == nullptr || active.run.task.step >= job->spec.steps.size()) {
            continue;
        }
        runs.push_back(guarded_run_of(active, attributes_of(*job, active.run)));
    }
    pressures_.observe(vm.name, runs, vm.runner.capacity.cpu_millicores, now);
    vm.serving_used_millicores = pressures_.serving_used_millicores(runs);
    vm.filling_used_millicores = 0;
    for (const guarded_run& run : runs) {
        vm.filling_used_millicores += run.fills_idle_cpu ? run.used_millicores : 0;
    }
    vm.serving.clear();
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms == 0) {
            continue;
        }
        const double headroom =
            pressures_.own_headroom(run.run, latency_guard_settings{}.default_headroom);
        const bool measured = pressures_.knows_own_headroom(run.run);
        const auto group =
            std::find_if(vm.serving.begin(), vm.serving.end(),
                         [&run](const serving_group& known) { return known.image == run.image; });
        if (group == vm.serving.end()) {
            vm.serving.push_back({run.image, headroom, 0, measured});
        } else {
            group->own_headroom = std::min(group->own_headroom, headroom);
            group->measured = group->measured && measured;
        }
    }
    update_consumed_headroom(vm);
}

void job_scheduler::update_consumed_headroom(vm_state& vm) const {
    const double capacity =
        static_cast<double>(std::max<std::int64_t>(vm.runner.capacity.cpu_millicores, 1));
    for (serving_group& group : vm.serving) {
        group.consumed_headroom = 0;
        for (const auto& [image, millicores] : vm.filling_by_image) {
            group.consumed_headroom +=
                pressures_.slope(group.image, image) * static_cast<double>(millicores) / capacity;
        }
    }
}

void job_scheduler::observe_run_time(const job_entry& job, const ended_run& end, boot_time now) {
    const step_spec& step = job.spec.steps[end.run.task.step];
    const tracked_run* const run = find_run(end.run);
    if (end.outcome == run_outcome::done && step.fills_idle_cpu && !step.long_running &&
        run != nullptr && run->runs_whole_task) {
        run_times_.observe(job.spec.queue, now - run->started_at, step.estimate_ms);
    }
}

std::vector<image_pressure> job_scheduler::unsent_pressures(const vm_state& vm) {
    std::vector<image_pressure> rows;
    std::map<std::pair<std::string, std::string>, double>& sent = sent_slopes_[vm.name];
    for (const serving_group& group : vm.serving) {
        for (const auto& [image, millicores] : vm.filling_by_image) {
            const std::optional<image_pressure> known = pressures_.known(group.image, image);
            if (!known) {
                continue;
            }
            const auto before = sent.find({group.image, image});
            const double min_change = std::max(sent_slope_change, known->slope * sent_slope_ratio);
            if (before == sent.end() || std::abs(known->slope - before->second) >= min_change) {
                sent[{group.image, image}] = known->slope;
                rows.push_back(*known);
            }
        }
    }
    return rows;
}

bool job_scheduler::is_half_idle(const std::string& service) const {
    std::int64_t capacity = 0;
    std::int64_t reserved_total = 0;
    for (const auto& [name, vm] : vms_) {
        if (vm.usable && vm.runner.state == runner_state::ready && vm.runner.service == service &&
            closed_domains_.count(vm.runner.failure_domain) == 0) {
            capacity += vm.runner.capacity.cpu_millicores;
            reserved_total += vm.reserved.cpu_millicores;
        }
    }
    return 2 * reserved_total < capacity;
}

} // namespace egretstile
