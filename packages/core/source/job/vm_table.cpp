#include <egretstile/core/job/vm_table.hpp>

namespace egretstile {

namespace {

/// Subtracts from the sum of the image and removes it when nothing is left.
void subtract_from(std::map<std::string, std::int64_t>& sums, const std::string& image,
                   std::int64_t millicores) {
    const auto sum = sums.find(image);
    if (sum != sums.end() && (sum->second -= millicores) <= 0) {
        sums.erase(sum);
    }
}

} // namespace

void vm_state::add_run(const task_attempt& run, const vm_run& needs) {
    if (!runs.emplace(run, needs).second) {
        return;
    }
    reserved = reserved + needs.reserved;
    if (needs.serves) {
        serving_millicores += needs.reserved.cpu_millicores;
        serving_by_image[needs.image] += needs.reserved.cpu_millicores;
    }
    if (needs.fills_idle_cpu) {
        filling_millicores += needs.requested_millicores;
        filling_by_image[needs.image] += needs.requested_millicores;
    }
}

bool vm_state::remove_run(const task_attempt& run) {
    const auto found = runs.find(run);
    if (found == runs.end()) {
        return false;
    }
    const vm_run& needs = found->second;
    reserved = reserved - needs.reserved;
    if (needs.serves) {
        serving_millicores -= needs.reserved.cpu_millicores;
        subtract_from(serving_by_image, needs.image, needs.reserved.cpu_millicores);
    }
    if (needs.fills_idle_cpu) {
        filling_millicores -= needs.requested_millicores;
        subtract_from(filling_by_image, needs.image, needs.requested_millicores);
    }
    runs.erase(found);
    return true;
}

std::int64_t vm_state::free_millicores() const {
    return runner.capacity.cpu_millicores - reserved.cpu_millicores;
}

} // namespace egretstile
