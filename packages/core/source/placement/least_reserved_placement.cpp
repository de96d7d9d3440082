#include <egretstile/core/placement/least_reserved_placement.hpp>
#include <egretstile/core/placement/random_placement.hpp>

#include <algorithm>

namespace egretstile {
namespace {

/// Largest number of VMs with room for the task that are compared. Comparing 1,700 VMs takes about
/// 20 us on a busy machine, which is the time limit of a decision.
constexpr std::size_t max_compared = 512;

double share(std::int64_t reserved, std::int64_t capacity) {
    if (reserved <= 0) {
        return 0;
    }
    return static_cast<double>(reserved) / static_cast<double>(std::max<std::int64_t>(capacity, 1));
}

bool below(std::int64_t reserved, std::int64_t capacity, double limit) {
    return static_cast<double>(reserved) <
           limit * static_cast<double>(std::max<std::int64_t>(capacity, 1));
}

/// Whether the reserved share of each resource is below `limit`. Avoids divisions.
bool all_below(const resources& reserved, const resources& capacity, double limit) {
    return below(reserved.cpu_millicores, capacity.cpu_millicores, limit) &&
           below(reserved.memory_mb, capacity.memory_mb, limit) &&
           below(reserved.accelerators, capacity.accelerators, limit);
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
    // Starts at a random position, so that several entries do not all choose the first of several
    // equal VMs.
    const std::size_t offset =
        std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(random_);
    std::optional<std::size_t> best;
    double best_share = 0;
    std::size_t compared = 0;
    for (std::size_t i = 0; i < vms.size() && compared < max_compared; ++i) {
        const std::size_t index = offset + i < vms.size() ? offset + i : offset + i - vms.size();
        const vm_view& vm = vms[index];
        const resources after = vm.reserved + task.need;
        if (!has_room_for(vm, task.need)) {
            continue;
        }
        ++compared;
        if (!best || all_below(after, vm.capacity, best_share)) {
            best = index;
            best_share = reserved_share(after, vm.capacity);
        }
    }
    return best;
}

} // namespace egretstile
