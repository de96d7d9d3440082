#include <egretstile/core/job/room_account.hpp>
#include <egretstile/core/job/task_placer.hpp>

#include <algorithm>

namespace egretstile {

namespace {

bool is_counted(const vm_state& vm, boot_time now) {
    return vm.usable && vm.runner.state != runner_state::absent &&
           now < vm.last_report_at + counted_report_age;
}

/// Group with the least headroom to spare, if that is none; null when all have some.
const serving_group* limiting_group(const vm_state& vm, double placement_headroom) {
    const auto least = std::min_element(
        vm.serving.begin(), vm.serving.end(),
        [placement_headroom](const serving_group& left, const serving_group& right) {
            return spare_headroom(left, placement_headroom) <
                   spare_headroom(right, placement_headroom);
        });
    return least != vm.serving.end() && spare_headroom(*least, placement_headroom) <= 0 ? &*least
                                                                                        : nullptr;
}

} // namespace

std::map<std::string, service_room>
account_room(const vm_table& vms, const std::set<failure_domain_name>& closed_domains,
             const std::function<double(const std::string&)>& placement_headroom, boot_time now) {
    std::map<std::string, service_room> rooms;
    for (const auto& [name, vm] : vms) {
        if (!is_counted(vm, now)) {
            continue;
        }
        service_room& room = rooms[vm.runner.service];
        const std::int64_t free = std::max<std::int64_t>(
            static_cast<std::int64_t>(fillable_cpu(vm)) - vm.filling_millicores, 0);
        ++room.vms;
        room.at(room_part::capacity) += vm.runner.capacity.cpu_millicores;
        room.at(room_part::reserved_serving) += vm.serving_millicores;
        room.at(room_part::reserved_other) += vm.reserved.cpu_millicores - vm.serving_millicores;
        room.at(room_part::used_serving) += static_cast<std::int64_t>(vm.serving_used_millicores);
        room.at(room_part::used_filling) += vm.filling_used_millicores;
        room.at(room_part::requested_filling) += vm.filling_millicores;
        room.at(room_part::free) += free;
        if (vm.runner.state == runner_state::draining) {
            room.at(room_part::withheld_draining) += free;
        } else if (closed_domains.count(vm.runner.failure_domain) != 0) {
            room.at(room_part::withheld_closed) += free;
        } else if (const serving_group* const group =
                       limiting_group(vm, placement_headroom(vm.runner.service))) {
            room.at(room_part::withheld_headroom) += free;
            withheld_room& withheld = room.withheld_by_image[group->image];
            ++withheld.vms;
            withheld.millicores += free;
        }
    }
    return rooms;
}

} // namespace egretstile
