#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/placement/vm_view.hpp>
#include <egretstile/core/task/task.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace egretstile {

/// How a VM is chosen for a task. `random` and `least_reserved` are baselines for comparison.
enum class placement_policy : std::uint8_t { random, least_reserved, interference_aware };

inline constexpr std::array<enum_name<placement_policy>, 3> placement_policy_names{
    {{placement_policy::random, "random"},
     {placement_policy::least_reserved, "least_reserved"},
     {placement_policy::interference_aware, "interference_aware"}}};

/// Chooses a VM for a task. Implementations are not thread-safe.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    placement_strategy(placement_strategy&&) = delete;
    placement_strategy& operator=(placement_strategy&&) = delete;
    virtual ~placement_strategy() = default;

    /// Returns the index in `vms` of a VM that accepts tasks and has the task's need free, or
    /// `std::nullopt` when there is no such VM.
    virtual std::optional<std::size_t> choose(const task_spec& task,
                                              const std::vector<vm_view>& vms) = 0;
};

} // namespace egretstile
