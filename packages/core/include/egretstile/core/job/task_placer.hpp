#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/interference/pressure_model.hpp>
#include <egretstile/core/job/job_table.hpp>
#include <egretstile/core/job/vm_table.hpp>

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

/// Whether the VM may take the task: it is ready, in service, has the label and the room, and does
/// not exceed the step's limit of tasks on one VM. Thread-safe.
bool may_take(const vm_state& vm, const placement_request& request,
              const std::set<failure_domain_name>& closed_domains);

} // namespace egretstile
