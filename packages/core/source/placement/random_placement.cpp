#include <egretstile/core/placement/random_placement.hpp>

namespace egretstile {
namespace {

/// Number of random draws before all VMs are scanned. One of the draws finds a VM with room unless
/// the fleet is nearly full.
constexpr int max_draws = 32;

} // namespace

bool has_room_for(const vm_view& vm, const resources& need) {
    return vm.accepts_tasks && fits(need, vm.capacity - vm.reserved);
}

random_placement::random_placement(std::uint64_t seed)
    : random_(seed) {}

std::optional<std::size_t> random_placement::choose(const task_spec& task,
                                                    const std::vector<vm_view>& vms) {
    if (vms.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any_index(0, vms.size() - 1);
    for (int i = 0; i < max_draws; ++i) {
        const std::size_t index = any_index(random_);
        if (has_room_for(vms[index], task.need)) {
            return index;
        }
    }
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        if (has_room_for(vms[i], task.need)) {
            candidates.push_back(i);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates.at(
        std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_));
}

} // namespace egretstile
