#pragma once

#include <egretstile/core/interference/interference_model.hpp>
#include <egretstile/core/placement/placement_strategy.hpp>

#include <random>

namespace egretstile {

struct interference_placement_settings {
    /// Weight of the slowdown of services against the spread of load, 0 to 1.
    double tail_weight{0.7};
    /// VMs that are compared for each decision.
    std::size_t sample_size{16};
};

/// Chooses among a sample of the VMs that hold the task the one where it slows the VM's service
/// least, weighed against the reserved share. VMs with free accelerators are kept for tasks that
/// need them.
class interference_aware_placement final : public placement_strategy {
public:
    /// `model` must outlive this object.
    interference_aware_placement(std::uint64_t seed, const interference_model& model,
                                 const interference_placement_settings& settings);

    std::optional<std::size_t> choose(const task_spec& task,
                                      const std::vector<vm_view>& vms) override;

private:
    void collect(const task_spec& task, const std::vector<vm_view>& vms);
    double cost(const task_spec& task, const vm_view& vm) const;

    std::mt19937_64 random_;
    const interference_model* model_;
    interference_placement_settings settings_;
    /// Kept between calls to save allocations.
    std::vector<std::size_t> candidates_;
};

} // namespace egretstile
