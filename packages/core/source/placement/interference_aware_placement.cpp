#include <egretstile/core/placement/interference_aware_placement.hpp>
#include <egretstile/core/placement/least_reserved_placement.hpp>
#include <egretstile/core/placement/random_placement.hpp>

#include <algorithm>

namespace egretstile {
namespace {

/// Number of random draws per requested candidate before the VMs are searched in order.
constexpr std::size_t draws_per_candidate = 2;
/// After this many draws without a candidate few VMs have room, and searching in order is cheaper.
constexpr std::size_t max_misses = 12;
/// Load assumed at least, because a service without requests in progress will receive requests.
constexpr double min_load = 0.2;
constexpr double accelerator_vm_cost = 0.5;

double square(double value) {
    return value * value;
}

double share_of(std::int64_t cpu_millicores, const vm_view& vm) {
    return static_cast<double>(cpu_millicores) /
           std::max(1.0, static_cast<double>(vm.capacity.cpu_millicores));
}

/// Processor time reserved for started tasks that are not in the VM's last report.
std::int64_t unreported_millicores(const vm_view& vm) {
    std::int64_t reported = 0;
    for (const placed_run& run : vm.runs) {
        reported += run.need.cpu_millicores;
    }
    return std::max<std::int64_t>(0, vm.reserved.cpu_millicores - reported);
}

} // namespace

interference_aware_placement::interference_aware_placement(
    std::uint64_t seed, const interference_model& model,
    const interference_placement_settings& settings)
    : random_(seed)
    , model_(&model)
    , settings_(settings) {}

std::optional<std::size_t> interference_aware_placement::choose(const task_spec& task,
                                                                const std::vector<vm_view>& vms) {
    collect_candidates(task, vms);
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (const std::size_t index : candidates_) {
        const double index_cost = cost(task, vms[index]);
        if (!best || index_cost < best_cost) {
            best = index;
            best_cost = index_cost;
        }
    }
    return best;
}

void interference_aware_placement::collect_candidates(const task_spec& task,
                                                      const std::vector<vm_view>& vms) {
    candidates_.clear();
    if (vms.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> any_index(0, vms.size() - 1);
    const bool sampled = vms.size() > settings_.sample_size;
    const std::size_t draws = sampled ? settings_.sample_size * draws_per_candidate : 0;
    for (std::size_t i = 0; i < draws && candidates_.size() < settings_.sample_size; ++i) {
        if (i == max_misses && candidates_.empty()) {
            break;
        }
        const std::size_t index = any_index(random_);
        if (has_room_for(vms[index], task.need)) {
            candidates_.push_back(index);
        }
    }
    if (!candidates_.empty()) {
        return;
    }
    // Few VMs have room for the task, or there are few VMs.
    const std::size_t offset = any_index(random_);
    for (std::size_t i = 0; i < vms.size() && candidates_.size() < settings_.sample_size; ++i) {
        const std::size_t index = offset + i < vms.size() ? offset + i : offset + i - vms.size();
        if (has_room_for(vms[index], task.need)) {
            candidates_.push_back(index);
        }
    }
}

double interference_aware_placement::cost(const task_spec& task, const vm_view& vm) const {
    const double spread = reserved_share(vm.reserved + task.need, vm.capacity);
    double impact = 0;
    if (!vm.service.empty()) {
        const double load = upstream_load(vm);
        kind_shares shares = cpu_shares_by_kind(vm);
        double& same_kind = shares.at(static_cast<std::size_t>(task.kind));
        // The kind of unreported starts is not known here. They count as this task's kind, because
        // a burst of starts is mostly of one kind.
        same_kind += share_of(unreported_millicores(vm), vm);
        const double before = model_->slowdown(vm.service, load, shares);
        same_kind += share_of(task.need.cpu_millicores, vm);
        const double after = model_->slowdown(vm.service, load, shares);
        // Squared because the tail latency grows faster than the mean: a second disturbing task on
        // a VM must cost more than the first one on another VM.
        impact = (square(after) - square(before)) * std::max(min_load, load);
    }
    const bool takes_accelerator_vm =
        task.need.accelerators == 0 && vm.capacity.accelerators > vm.reserved.accelerators;
    return settings_.tail_weight * impact + (1.0 - settings_.tail_weight) * spread +
           (takes_accelerator_vm ? accelerator_vm_cost : 0.0);
}

} // namespace egretstile
