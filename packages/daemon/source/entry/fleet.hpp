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

/// State of one VM according to its agent's heartbeats.
struct fleet_vm {
    vm_view view;
    wire::upstream_state upstream{wire::upstream_state::absent};
    bool draining{false};
    bool worker_known{false};
    revision_number plan_revision{0};
    /// Sequence number of the last heartbeat that was answered; zero: none.
    std::uint64_t answered_sequence{0};
    boot_time last_heartbeat{};
    /// No task is placed on the VM before this time, because its agent refused a start.
    boot_time backoff_until{};
    std::weak_ptr<frame_connection> connection;
};

/// Whether the plan lets tasks start and requests be served in this failure domain. A domain that
/// the plan does not name is in service, so that a deployment with an empty plan works.
bool in_service(const plan& current, const failure_domain_name& domain);
/// Whether the plan lists this VM as drained.
bool is_drained(const plan& current, const vm_name& vm);

/// The VMs whose agents send heartbeats to this entry. The state is only as recent as the last
/// heartbeats, so agents may refuse decisions that are based on it. For the event loop's thread
/// only.
class fleet {
public:
    /// Updates the VM from a heartbeat and returns it. Null when a later incarnation has replaced
    /// the agent that sent the heartbeat; such an agent must not be answered.
    fleet_vm* apply_heartbeat(const wire::heartbeat& heartbeat, frame_connection& connection,
                              const plan& current, boot_time now);

    /// Whether the VM is known and its heartbeats have come over another connection so far. Call
    /// before `apply_heartbeat`.
    bool replaces_connection(const vm_name& vm, const frame_connection& connection) const;

    /// Removes a lost connection from its VMs and returns their names. The VMs themselves stay
    /// until `remove_silent`.
    std::vector<vm_name> remove_connection(const frame_connection& connection);

    /// Removes the VMs that have sent no heartbeat for the removal timeout (60 s); returns their
    /// names.
    std::vector<vm_name> remove_silent(boot_time now);

    /// Null when the VM is not known.
    fleet_vm* find(const vm_name& vm);

    const std::map<vm_name, fleet_vm>& vms() const { return vms_; }

    /// The VMs as placement sees them, with the resources of recent assignments reserved.
    /// `accepts_tasks` is false also for a VM that has sent no heartbeat for 2 s, is not connected,
    /// has just refused a start, or is in a domain out of service.
    std::vector<vm_view> placement_views(boot_time now, const plan& current) const;

    /// Reserves the run's resources on the VM until its agent reports the run, at most 3 s.
    void record_assignment(const vm_name& vm, const placed_run& run, boot_time now);
    /// Excludes the VM from placement for 500 ms, because its agent refused a start.
    void record_refusal(const vm_name& vm, boot_time now);

    /// Returns whether the message was sent; false when the VM is not known or not connected.
    bool send(const vm_name& vm, const wire::message& message);

private:
    struct assignment {
        placed_run run;
        boot_time assigned_at;
    };

    /// Removes the VM's assignments that the heartbeat reports or that have timed out.
    void remove_finished_assignments(const vm_name& vm, const wire::heartbeat& heartbeat,
                                     boot_time now);

    std::map<vm_name, fleet_vm> vms_;
    std::map<vm_name, std::vector<assignment>> assignments_;
};

} // namespace egretstile::daemon
