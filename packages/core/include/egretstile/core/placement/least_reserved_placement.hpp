#pragma once

#include <egretstile/core/placement/placement_strategy.hpp>

#include <random>

namespace egretstile {

/// Largest share of any amount of `capacity` that `reserved` takes; amounts that the VM does not
/// have count only when something of them is reserved. Thread-safe.
double reserved_share(const resources& reserved, const resources& capacity);

/// Baseline: the VM whose largest reserved share is the lowest after the start, among the first 512
/// that hold the task from a random place in the list on.
class least_reserved_placement final : public placement_strategy {
public:
    explicit least_reserved_placement(std::uint64_t seed);

    std::optional<std::size_t> choose(const task_spec& task,
                                      const std::vector<vm_view>& vms) override;

private:
    std::mt19937_64 random_;
};

} // namespace egretstile
