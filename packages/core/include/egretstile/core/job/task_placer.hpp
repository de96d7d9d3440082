#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/interference/pressure_model.hpp>
#include <egretstile/core/job/job_table.hpp>
#include <egretstile/core/job/vm_table.hpp>

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace egretstile {

/// What the choice of a VM depends on besides the VMs.
struct placement_request {
    const job_entry* job{nullptr};
    const step_spec* step{nullptr};
    task_ref task;
    /// VMs that already run this task; a copy goes elsewhere.
    std::set<vm_name> excluded;
    /// What is known of the pressure of images; null: nothing.
    const pressure_model* pressures{nullptr};
    /// The task may start where it will be slow.
    bool accept_slow{false};
    /// Only VMs of this rack; empty: of any.
    std::string rack;
    /// VM on which the task failed last; used only when no other fits.
    vm_name disliked;
};

/// Chooses VMs for tasks. Implementations are not thread-safe.
class task_placer {
public:
    task_placer() = default;
    task_placer(const task_placer&) = delete;
    task_placer& operator=(const task_placer&) = delete;
    task_placer(task_placer&&) = delete;
    task_placer& operator=(task_placer&&) = delete;
    virtual ~task_placer() = default;

    /// VM for the task, or null when none may take it now. `closed_domains` are out of service.
    virtual vm_state* choose(const placement_request& request, vm_table& vms,
                             const std::set<failure_domain_name>& closed_domains,
                             boot_time now) = 0;
};

/// Keeps tasks that serve users together and away from those that fill, and otherwise spreads by
/// the share of processor time that is reserved.
class separating_placer : public task_placer {
public:
    vm_state* choose(const placement_request& request, vm_table& vms,
                     const std::set<failure_domain_name>& closed_domains, boot_time now) override;
};

/// Takes the VM with the smallest reserved share; the baseline of `separating_placer`.
class spreading_placer : public task_placer {
public:
    vm_state* choose(const placement_request& request, vm_table& vms,
                     const std::set<failure_domain_name>& closed_domains, boot_time now) override;
};

/// Speed, from 0 to 1, at which a task of a step that fills can be expected to work on the VM.
/// Thread-safe.
double expected_speed(const vm_state& vm, const placement_request& request);

/// What a task of the step takes on a VM. Thread-safe.
vm_run needs_of(const step_spec& step);

/// Whether the VM has the label; each has the empty one. Thread-safe.
bool has_label(const vm_state& vm, const std::string& label);

/// What keeps a VM from taking a task.
enum class placement_obstacle : std::uint8_t {
    none,
    not_ready,     ///< Its agent is silent, or its runner drains or is gone.
    other_service, ///< Its runner belongs to another service.
    closed_domain, ///< Its failure domain is out of service.
    excluded,      ///< It runs the task already, or is on another rack than wanted.
    no_label,
    no_room,
    too_slow,    ///< The task fills, and would hardly get on beside what runs there.
    limit_per_vm ///< As many tasks of the step as may run on one VM.
};

inline constexpr std::array<enum_name<placement_obstacle>, 9> placement_obstacle_names{
    {{placement_obstacle::none, "none"},
     {placement_obstacle::not_ready, "not_ready"},
     {placement_obstacle::other_service, "other_service"},
     {placement_obstacle::closed_domain, "closed_domain"},
     {placement_obstacle::excluded, "excluded"},
     {placement_obstacle::no_label, "no_label"},
     {placement_obstacle::no_room, "no_room"},
     {placement_obstacle::too_slow, "too_slow"},
     {placement_obstacle::limit_per_vm, "limit_per_vm"}}};

/// Thread-safe.
placement_obstacle obstacle_of(const vm_state& vm, const placement_request& request,
                               const std::set<failure_domain_name>& closed_domains);

/// Whether the VM may take the task: it is ready, in service, has the label and the room, and does
/// not exceed the step's limit of tasks on one VM. Thread-safe.
bool may_take(const vm_state& vm, const placement_request& request,
              const std::set<failure_domain_name>& closed_domains);

} // namespace egretstile
