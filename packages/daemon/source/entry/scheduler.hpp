#pragma once

#include "entry/fleet.hpp"
#include "entry/plan_keeper.hpp"
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

/// Assigns the queued tasks of the owned shards to VMs, and protects services from the tasks beside
/// them. For the event loop's thread only.
class scheduler {
public:
    scheduler(const entry_settings& settings, task_service& tasks, fleet& known_fleet,
              const plan_keeper& plans);

    /// Learns from a VM's report and throttles or evicts tasks that disturb its service.
    void observe(const fleet_vm& vm, boot_time now);
    /// Learns from the end of a run.
    void run_ended(const vm_name& vm, const run_report& report, boot_time now);
    void forget_vm(const vm_name& vm);

    /// One round: tries the first tasks of the queue once.
    void run(boot_time now);

    /// Sentence for operators: why a queued task has no VM now.
    std::string why_queued(const task_spec& spec, boot_time now) const;

private:
    struct waiting_task {
        shard_host* shard{nullptr};
        const task_record* record{nullptr};
    };

    std::map<task_key, waiting_task> collect_waiting(boot_time now);
    void drop_from_queue(const std::map<task_key, waiting_task>& waiting);
    void update_queue(const std::map<task_key, waiting_task>& waiting, boot_time now);
    std::vector<vm_view> views(boot_time now) const;
    bool park_if_hopeless(const waiting_task& task, const std::vector<vm_view>& known);
    void place(const waiting_task& task, std::vector<vm_view>& known, boot_time now);
    void carry_out(const fleet_vm& vm, const interference_action& action);
    bool owns(const task_run& run);

    const entry_settings& settings_;
    task_service& tasks_;
    fleet& fleet_;
    const plan_keeper& plans_;
    interference_model interference_;
    interference_controller controller_;
    fault_attribution faults_;
    task_queue queue_;
    std::vector<task_key> queued_keys_;
    revision_number quota_revision_{0};
    std::unique_ptr<placement_strategy> strategy_;
};

} // namespace egretstile::daemon
