#pragma once

#include "net/frame_connection.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/placement/vm_view.hpp>
#include <egretstile/core/plan/plan.hpp>
#include <egretstile/core/task/task.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// One VM as its agent's heartbeats describe it.
struct fleet_vm {
    vm_view view;
    wire::upstream_state upstream{wire::upstream_state::absent};
    bool draining{false};
    bool worker_known{false};
    revision_number plan_revision{0};
    /// Last heartbeat that was answered.
    std::uint64_t answered_sequence{0};
    boot_time last_heartbeat{};
    /// No placement here until then, after the agent refused a start.
    boot_time avoid_until{};
    std::weak_ptr<frame_connection> connection;
};

/// Whether the plan lets tasks start in this domain. A domain that the plan does not name is in
/// service, so that an empty plan serves.
bool in_service(const plan& current, const failure_domain_name& domain);
bool is_drained(const plan& current, const vm_name& vm);

/// The VMs whose agents talk to this entry; a hint for decisions. For the event loop's thread only.
class fleet {
public:
    /// Takes a heartbeat. Gives nothing when it comes from an agent that a later incarnation has
    /// replaced; such an agent must not be answered.
    fleet_vm* observe(const wire::heartbeat& heartbeat, frame_connection& connection,
                      const plan& current, boot_time now);

    /// Whether heartbeats of this VM came over another connection until now.
    bool replaces_connection(const vm_name& vm, const frame_connection& connection) const;

    /// The connection was lost; its VMs stay known until they are too old. Gives those whose
    /// current connection it was.
    std::vector<vm_name> disconnected(const frame_connection& connection);

    /// Removes VMs that have been silent for long.
    std::vector<vm_name> remove_silent(boot_time now);

    fleet_vm* find(const vm_name& vm);

    const std::map<vm_name, fleet_vm>& vms() const { return vms_; }

    /// Views for placement; `accepts_tasks` is false for a VM that is silent or avoided.
    std::vector<vm_view> placement_views(boot_time now, const plan& current) const;

    /// Counts the task against the VM until its agent reports it.
    void note_assignment(const vm_name& vm, const placed_run& run, boot_time now);
    void note_refusal(const vm_name& vm, boot_time now);

    /// Sends when the VM is connected.
    bool send(const vm_name& vm, const wire::message& message);

private:
    struct assignment {
        placed_run run;
        boot_time made_at;
    };

    void drop_reported_assignments(const vm_name& vm, const wire::heartbeat& heartbeat,
                                   boot_time now);

    std::map<vm_name, fleet_vm> vms_;
    std::map<vm_name, std::vector<assignment>> assignments_;
};

} // namespace egretstile::daemon
