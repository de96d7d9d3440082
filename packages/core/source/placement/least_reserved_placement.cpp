#include <egretstile/core/placement/least_reserved_placement.hpp>
#include <egretstile/core/placement/random_placement.hpp>

#include <algorithm>

namespace egretstile {
namespace {

double share(std::int64_t reserved, std::int64_t capacity) {
    if (reserved <= 0) {
        return 0;
    }
    return static_cast<double>(reserved) / static_cast<double>(std::max<std::int64_t>(capacity, 1));
}

} // namespace

double reserved_share(const resources& reserved, const resources& capacity) {
    return std::max({share(reserved.cpu_millicores, capacity.cpu_millicores),
                     share(reserved.memory_mb, capacity.memory_mb),
                     share(reserved.accelerators, capacity.accelerators)});
}

least_reserved_placement::least_reserved_placement(std::uint64_t seed)
    : random_(seed) {}

std::optional<std::size_t> least_reserved_placement::choose(const task_spec& task,
                                                            const std::vector<vm_view>& vms) {
    if (vms.empty()) {
        return std::nullopt;
    }
    // Starts at a random place, so that several entries do not all choose the first of equals.
    const std::size_t offset =
        std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(random_);
    std::optional<std::size_t> best;
    double best_share = 0;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        const std::size_t index = offset + i < vms.size() ? offset + i : offset + i - vms.size();
        const vm_view& vm = vms[index];
        if (!can_hold(vm, task.need)) {
            continue;
        }
        const double vm_share = reserved_share(vm.reserved + task.need, vm.capacity);
        if (!best || vm_share < best_share) {
            best = index;
            best_share = vm_share;
        }
    }
    return best;
}

} // namespace egretstile
