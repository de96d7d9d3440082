#pragma once

#include <egretstile/core/placement/placement_strategy.hpp>

#include <random>

namespace egretstile {

/// Largest reserved share of processors, memory or accelerators. A resource that the VM does not
/// have counts only when `reserved` contains some of it, and then as a capacity of one.
/// Thread-safe.
double reserved_share(const resources& reserved, const resources& capacity);

/// Baseline: chooses the VM with the lowest `reserved_share` after the start. Compares the first
/// 512 VMs with room for the task, starting at a random position in the list. Not thread-safe.
class least_reserved_placement final : public placement_strategy {
public:
    explicit least_reserved_placement(std::uint64_t seed);

    std::optional<std::size_t> choose(const task_spec& task,
                                      const std::vector<vm_view>& vms) override;

private:
    std::mt19937_64 random_;
};

} // namespace egretstile
