#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/base/resources.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile::harness {

/// Kind of an event in the log of a VM stand-in.
enum class vm_event_kind : std::uint8_t {
    boot,   ///< The VM has booted; all earlier runs have ended.
    killed, ///< Written by the harness after it killed the stand-in.
    start,
    refused,    ///< The worker refused a start.
    overcommit, ///< A start exceeded the capacity; `refused` follows.
    suspend,
    resume,
    end,
    request_start,
    request_end,
    overload, ///< A request exceeded the upstream's slots or connections.
    leave     ///< The upstream started to announce its departure.
};

inline constexpr std::array<enum_name<vm_event_kind>, 12> vm_event_kind_names{
    {{vm_event_kind::boot, "boot"},
     {vm_event_kind::killed, "killed"},
     {vm_event_kind::start, "start"},
     {vm_event_kind::refused, "refused"},
     {vm_event_kind::overcommit, "overcommit"},
     {vm_event_kind::suspend, "suspend"},
     {vm_event_kind::resume, "resume"},
     {vm_event_kind::end, "end"},
     {vm_event_kind::request_start, "request_start"},
     {vm_event_kind::request_end, "request_end"},
     {vm_event_kind::overload, "overload"},
     {vm_event_kind::leave, "leave"}}};

/// One line of the log. Fields that the kind does not have are empty.
struct vm_event {
    vm_event_kind kind{vm_event_kind::boot};
    /// All stand-ins run on one machine, so their times are comparable.
    boot_time at;
    vm_name vm;
    failure_domain_name domain;
    task_run run;
    std::string phase;
    std::string reason;
    /// Resources that a start needs, or the capacity of the VM at `boot`.
    resources amounts;
    std::string checkpoint;
    std::string request_id;
    /// First word of the request's body; the load tool writes its own id there.
    std::string request_label;
};

/// Events of all logs in chronological order. A last line without a line end is skipped, as it may
/// be incomplete. Throws std::exception when a file is missing or a line is malformed.
std::vector<vm_event> read_events(const std::vector<std::string>& log_files);

} // namespace egretstile::harness
