#include "job/placement_cost.hpp"

#include <egretstile/core/job/image_separating_placer.hpp>

namespace egretstile {

namespace {

/// Cost to a serving task of each other serving image on the VM. Half of the largest gain by the
/// share that serving tasks have reserved, so that a second image joins a VM that is mostly
/// reserved and leaves an empty one to filling tasks that disturb every image, and a third image
/// does not.
constexpr double other_image_penalty = 0.5;

double other_images(const vm_state& vm, const std::string& image) {
    return static_cast<double>(vm.serving_by_image.size() - vm.serving_by_image.count(image));
}

} // namespace

vm_state* image_separating_placer::choose(const placement_request& request, vm_table& vms,
                                          const std::set<failure_domain_name>& closed_domains,
                                          boot_time now) {
    const bool serves = request.step->target_latency_ms > 0;
    return lowest_cost_vm(request, vms, closed_domains, [&](const vm_state& vm) {
        const double cost = separating_cost(vm, request, now);
        return serves ? cost + other_image_penalty * other_images(vm, request.step->image) : cost;
    });
}

} // namespace egretstile
