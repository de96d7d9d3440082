#include "job/placement_cost.hpp"

#include <egretstile/core/interference/latency_guard.hpp>
#include <egretstile/core/job/task_placer.hpp>

#include <algorithm>

namespace egretstile {

namespace {

/// Cost terms, in units of the whole processor time of a VM. The penalties are in the order of
/// their weight: the VM on which the task failed last is worst, then VMs that are avoided.
constexpr double last_failed_vm_penalty = 50.0;
constexpr double avoided_penalty = 20.0;
/// Below `avoided_penalty`, because remote data only slows a task down.
constexpr double remote_rack_penalty = 2.0;
/// Cost to a task without data on a rack that other tasks need because of their data. Small, so
/// that it decides only between VMs that are nearly equal otherwise.
constexpr double wanted_rack_penalty = 0.1;
/// Cost to a serving task of a VM on which filling tasks would use the whole processor time;
/// proportionally less for a smaller use. It is no obstacle: a serving task is placed beside
/// filling tasks rather than not at all.
constexpr double filled_penalty = 2.0;

/// Serving tasks of one image are sensitive to the same filling images, so a VM on which only one
/// image serves can take the filling images that do not disturb it.
constexpr double same_image_bonus = 0.5;

/// Cost to a filling task of an expected speed of 0; proportionally less for higher speeds.
constexpr double slowness_penalty = 3.0;
/// Cost to a filling task of a VM without serving tasks, which is kept for images that disturb
/// serving tasks.
constexpr double no_serving_penalty = 0.25;
/// Makes filling tasks prefer, among otherwise equal VMs, the one with more idle processor time.
constexpr double fullness_penalty = 0.3;
/// Losses of headroom up to this are ignored; the same as in `latency_guard_settings`.
constexpr double negligible_loss = 0.1;
/// Weight of the filling tasks on a VM, relative to reserved processor time, in the choice of a VM
/// for a task that neither serves nor fills.
constexpr double filling_share_weight = 0.3;

double reserved_share(const vm_state& vm) {
    const double capacity =
        static_cast<double>(std::max<std::int64_t>(vm.runner.capacity.cpu_millicores, 1));
    return static_cast<double>(vm.reserved.cpu_millicores) / capacity;
}

double filling_share(const vm_state& vm) {
    const double capacity =
        static_cast<double>(std::max<std::int64_t>(vm.runner.capacity.cpu_millicores, 1));
    return static_cast<double>(vm.filling_millicores) / capacity;
}

bool has_failed_on(const health_demand& demand, const vm_name& vm) {
    return std::find(demand.failed_vms.begin(), demand.failed_vms.end(), vm) !=
           demand.failed_vms.end();
}

double common_cost(const vm_state& vm, const placement_request& request, boot_time now) {
    double cost = 0;
    if (vm.name == request.last_failed_vm) {
        cost += last_failed_vm_penalty;
    }
    if (has_failed_on(request.health, vm.name)) {
        cost += last_failed_vm_penalty;
    }
    const bool avoids_failures = request.health.enabled && !request.health.may_be_trial;
    if (vm.avoided_until > now || (avoids_failures && vm.health.quick_failures > 0)) {
        cost += avoided_penalty;
    }
    if (!request.step->preferred_rack.empty() && vm.runner.rack != request.step->preferred_rack) {
        cost += remote_rack_penalty;
    }
    if (request.wanted_racks != nullptr && vm.runner.rack != request.step->preferred_rack &&
        request.wanted_racks->count(vm.runner.rack) != 0) {
        cost += wanted_rack_penalty;
    }
    return cost;
}

/// Expected speed of a filling task as far as processor time limits it, 0 to 1.
double speed_by_cpu(const vm_state& vm, const placement_request& request) {
    const double need =
        static_cast<double>(std::max<std::int64_t>(request.step->need.cpu_millicores, 1));
    return std::min(1.0, fillable_cpu(vm) / (static_cast<double>(vm.filling_millicores) + need));
}

/// Expected speed of a filling task as far as the headroom of serving tasks limits it, 0 to 1.
double speed_by_headroom(const vm_state& vm, const placement_request& request) {
    const double capacity =
        static_cast<double>(std::max<std::int64_t>(vm.runner.capacity.cpu_millicores, 1));
    const double need =
        static_cast<double>(std::max<std::int64_t>(request.step->need.cpu_millicores, 1));
    double speed = 1.0;
    for (const serving_group& group : vm.serving) {
        const double slope = request.pressures == nullptr
                                 ? pressure_model_settings{}.prior_slope
                                 : request.pressures->slope(group.image, request.step->image);
        const double loss = slope * need / capacity;
        if (loss > negligible_loss) {
            const double left = spare_headroom(group, request.placement_headroom);
            speed = std::min(speed, std::max(0.0, left) / loss);
        }
    }
    return speed;
}

/// Number of runs of the task's step and occurrence on the VM.
std::uint32_t count_runs_of_step(const vm_state& vm, const task_ref& task) {
    const task_ref first{task.job, task.occurrence, task.step, 0};
    std::uint32_t count = 0;
    for (auto run = vm.runs.lower_bound({first, 0});
         run != vm.runs.end() && run->first.task.job == first.job &&
         run->first.task.occurrence == first.occurrence && run->first.task.step == first.step;
         ++run) {
        ++count;
    }
    return count;
}

placement_obstacle health_obstacle(const vm_state& vm, const placement_request& request) {
    switch (judge_start(vm.health, vm.name, request.health)) {
    case health_verdict::suspect:
        return placement_obstacle::suspect_vm;
    case health_verdict::unproven:
        return placement_obstacle::unproven_vm;
    case health_verdict::may_start:
        break;
    }
    // A trial is a single task, so a suspect VM takes at most one member of a gang.
    return request.health.enabled && vm.health.suspect && request.step->gang &&
                   count_runs_of_step(vm, request.task) > 0
               ? placement_obstacle::suspect_vm
               : placement_obstacle::none;
}

} // namespace

double fillable_cpu(const vm_state& vm) {
    return fillable_millicores({}, vm.runner.capacity.cpu_millicores, vm.serving_used_millicores,
                               vm.reserved.cpu_millicores - vm.serving_millicores);
}

double spare_headroom(const serving_group& group, double placement_headroom) {
    const double reserve =
        group.measured ? placement_headroom
                       : std::max(placement_headroom, sharing_model{}.min_placement_headroom);
    return group.own_headroom - reserve - group.consumed_headroom;
}

double separating_cost(const vm_state& vm, const placement_request& request, boot_time now) {
    const double cost = common_cost(vm, request, now);
    if (request.step->fills_idle_cpu) {
        const double fullness =
            static_cast<double>(vm.filling_millicores) / std::max(fillable_cpu(vm), 1.0);
        return cost + slowness_penalty * (1.0 - expected_speed(vm, request)) +
               fullness_penalty * std::min(fullness, 1.0) +
               (vm.serving.empty() ? no_serving_penalty : 0.0);
    }
    if (request.step->target_latency_ms > 0) {
        const double capacity =
            static_cast<double>(std::max<std::int64_t>(vm.runner.capacity.cpu_millicores, 1));
        const bool serves_same_image = vm.serving_by_image.count(request.step->image) != 0;
        return cost + filled_penalty * filling_share(vm) -
               static_cast<double>(vm.serving_millicores) / capacity -
               (serves_same_image ? same_image_bonus : 0.0);
    }
    return cost + reserved_share(vm) + filling_share_weight * filling_share(vm);
}

vm_state* separating_placer::choose(const placement_request& request, vm_table& vms,
                                    const std::set<failure_domain_name>& closed_domains,
                                    boot_time now) {
    return lowest_cost_vm(request, vms, closed_domains,
                          [&](const vm_state& vm) { return separating_cost(vm, request, now); });
}

vm_state* spreading_placer::choose(const placement_request& request, vm_table& vms,
                                   const std::set<failure_domain_name>& closed_domains,
                                   boot_time now) {
    return lowest_cost_vm(request, vms, closed_domains, [&](const vm_state& vm) {
        return common_cost(vm, request, now) + reserved_share(vm);
    });
}

double expected_speed(const vm_state& vm, const placement_request& request) {
    return std::min(speed_by_cpu(vm, request), speed_by_headroom(vm, request));
}

vm_run needs_of(const step_spec& step) {
    vm_run needs;
    needs.reserved = step.need;
    needs.requested_millicores = step.need.cpu_millicores;
    needs.fills_idle_cpu = step.fills_idle_cpu;
    needs.serves = step.target_latency_ms > 0;
    needs.image = step.image;
    if (step.fills_idle_cpu) {
        needs.reserved.cpu_millicores = 0;
    }
    return needs;
}

bool has_label(const vm_state& vm, const std::string& label) {
    const std::vector<std::string>& labels = vm.runner.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

placement_obstacle obstacle_of(const vm_state& vm, const placement_request& request,
                               const std::set<failure_domain_name>& closed_domains) {
    const step_spec& step = *request.step;
    if (!vm.usable || vm.runner.state != runner_state::ready) {
        return placement_obstacle::not_ready;
    }
    if (!vm.pacing.admits_start()) {
        return placement_obstacle::rejects_starts;
    }
    if (vm.runner.service != request.job->policy.service) {
        return placement_obstacle::other_service;
    }
    if (closed_domains.count(vm.runner.failure_domain) != 0) {
        return placement_obstacle::closed_domain;
    }
    if (request.excluded.count(vm.name) != 0 ||
        (!request.rack.empty() && vm.runner.rack != request.rack)) {
        return placement_obstacle::excluded;
    }
    if (!has_label(vm, step.required_label)) {
        return placement_obstacle::no_label;
    }
    if (vm.runs.size() + vm.unacknowledged.size() >= max_listed_ends) {
        return placement_obstacle::too_many_ends;
    }
    if (!fits(needs_of(step).reserved, vm.runner.capacity - vm.reserved)) {
        return placement_obstacle::no_room;
    }
    if (step.fills_idle_cpu && !request.accept_slow &&
        (vm.filling_millicores > 0 || vm.serving_millicores > 0)) {
        if (speed_by_cpu(vm, request) < request.min_speed) {
            return placement_obstacle::too_slow;
        }
        if (speed_by_headroom(vm, request) < request.min_speed) {
            return placement_obstacle::little_headroom;
        }
    }
    if (step.max_per_vm > 0 && count_runs_of_step(vm, request.task) >= step.max_per_vm) {
        return placement_obstacle::limit_per_vm;
    }
    return health_obstacle(vm, request);
}

bool may_take(const vm_state& vm, const placement_request& request,
              const std::set<failure_domain_name>& closed_domains) {
    // Most VMs are of another service, which is quicker to find out than the other obstacles.
    return vm.runner.service == request.job->policy.service &&
           obstacle_of(vm, request, closed_domains) == placement_obstacle::none;
}

} // namespace egretstile
