#pragma once

#include <egretstile/core/interference/interference_model.hpp>
#include <egretstile/core/placement/placement_strategy.hpp>

#include <random>

namespace egretstile {

struct interference_placement_settings {
    /// Weight of the slowdown of services, 0 to 1. The weight of the reserved share is one minus
    /// this.
    double tail_weight{0.7};
    /// Number of VMs that are compared for each decision.
    std::size_t sample_size{16};
};

/// Compares a random sample of the VMs with room for the task and chooses the one with the lowest
/// cost: a weighted sum of the predicted slowdown of the VM's service and the reserved share. VMs
/// with free accelerators cost more for tasks that need none, so that they stay free for tasks that
/// need them. Not thread-safe.
class interference_aware_placement final : public placement_strategy {
public:
    /// `model` must outlive this object.
    interference_aware_placement(std::uint64_t seed, const interference_model& model,
                                 const interference_placement_settings& settings);

    std::optional<std::size_t> choose(const task_spec& task,
                                      const std::vector<vm_view>& vms) override;

private:
    void collect_candidates(const task_spec& task, const std::vector<vm_view>& vms);
    double cost(const task_spec& task, const vm_view& vm) const;

    std::mt19937_64 random_;
    const interference_model* model_;
    interference_placement_settings settings_;
    /// Indices of the sampled VMs. A member only to avoid an allocation in each call.
    std::vector<std::size_t> candidates_;
};

} // namespace egretstile
