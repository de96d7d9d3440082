#include <egretstile/core/job/vm_table.hpp>

namespace egretstile {

void vm_state::add_run(const task_attempt& run, const vm_run& needs) {
    if (runs.emplace(run, needs).second) {
        reserved = reserved + needs.reserved;
    }
}

bool vm_state::remove_run(const task_attempt& run) {
    const auto found = runs.find(run);
    if (found == runs.end()) {
        return false;
    }
    reserved = reserved - found->second.reserved;
    runs.erase(found);
    return true;
}

std::int64_t vm_state::free_millicores() const {
    return runner.capacity.cpu_millicores - reserved.cpu_millicores;
}

std::int64_t vm_state::serving_millicores() const {
    std::int64_t sum = 0;
    for (const auto& [run, needs] : runs) {
        if (needs.serves) {
            sum += needs.reserved.cpu_millicores;
        }
    }
    return sum;
}

std::int64_t vm_state::filling_millicores() const {
    std::int64_t sum = 0;
    for (const auto& [run, needs] : runs) {
        if (needs.fills_idle_cpu) {
            sum += needs.wanted_millicores;
        }
    }
    return sum;
}

} // namespace egretstile
