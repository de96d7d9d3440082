#pragma once

#include <egretstile/core/placement/placement_strategy.hpp>

#include <random>

namespace egretstile {

/// Whether `vm` accepts tasks and has at least `need` free. Thread-safe.
bool has_room_for(const vm_view& vm, const resources& need);

/// Baseline: chooses among the VMs with room for the task, each with the same probability. Not
/// thread-safe.
class random_placement final : public placement_strategy {
public:
    explicit random_placement(std::uint64_t seed);

    std::optional<std::size_t> choose(const task_spec& task,
                                      const std::vector<vm_view>& vms) override;

private:
    std::mt19937_64 random_;
};

} // namespace egretstile
