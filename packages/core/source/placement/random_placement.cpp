#include <egretstile/core/placement/random_placement.hpp>

namespace egretstile {
namespace {

/// Draws before all VMs are looked at; in a fleet that is less than nearly full one of them hits.
constexpr int most_draws = 32;

} // namespace

bool can_hold(const vm_view& vm, const resources& need) {
    return vm.accepts_tasks && fits(need, vm.capacity - vm.reserved);
}

random_placement::random_placement(std::uint64_t seed)
    : random_(seed) {}

std::optional<std::size_t> random_placement::choose(const task_spec& task,
                                                    const std::vector<vm_view>& vms) {
    if (vms.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, vms.size() - 1);
    for (int i = 0; i < most_draws; ++i) {
        const std::size_t index = any(random_);
        if (can_hold(vms[index], task.need)) {
            return index;
        }
    }
    std::vector<std::size_t> holding;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        if (can_hold(vms[i], task.need)) {
            holding.push_back(i);
        }
    }
    if (holding.empty()) {
        return std::nullopt;
    }
    return holding.at(std::uniform_int_distribution<std::size_t>(0, holding.size() - 1)(random_));
}

} // namespace egretstile
