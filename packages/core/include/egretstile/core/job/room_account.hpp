#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/vm_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace egretstile {

/// Parts of the processor time of a service's VMs. `withheld_*` are parts of `free`.
enum class room_part : std::uint8_t {
    capacity,
    reserved_serving,  ///< Reserved by serving tasks.
    reserved_other,    ///< Reserved by tasks that neither serve nor fill.
    used_serving,      ///< Used by serving tasks for their users.
    used_filling,      ///< Used by filling tasks.
    requested_filling, ///< What the filling tasks would use at full speed.
    free,              ///< What further filling tasks could use, by processor time alone.
    withheld_headroom, ///< On VMs where a serving image has no headroom to spare.
    withheld_closed,   ///< On VMs in failure domains that are out of service.
    withheld_draining  ///< On VMs whose runner is draining.
};

inline constexpr std::array<enum_name<room_part>, 10> room_part_names{
    {{room_part::capacity, "capacity"},
     {room_part::reserved_serving, "reserved_serving"},
     {room_part::reserved_other, "reserved_other"},
     {room_part::used_serving, "used_serving"},
     {room_part::used_filling, "used_filling"},
     {room_part::requested_filling, "requested_filling"},
     {room_part::free, "free"},
     {room_part::withheld_headroom, "withheld_headroom"},
     {room_part::withheld_closed, "withheld_closed"},
     {room_part::withheld_draining, "withheld_draining"}}};

/// VMs on which a serving image has the least headroom and none to spare.
struct withheld_room {
    std::size_t vms{0};
    /// What filling tasks could use there, by processor time alone.
    std::int64_t millicores{0};
};

/// Processor time of the VMs of one service.
struct service_room {
    std::size_t vms{0};
    /// Millicores, indexed by `room_part`.
    std::array<std::int64_t, room_part_names.size()> parts{};
    /// Splits `withheld_headroom` by serving image.
    std::map<std::string, withheld_room> withheld_by_image;

    std::int64_t& at(room_part part) { return parts.at(static_cast<std::size_t>(part)); }

    std::int64_t at(room_part part) const { return parts.at(static_cast<std::size_t>(part)); }
};

/// A VM whose last report is older is not counted. Four report intervals of agents.
inline constexpr milliseconds counted_report_age{2000};

/// Processor time by service, of the VMs whose agents report and whose runners are ready or
/// draining. A VM is withheld for the first of these reasons: draining, closed, headroom.
/// `placement_headroom` gives the present reserve of headroom in a service. Reads all VMs, so it is
/// meant for display, not for decisions. Thread-safe if `placement_headroom` is.
std::map<std::string, service_room>
account_room(const vm_table& vms, const std::set<failure_domain_name>& closed_domains,
             const std::function<double(const std::string&)>& placement_headroom, boot_time now);

} // namespace egretstile
