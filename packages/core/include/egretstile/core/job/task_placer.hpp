#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/interference/latency_guard.hpp>
#include <egretstile/core/interference/pressure_model.hpp>
#include <egretstile/core/job/job_table.hpp>
#include <egretstile/core/job/vm_table.hpp>

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace egretstile {

/// A task to be placed and the constraints on the choice of its VM.
struct placement_request {
    const job_entry* job{nullptr};
    const step_spec* step{nullptr};
    task_ref task;
    /// VMs that must not be chosen, because they already run this task.
    std::set<vm_name> excluded;
    /// Estimates of the pressure between images; null: none.
    const pressure_model* pressures{nullptr};
    /// A filling task may also be placed where it is expected to be slow.
    bool accept_slow{false};
    /// Headroom that each serving task on the VM must keep when a filling task is placed there.
    /// Serving tasks without a measured headroom keep at least the default.
    double placement_headroom{sharing_model{}.min_placement_headroom};
    /// Smallest expected speed of a filling task, as a share of its full speed.
    double min_speed{sharing_model{}.min_start_speed};
    /// Rack whose VMs may be chosen; empty: any.
    std::string rack;
    /// VM on which the task failed last; chosen only when no other can take the task.
    vm_name last_failed_vm;
    /// What the task requires of the health of its VM.
    health_demand health;
    /// VMs among which to choose; null: all.
    const std::vector<vm_state*>* candidates{nullptr};
    /// Racks that tasks with data there need room on; null: none.
    const std::set<std::string>* wanted_racks{nullptr};
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

    /// VM for the task, or null when none can take it now. `closed_domains` are the failure domains
    /// that are out of service.
    virtual vm_state* choose(const placement_request& request, vm_table& vms,
                             const std::set<failure_domain_name>& closed_domains,
                             boot_time now) = 0;
};

/// Packs serving tasks together and away from filling tasks, and spreads all other tasks by the
/// share of processor time that is reserved.
class separating_placer : public task_placer {
public:
    vm_state* choose(const placement_request& request, vm_table& vms,
                     const std::set<failure_domain_name>& closed_domains, boot_time now) override;
};

/// Chooses the VM with the smallest reserved share; the baseline to compare `separating_placer`
/// with.
class spreading_placer : public task_placer {
public:
    vm_state* choose(const placement_request& request, vm_table& vms,
                     const std::set<failure_domain_name>& closed_domains, boot_time now) override;
};

/// Millicores that filling tasks can use on the VM, with those that they use now. Thread-safe.
double fillable_cpu(const vm_state& vm);

/// Headroom that another filling task could take from the serving tasks of the group; negative when
/// they have less than `placement_headroom`. Tasks without a measured headroom keep at least
/// `sharing_model::min_placement_headroom`. Thread-safe.
double spare_headroom(const serving_group& group, double placement_headroom);

/// Expected speed of a filling task on the VM, from 0 (no progress) to 1 (as fast as alone).
/// Thread-safe.
double expected_speed(const vm_state& vm, const placement_request& request);

/// What a task of the step reserves and uses on a VM. Thread-safe.
vm_run needs_of(const step_spec& step);

/// Whether the VM has the label; true for the empty label. Thread-safe.
bool has_label(const vm_state& vm, const std::string& label);

/// Reason why a task cannot be placed on a VM.
enum class placement_obstacle : std::uint8_t {
    none,
    not_ready,      ///< Its agent does not report, or its runner is draining or gone.
    rejects_starts, ///< Its agent rejects starts; single ones are tried.
    other_service,  ///< Its runner belongs to another service.
    closed_domain,  ///< Its failure domain is out of service.
    excluded,       ///< It already runs the task, or is not on the requested rack.
    no_label,       ///< It lacks the required label.
    too_many_ends,  ///< Its runs and unacknowledged ends would not fit in the runner's lists.
    no_room,        ///< Its free resources do not cover the task's need.
    too_slow,       ///< A filling task would be too slow for lack of processor time.
    limit_per_vm,   ///< It already runs the most tasks of the step that one VM may run.
    /// A filling task would be too slow, because serving tasks have too little headroom.
    little_headroom,
    suspect_vm, ///< Its runner fails its runs, and the task is not its trial.
    unproven_vm ///< The task needs a VM with a recent successful run and no recent failures.
};

inline constexpr std::array<enum_name<placement_obstacle>, 14> placement_obstacle_names{
    {{placement_obstacle::none, "none"},
     {placement_obstacle::not_ready, "not_ready"},
     {placement_obstacle::rejects_starts, "rejects_starts"},
     {placement_obstacle::other_service, "other_service"},
     {placement_obstacle::closed_domain, "closed_domain"},
     {placement_obstacle::excluded, "excluded"},
     {placement_obstacle::no_label, "no_label"},
     {placement_obstacle::too_many_ends, "too_many_ends"},
     {placement_obstacle::no_room, "no_room"},
     {placement_obstacle::too_slow, "too_slow"},
     {placement_obstacle::limit_per_vm, "limit_per_vm"},
     {placement_obstacle::little_headroom, "little_headroom"},
     {placement_obstacle::suspect_vm, "suspect_vm"},
     {placement_obstacle::unproven_vm, "unproven_vm"}}};

/// First reason why the task cannot be placed on the VM, or `none`. Thread-safe.
placement_obstacle obstacle_of(const vm_state& vm, const placement_request& request,
                               const std::set<failure_domain_name>& closed_domains);

/// Whether there is no obstacle to placing the task on the VM. Thread-safe.
bool may_take(const vm_state& vm, const placement_request& request,
              const std::set<failure_domain_name>& closed_domains);

} // namespace egretstile
