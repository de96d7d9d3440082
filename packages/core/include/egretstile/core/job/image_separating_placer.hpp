#pragma once

#include <egretstile/core/job/task_placer.hpp>

namespace egretstile {

/// Places tasks like `separating_placer`, but serving tasks so that few images share a VM: on a VM
/// with the same image, else on an empty one, else beside the fewest other images. A VM has only
/// the headroom of its most loaded image, and a filling image that slows down one serving image may
/// be harmless to another.
class image_separating_placer : public task_placer {
public:
    vm_state* choose(const placement_request& request, vm_table& vms,
                     const std::set<failure_domain_name>& closed_domains, boot_time now) override;
};

} // namespace egretstile
