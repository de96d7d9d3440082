#pragma once

#include <egretstile/core/placement/placement_strategy.hpp>

#include <random>

namespace egretstile {

/// Whether `vm` accepts tasks and has `need` free. Thread-safe.
bool can_hold(const vm_view& vm, const resources& need);

/// Baseline: any VM that holds the task, each with the same probability.
class random_placement final : public placement_strategy {
public:
    explicit random_placement(std::uint64_t seed);

    std::optional<std::size_t> choose(const task_spec& task,
                                      const std::vector<vm_view>& vms) override;

private:
    std::mt19937_64 random_;
};

} // namespace egretstile
