#include <egretstile/core/interference/latency_guard.hpp>
#include <egretstile/core/job/task_placer.hpp>

#include <algorithm>
#include <limits>

namespace egretstile {

namespace {

/// Penalties in units of a whole VM's processor time, in the order in which they matter.
constexpr double disliked_penalty = 50.0;
constexpr double avoided_penalty = 20.0;
/// Below the penalty of a VM that fails its tasks: remote data only slows a task down.
constexpr double remote_rack_penalty = 2.0;
/// A serving task prefers a VM that others fill to none, but any without them to it.
constexpr double filled_penalty = 2.0;

/// Serving tasks of one image are sensitive to the same images, so a VM of them can take others.
constexpr double same_image_bonus = 0.5;

/// Cost of a task that fills and stands still; in proportion for one that is slower than alone.
constexpr double slowness_penalty = 3.0;
/// A VM without serving tasks is kept for images that press on others.
constexpr double undisturbed_penalty = 0.25;
/// Among equal VMs, the one with more processor time left.
constexpr double fullness_penalty = 0.3;
/// A task that fills waits rather than work slower than this: at half their speed, jobs just meet
/// the usual objective of twice their longest chain.
constexpr double slowest_start = 0.6;
/// Loss of headroom that is too small to matter; as `latency_guard_settings`.
constexpr double negligible_loss = 0.1;

double fillable_room(const vm_state& vm) {
    return fillable_millicores({}, vm.runner.capacity.cpu_millicores, vm.serving_use,
                               vm.reserved.cpu_millicores - vm.serving_millicores);
}

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

double common_cost(const vm_state& vm, const placement_request& request, boot_time now) {
    double cost = 0;
    if (vm.name == request.disliked) {
        cost += disliked_penalty;
    }
    if (vm.avoided_until > now) {
        cost += avoided_penalty;
    }
    if (!request.step->preferred_rack.empty() && vm.runner.rack != request.step->preferred_rack) {
        cost += remote_rack_penalty;
    }
    return cost;
}

/// Serving tasks are packed on few VMs, so that the others can be filled without disturbing any.
double separating_cost(const vm_state& vm, const placement_request& request, boot_time now) {
    const double cost = common_cost(vm, request, now);
    if (request.step->fills_idle_cpu) {
        const double fullness =
            static_cast<double>(vm.filling_millicores) / std::max(fillable_room(vm), 1.0);
        return cost + slowness_penalty * (1.0 - expected_speed(vm, request)) +
               fullness_penalty * std::min(fullness, 1.0) +
               (vm.serving.empty() ? undisturbed_penalty : 0.0);
    }
    if (request.step->target_latency_ms > 0) {
        const double capacity =
            static_cast<double>(std::max<std::int64_t>(vm.runner.capacity.cpu_millicores, 1));
        const bool joins_its_image = vm.serving_by_image.count(request.step->image) != 0;
        return cost + filled_penalty * filling_share(vm) -
               static_cast<double>(vm.serving_millicores) / capacity -
               (joins_its_image ? same_image_bonus : 0.0);
    }
    return cost + reserved_share(vm) + 0.3 * filling_share(vm);
}

/// Runs of the task's step, of its occurrence, on the VM.
std::uint32_t count_of_step(const vm_state& vm, const task_ref& task) {
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

template <typename Cost>
vm_state* cheapest(const placement_request& request, vm_table& vms,
                   const std::set<failure_domain_name>& closed_domains, Cost cost_of) {
    vm_state* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (auto& [name, vm] : vms) {
        if (!may_take(vm, request, closed_domains)) {
            continue;
        }
        const double cost = cost_of(vm);
        if (cost < best_cost) {
            best = &vm;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace

vm_state* separating_placer::choose(const placement_request& request, vm_table& vms,
                                    const std::set<failure_domain_name>& closed_domains,
                                    boot_time now) {
    return cheapest(request, vms, closed_domains,
                    [&](const vm_state& vm) { return separating_cost(vm, request, now); });
}

vm_state* spreading_placer::choose(const placement_request& request, vm_table& vms,
                                   const std::set<failure_domain_name>& closed_domains,
                                   boot_time now) {
    return cheapest(request, vms, closed_domains, [&](const vm_state& vm) {
        return common_cost(vm, request, now) + reserved_share(vm);
    });
}

double expected_speed(const vm_state& vm, const placement_request& request) {
    const double capacity =
        static_cast<double>(std::max<std::int64_t>(vm.runner.capacity.cpu_millicores, 1));
    const double need =
        static_cast<double>(std::max<std::int64_t>(request.step->need.cpu_millicores, 1));
    const double wanted = static_cast<double>(vm.filling_millicores) + need;
    double speed = std::min(1.0, fillable_room(vm) / wanted);
    for (const serving_group& group : vm.serving) {
        const double slope = request.pressures == nullptr
                                 ? pressure_model_settings{}.prior_slope
                                 : request.pressures->slope(group.image, request.step->image);
        const double loss = slope * need / capacity;
        if (loss > negligible_loss) {
            const double left =
                group.own_headroom - sharing_model{}.placing_headroom - group.taken_headroom;
            speed = std::min(speed, std::max(0.0, left) / loss);
        }
    }
    return speed;
}

vm_run needs_of(const step_spec& step) {
    vm_run needs;
    needs.reserved = step.need;
    needs.wanted_millicores = step.need.cpu_millicores;
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
    if (!fits(needs_of(step).reserved, vm.runner.capacity - vm.reserved)) {
        return placement_obstacle::no_room;
    }
    if (step.fills_idle_cpu && !request.accept_slow &&
        (vm.filling_millicores > 0 || vm.serving_millicores > 0) &&
        expected_speed(vm, request) < slowest_start) {
        return placement_obstacle::too_slow;
    }
    return step.max_per_vm > 0 && count_of_step(vm, request.task) >= step.max_per_vm
               ? placement_obstacle::limit_per_vm
               : placement_obstacle::none;
}

bool may_take(const vm_state& vm, const placement_request& request,
              const std::set<failure_domain_name>& closed_domains) {
    return obstacle_of(vm, request, closed_domains) == placement_obstacle::none;
}

} // namespace egretstile
