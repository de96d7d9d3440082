#pragma once

#include "entry/fleet.hpp"
#include "entry/plan_client.hpp"
#include "entry/task_service.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/interference/interference_controller.hpp>
#include <egretstile/core/interference/interference_model.hpp>
#include <egretstile/core/placement/fault_attribution.hpp>
#include <egretstile/core/placement/placement_strategy.hpp>
#include <egretstile/core/placement/task_queue.hpp>
#include <egretstile/core/task/task.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// Assigns the queued tasks of the owned shards to VMs, and throttles or evicts tasks that disturb
/// the service on their VM. For the event loop's thread only.
class scheduler {
public:
    scheduler(const entry_settings& settings, task_service& tasks, fleet& vm_fleet,
              const plan_client& plans);

    /// Updates the interference model from the VM's latest heartbeat. With the interference-aware
    /// placement, throttles or evicts tasks that disturb the VM's service.
    void protect_service(const fleet_vm& vm, boot_time now);
    /// Updates the fault attribution, which decides whether failures are due to the task or the VM.
    void record_run_end(const vm_name& vm, const run_report& report, boot_time now);
    void remove_vm(const vm_name& vm);

    /// One scheduling round: tries once to place each of the first tasks of the queue.
    void run(boot_time now);

    /// Why a queued task has no VM at `now`, as text for operators.
    std::string wait_reason(const task_spec& spec, boot_time now) const;

private:
    struct queued_task {
        shard_host* shard{nullptr};
        const task_record* record{nullptr};
    };

    std::map<task_key, queued_task> collect_queued(boot_time now);
    /// Removes the tasks from the queue that no longer wait in an owned shard.
    void remove_absent_from_queue(const std::map<task_key, queued_task>& queued_tasks);
    void update_queue(const std::map<task_key, queued_task>& queued_tasks, boot_time now);
    /// The VMs as placement sees them, without those drained because of failures.
    std::vector<vm_view> views(boot_time now) const;
    /// Parks a task that failed on several healthy VMs or needs more than any VM has. Returns
    /// whether it did.
    bool park_if_unplaceable(const queued_task& task, const std::vector<vm_view>& vms);
    void place(const queued_task& task, std::vector<vm_view>& vms, boot_time now);
    void carry_out(const fleet_vm& vm, const interference_action& action);
    /// Whether `run` is the running attempt of a task in a shard that this entry owns.
    bool owns_running(const task_run& run);

    const entry_settings& settings_;
    task_service& tasks_;
    fleet& fleet_;
    const plan_client& plans_;
    interference_model interference_;
    interference_controller controller_;
    fault_attribution faults_;
    task_queue queue_;
    /// Keys that the last round added to the queue.
    std::vector<task_key> queued_keys_;
    /// Revision of the plan from which the quotas were set.
    revision_number quota_revision_{0};
    std::unique_ptr<placement_strategy> strategy_;
};

} // namespace egretstile::daemon
